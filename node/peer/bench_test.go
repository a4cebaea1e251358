package peer

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"masticbank.example/node/peer/peerpb"
)

// digestPeriod is the period that the figures in docs/design/peers.md refer to.
const digestPeriod = 200 * time.Millisecond

// benchHandler counts received digests.
type benchHandler struct {
	NopHandler
	received chan struct{}
	up       chan Info
}

func (h benchHandler) PeerUp(info Info)              { h.up <- info }
func (h benchHandler) Digest(string, *peerpb.Digest) { h.received <- struct{}{} }

// BenchmarkDigests sends one digest to all peers per iteration. It reports the
// bytes and the processor time, of both ends together, of the digests of one
// peer at one digest per period.
func BenchmarkDigests(b *testing.B) {
	for _, peers := range []int{2, 4, 8, 16} {
		for _, workspaces := range []int{10, 100, 1000} {
			for _, limit := range []int{0, 8, 32} {
				name := fmt.Sprintf("peers=%d/workspaces=%d/limit=%d", peers, workspaces, limit)
				b.Run(name, func(b *testing.B) { benchmarkDigests(b, peers, workspaces, limit) })
			}
		}
	}
}

// BenchmarkEncodeDigest reports the size of one digest on its stream, including
// yamux framing, by the number of pools and of workspaces listed in each.
func BenchmarkEncodeDigest(b *testing.B) {
	const muxHeaderBytes = 12
	for _, pools := range []int{1, 4, 16} {
		for _, limit := range []int{0, 1, 8, 32} {
			b.Run(fmt.Sprintf("pools=%d/limit=%d", pools, limit), func(b *testing.B) {
				digest := digestOf(100, limit)
				for range pools - 1 {
					digest.Pools = append(digest.Pools, digest.Pools[0])
				}
				for b.Loop() {
					_ = EncodeDigest(digest, "m1", 0)
				}
				message := &peerpb.Envelope{Body: &peerpb.Envelope_Digest{Digest: EncodeDigest(digest, "m1", 0)}}
				size := proto.Size(message)
				size += protowire.SizeVarint(uint64(size))
				b.ReportMetric(float64(size+muxHeaderBytes), "B/message")
			})
		}
	}
}

func benchmarkDigests(b *testing.B, count, workspaces, limit int) {
	handler := benchHandler{received: make(chan struct{}, count), up: make(chan Info, 2*count)}
	options := func(id string) Options {
		return Options{
			ID: id, Zone: "quito", Listen: "127.0.0.1:0", Key: testKey, Handler: handler,
			HeartbeatInterval: time.Minute, MessageTimeout: time.Hour,
		}
	}
	start := func(id string) *Node {
		node, err := New(options(id))
		require.NoError(b, err)
		require.NoError(b, node.Start())
		b.Cleanup(func() { _ = node.Close(b.Context()) })
		return node
	}
	sender := start("sender")
	for i := range count {
		start(fmt.Sprintf("peer-%02d", i)).SetPeers([]Peer{peerOf(sender)})
	}
	for range 2 * count {
		<-handler.up
	}
	digest := digestOf(workspaces, limit)
	sentBefore, cpuBefore := bytesSent(sender), cpuTime(b)
	rounds := 0
	for b.Loop() {
		digest.Sequence++
		_, err := sender.Broadcast(EncodeDigest(digest, "m1", 0))
		require.NoError(b, err)
		for range count {
			<-handler.received
		}
		rounds++
	}
	perSecond := float64(time.Second / digestPeriod)
	messages := float64(rounds * count)
	b.ReportMetric(float64(bytesSent(sender)-sentBefore)/messages*perSecond, "B/s/peer")
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/messages*perSecond, "cpu-us/s/peer")
}

func bytesSent(node *Node) uint64 {
	var sum uint64
	for _, p := range node.Peers() {
		sum += p.BytesSent
	}
	return sum
}

// cpuTime returns the processor time used by this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
