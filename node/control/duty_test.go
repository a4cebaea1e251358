package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/roster"
	"masticbank.example/node/gateway"
)

func TestAssignmentsUseTheGenerationAsToken(t *testing.T) {
	w := newFakePlatform()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		require.True(t, c.Ready())
		require.Equal(t, []int64{7}, w.tokens())
	})
}

// A replica has seen a higher token: this one must not be used again, but a later one may.
func TestFencedLeaderStops(t *testing.T) {
	w := newFakePlatform()
	w.result = gateway.OrderResult{Status: gateway.OrderFenced}
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(time.Minute)
		require.Equal(t, []int64{7}, w.tokens())
		w.set(func() {
			w.generation = 9
			w.result = gateway.OrderResult{}
		})
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(9), w.tokens()[1])
	})
}

func TestOnlyTheLeaderAssignsLayers(t *testing.T) {
	w := newFakePlatform()
	w.leader = false
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(time.Minute)
		require.Empty(t, w.tokens())
	})
}

// When the store becomes unavailable, the leader continues for a while, but not against a
// peer with a later generation.
func TestLeadershipEndsByOutageOrNewerLeader(t *testing.T) {
	w := newFakePlatform()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		w.set(func() { w.unavailable = true })
		time.Sleep(6 * time.Second)
		require.Equal(t, int64(7), c.LeaderGeneration())
		time.Sleep(30 * time.Second)
		require.Zero(t, c.LeaderGeneration(), "after a long outage the view is too old")
		w.set(func() { w.unavailable = false })
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(7), c.LeaderGeneration())
		w.set(func() { w.unavailable = true })
		time.Sleep(time.Second)
		c.OtherLeader(8)
		require.Zero(t, c.LeaderGeneration())
	})
}

func TestRetiredInstancesReleaseLeadership(t *testing.T) {
	w := newFakePlatform()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		c.ReleaseLeadership()
		time.Sleep(time.Second)
		require.Zero(t, c.LeaderGeneration())
		w.set(func() { w.entries = nil })
		require.True(t, w.left)
	})
}

// An unresponsive replica is left out until two more heartbeats have arrived.
func TestSuspectedReplicaRecoversWithHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Logger: zap.NewNop()})
	e := roster.Entry{ID: "r", StartTime: 1, Sequence: 4}
	c.unresponsive["r"] = failureReport{born: 1, heartbeat: 4, until: now.Add(time.Minute)}
	require.True(t, c.suspected(now, e))
	e.Sequence = 5
	require.True(t, c.suspected(now, e))
	e.Sequence = 6
	require.False(t, c.suspected(now, e))
	require.False(t, c.suspected(now, roster.Entry{ID: "r", StartTime: 1, Sequence: 4}))
}

// When the generation changes, the next join sends it. Until then the store does not hand
// over what the member no longer owns.
func TestJoinsSendTheLastGeneration(t *testing.T) {
	w := newFakePlatform()
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(changedGroupJoinInterval / 2)
		w.set(func() { w.generation = 8 })
		time.Sleep(3*changedGroupJoinInterval + changedGroupJoinInterval/4)
		w.set(func() { require.Equal(t, []int64{0, 7, 8, 8}, w.joinGenerations) })
	})
}

// The whole system starts at once, and the first member list is incomplete.
func TestInstanceCountIsUsedOnceStable(t *testing.T) {
	w := newFakePlatform()
	w.members = []string{"a"}
	runWith(t, w, Options{FirstStart: true}, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(changedGroupJoinInterval / 2)
		require.Zero(t, g.Instances())
		w.set(func() { w.generation, w.members = 8, []string{"a", "b", "c"} })
		time.Sleep(joinInterval)
		require.Zero(t, g.Instances())
		time.Sleep(startMemberReadInterval + joinInterval)
		require.Equal(t, 3, g.Instances())
	})
}

// All instances restart together. Clients return at once, so the number of instances must
// be known within a second, from a list that was read after all had joined.
func TestInstanceCountAfterRestart(t *testing.T) {
	w := newFakePlatform()
	w.members = []string{"a"}
	run(t, w, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(changedGroupJoinInterval / 2)
		require.Zero(t, g.Instances())
		w.set(func() { w.generation, w.members = 8, []string{"a", "b", "c"} })
		time.Sleep(time.Second)
		require.Equal(t, 3, g.Instances())
	})
}
