package peer

import (
	"flag"
	"fmt"
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

func TestDigestRoundTrip(t *testing.T) {
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
		receiving := &session{handshakeResult: handshakeResult{remoteID: sender, process: digest.Incarnation}}
		got, age := DecodeDigest(receiving.setDigestOrigin(received))
		require.Equal(t, digest, got)
		require.Equal(t, 150*time.Millisecond, age)
	})
	long := &peerpb.Digest{Pools: []*peerpb.PoolDemand{{
		Workspaces: make([]*peerpb.WorkspaceDemand, 10*maxDigestWorkspaces),
		Ranks:      make([]*peerpb.RankDemand, 10*maxDigestRanks),
	}}}
	truncated, _ := DecodeDigest(long)
	require.Len(t, truncated.Pools[0].Workspaces, maxDigestWorkspaces)
	require.Len(t, truncated.Pools[0].Ranks, maxDigestRanks)
}

func TestInfoMember(t *testing.T) {
	info := Info{ID: "m2", Incarnation: 4, Zone: "quito", State: peerpb.InstanceState_INSTANCE_STATE_LEAVING}
	event, ok := info.Member()
	require.True(t, ok)
	require.Equal(t, membership.Received{ID: "m2", Incarnation: 4, Zone: "quito", State: membership.Leaving}, event)
	_, ok = Info{}.Member()
	require.False(t, ok)
}

// TestNineNodesFormFullMesh starts nine instances that get the same peers at the
// same time. Every pair must end up with one session, and a broadcast must
// reach all peers.
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
			if !fullyConnected(node, count-1) {
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

func fullyConnected(node *Node, peers int) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	connected := 0
	for _, r := range node.remotes {
		if r.session == nil || len(r.openSessions) != 1 {
			return false
		}
		if _, lastReceived := r.session.snapshot(); !lastReceived.IsZero() {
			connected++
		}
	}
	return connected == peers
}
