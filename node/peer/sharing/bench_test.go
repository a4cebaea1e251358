package sharing

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
)

// meshInstance connects a sharer to a real peer node.
type meshInstance struct {
	peer.NopHandler
	testInstance
	up chan peer.Info
}

func (m *meshInstance) PeerUp(info peer.Info)                  { m.up <- info }
func (m *meshInstance) MessageReceived(info peer.Info)         { m.sharer.PeerReceived(info) }
func (m *meshInstance) Digest(_ string, digest *peerpb.Digest) { m.sharer.Digest(digest) }

// BenchmarkNineInstances runs nine nodes with their sharers over loopback for
// one second per iteration. It reports the bytes sent and the processor time
// per node.
func BenchmarkNineInstances(b *testing.B) {
	for _, changing := range []bool{false, true} {
		b.Run(fmt.Sprintf("changing=%t", changing), func(b *testing.B) { benchmarkNineInstances(b, changing) })
	}
}

func benchmarkNineInstances(b *testing.B, changing bool) {
	ctx, cancel := context.WithCancel(b.Context())
	var ends []*meshInstance
	var nodes []*peer.Node
	var peers []peer.Peer
	for i := range instances {
		end := &meshInstance{up: make(chan peer.Info, 2*instances)}
		end.id, end.wanted, end.done = fmt.Sprintf("m%d", i), 20, make(chan error, 1)
		node, err := peer.New(peer.Options{ID: end.id, Listen: "127.0.0.1:0", Key: []byte("0123456789abcdef"), Handler: end})
		require.NoError(b, err)
		end.sharer = New(Options{ID: end.id, Peers: node, Pools: end})
		require.NoError(b, node.Start())
		node.SetState(peerpb.InstanceState_INSTANCE_STATE_READY)
		ends, nodes = append(ends, end), append(nodes, node)
		peers = append(peers, peer.Peer{ID: end.id, Address: node.Addr().String()})
	}
	for i, node := range nodes {
		node.SetPeers(peers)
		go func() { ends[i].done <- ends[i].sharer.Run(ctx) }()
	}
	for _, end := range ends {
		for range instances - 1 {
			<-end.up
		}
	}
	before, cpuBefore, started := bytesSent(nodes), cpuTime(b), time.Now()
	for b.Loop() {
		for range 10 {
			time.Sleep(DefaultTick)
			if changing {
				toggleDemand(ends)
			}
		}
	}
	seconds := time.Since(started).Seconds()
	b.ReportMetric(float64(bytesSent(nodes)-before)/instances/seconds, "B/s/node")
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/instances/seconds, "cpu-us/s/node")
	cancel()
	for i, node := range nodes {
		require.NoError(b, <-ends[i].done)
		require.NoError(b, node.Close(context.Background()))
	}
}

// toggleDemand doubles or halves the demand of each instance.
func toggleDemand(ends []*meshInstance) {
	for _, e := range ends {
		e.mu.Lock()
		e.wanted = 60 - e.wanted
		e.mu.Unlock()
	}
}

func bytesSent(nodes []*peer.Node) uint64 {
	var sum uint64
	for _, node := range nodes {
		for _, p := range node.Peers() {
			sum += p.BytesSent
		}
	}
	return sum
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
