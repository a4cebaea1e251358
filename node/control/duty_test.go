package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/roster"
	"masticbank.example/node/gateway"
)

func TestLayersAreOrderedUnderTheGeneration(t *testing.T) {
	w := newWorld()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		require.True(t, c.Ready())
		require.Equal(t, []int64{7}, w.tokens())
	})
}

// TestFencedHolderStops has a replica that saw a higher token: this one must not
// be used again, a later one may.
func TestFencedHolderStops(t *testing.T) {
	w := newWorld()
	w.answer = gateway.OrderResult{Status: gateway.OrderFenced}
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(time.Minute)
		require.Equal(t, []int64{7}, w.tokens())
		w.set(func() {
			w.generation = 9
			w.answer = gateway.OrderResult{}
		})
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(9), w.tokens()[1])
	})
}

func TestWithoutTheDutyNothingIsOrdered(t *testing.T) {
	w := newWorld()
	w.duty = false
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(time.Minute)
		require.Empty(t, w.tokens())
	})
}

// TestDutyEndsWithTheOutageOrAnotherHolder lets the store go away: the duty goes
// on for a while, and not against a peer with a later generation.
func TestDutyEndsWithTheOutageOrAnotherHolder(t *testing.T) {
	w := newWorld()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		w.set(func() { w.away = true })
		time.Sleep(6 * time.Second)
		require.Equal(t, int64(7), c.DutyGeneration())
		time.Sleep(30 * time.Second)
		require.Zero(t, c.DutyGeneration(), "after a long outage the view is too old")
		w.set(func() { w.away = false })
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(7), c.DutyGeneration())
		w.set(func() { w.away = true })
		time.Sleep(time.Second)
		c.OtherDuty(8)
		require.Zero(t, c.DutyGeneration())
	})
}

func TestRetiredInstancesGiveTheDutyBack(t *testing.T) {
	w := newWorld()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		c.Retire()
		time.Sleep(time.Second)
		require.Zero(t, c.DutyGeneration())
		w.set(func() { w.entries = nil })
		require.True(t, w.left)
	})
}

// TestSuspectsReturnWithTheirHeartbeats leaves a silent replica out until two more
// heartbeats have come.
func TestSuspectsReturnWithTheirHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Logger: zap.NewNop()})
	e := roster.Entry{ID: "r", Born: 1, Sequence: 4}
	c.suspects["r"] = suspicion{born: 1, heartbeat: 4, until: now.Add(time.Minute)}
	require.True(t, c.suspected(now, e))
	e.Sequence = 5
	require.True(t, c.suspected(now, e))
	e.Sequence = 6
	require.False(t, c.suspected(now, e))
	require.False(t, c.suspected(now, roster.Entry{ID: "r", Born: 1, Sequence: 4}))
}

// TestJoinsNameTheLastGeneration changes the generation: until a member names it,
// the store does not hand what the member gave up to another one.
func TestJoinsNameTheLastGeneration(t *testing.T) {
	w := newWorld()
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(changedJoinInterval / 2)
		w.set(func() { w.generation = 8 })
		time.Sleep(3*changedJoinInterval + changedJoinInterval/4)
		w.set(func() { require.Equal(t, []int64{0, 7, 8, 8}, w.told) })
	})
}

// TestNumberOfInstancesCountsWhenItIsStable has the whole system start at once: the
// first list has only some members.
func TestNumberOfInstancesCountsWhenItIsStable(t *testing.T) {
	w := newWorld()
	w.members = []string{"a"}
	runWith(t, w, Options{FirstStart: true}, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(changedJoinInterval / 2)
		require.Zero(t, g.Instances())
		w.set(func() { w.generation, w.members = 8, []string{"a", "b", "c"} })
		time.Sleep(joinInterval)
		require.Zero(t, g.Instances())
		time.Sleep(startMemberInterval + joinInterval)
		require.Equal(t, 3, g.Instances())
	})
}

// TestNumberOfInstancesAfterARestart has all instances start again together: callers come
// back at once, and the number is known within a second, from a list that was read when
// all had joined.
func TestNumberOfInstancesAfterARestart(t *testing.T) {
	w := newWorld()
	w.members = []string{"a"}
	run(t, w, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(changedJoinInterval / 2)
		require.Zero(t, g.Instances())
		w.set(func() { w.generation, w.members = 8, []string{"a", "b", "c"} })
		time.Sleep(time.Second)
		require.Equal(t, 3, g.Instances())
	})
}
