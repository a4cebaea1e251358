package peer

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"masticbank.example/core/demand"
	"masticbank.example/core/membership"
	"masticbank.example/node/peer/peerpb"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const digestPeriod = 200 * time.Millisecond

func digestOf(workspaces, limit int) demand.Digest {
	var loads []demand.Load
	for i := range workspaces {
		loads = append(loads, demand.Load{
			Workspace: fmt.Sprintf("workspace-%04d", i), Rank: i % 3,
			Queued: i%40 + 1, InFlight: i % 7, Backlog: int64(i%40) * 700, Weight: demand.WeightUnit,
		})
	}
	return demand.Digest{Instance: "m1", Incarnation: 1, Sequence: 1, Pools: []demand.PoolDemand{
		demand.Summarize("asistente/0-15", 3, loads, limit),
	}}
}

func TestDigestSurvivesItsMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digest := digestOf(rapid.IntRange(1, 100).Draw(t, "workspaces"), rapid.IntRange(1, 32).Draw(t, "limit"))
		digest.Sequence = rapid.Uint64().Draw(t, "sequence")
		digest.Members = rapid.IntRange(0, 20).Draw(t, "members")
		sender := rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "sender")
		sent := EncodeDigest(digest, sender, 150*time.Millisecond)
		data, err := proto.Marshal(sent)
		require.NoError(t, err)
		received := &peerpb.Digest{}
		require.NoError(t, proto.Unmarshal(data, received))
		got, age := DecodeDigest(received, sender)
		require.Equal(t, digest, got)
		require.Equal(t, 150*time.Millisecond, age)
	})
	long := &peerpb.Digest{Pools: []*peerpb.PoolDemand{{
		Workspaces: make([]*peerpb.WorkspaceDemand, 10*maxDigestWorkspaces),
		Ranks:      make([]*peerpb.RankDemand, 10*maxDigestRanks),
	}}}
	cutDown, _ := DecodeDigest(long, "m1")
	require.Len(t, cutDown.Pools[0].Workspaces, maxDigestWorkspaces)
	require.Len(t, cutDown.Pools[0].Ranks, maxDigestRanks)
}

func TestInfoGivesMember(t *testing.T) {
	info := Info{ID: "m2", Incarnation: 4, Zone: "quito", State: peerpb.InstanceState_INSTANCE_STATE_LEAVING}
	heard, ok := info.Member()
	require.True(t, ok)
	require.Equal(t, membership.Heard{ID: "m2", Incarnation: 4, Zone: "quito", State: membership.Leaving}, heard)
	_, ok = Info{}.Member()
	require.False(t, ok)
}

// Nine instances know of each other from the list at once; every pair ends up
// with one session, and a message of any reaches all.
func TestNineNodesFormFullMesh(t *testing.T) {
	const count = 9
	nodes := make([]*Node, count)
	events := make([]*recorder, count)
	var peers []Peer
	for i := range nodes {
		nodes[i], events[i] = startNode(t, fmt.Sprintf("m%d", i), nil)
		peers = append(peers, peerOf(nodes[i]))
	}
	for _, node := range nodes {
		node.SetPeers(peers)
	}
	require.Eventually(t, func() bool {
		for _, node := range nodes {
			if !meshed(node, count-1) {
				return false
			}
		}
		return true
	}, testTimeout, 10*time.Millisecond)
	sent, err := nodes[4].Broadcast(&peerpb.Leaving{Upstream: "replica-1"})
	require.NoError(t, err)
	require.Equal(t, count-1, sent)
	for i, e := range events {
		if i != 4 {
			receive(t, e.messages)
		}
	}
}

func meshed(node *Node, peers int) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	connected := 0
	for _, r := range node.remotes {
		if r.session == nil || len(r.open) != 1 {
			return false
		}
		if _, heardAt := r.session.snapshot(); !heardAt.IsZero() {
			connected++
		}
	}
	return connected == peers
}

// benchHandler counts the digests that arrive.
type benchHandler struct {
	NopHandler
	got chan struct{}
	up  chan Info
}

func (h benchHandler) PeerUp(info Info)              { h.up <- info }
func (h benchHandler) Digest(string, *peerpb.Digest) { h.got <- struct{}{} }

// BenchmarkDigests sends one digest to all peers an iteration, and gives the
// bytes and the processor time of one peer's digests at one digest period. The
// processor time is that of both ends together.
func BenchmarkDigests(b *testing.B) {
	for _, peers := range []int{2, 4, 8, 16} {
		for _, workspaces := range []int{10, 100, 1000} {
			for _, limit := range []int{8, 32} {
				name := fmt.Sprintf("peers=%d/workspaces=%d/limit=%d", peers, workspaces, limit)
				b.Run(name, func(b *testing.B) { benchmarkDigests(b, peers, workspaces, limit) })
			}
		}
	}
}

func benchmarkDigests(b *testing.B, count, workspaces, limit int) {
	handler := benchHandler{got: make(chan struct{}, count), up: make(chan Info, 2*count)}
	options := func(id string) Options {
		return Options{
			ID: id, Zone: "quito", Listen: "127.0.0.1:0", Key: testKey, Handler: handler,
			HeartbeatInterval: time.Minute, SilenceTimeout: time.Hour,
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
			<-handler.got
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

// cpuTime returns the processor time of this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
