package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const perSlot = 100.0 // tokens per second of one slot in these tests

// serve runs the pool at a constant service rate until the given time, with ticks
// between completions.
func (d *driver) serve(until time.Time, started map[string]time.Time) {
	const tick = 100 * time.Millisecond
	for d.now.Before(until) {
		next, ended := d.now.Add(tick), -1
		if next.After(until) {
			next = until
		}
		for i, r := range d.running {
			if end := started[r.ID].Add(secondsToDuration(r.Cost / perSlot)); !end.After(next) {
				next, ended = end, i
			}
		}
		d.now = next
		if ended >= 0 {
			d.done(ended)
		} else {
			d.apply(d.q.Tick(d.now))
		}
	}
}

// newServer returns a pool that has measured its service rate from one request that ran
// alone. Actual costs are a quarter of the estimates; service times follow the
// estimates.
func newServer(c Config, slots int) (*driver, map[string]time.Time) {
	d := newDriver(New(c))
	d.actual = func(r Request) float64 { return r.Cost / 4 }
	started := map[string]time.Time{}
	d.observe = func(r Request) { started[r.ID] = d.now }
	d.capacity(slots)
	d.arrive("w", 0, 100, 0)
	d.serve(d.now.Add(time.Second), started)
	return d, started
}

// An idle pool refuses no request before its deadline, whatever service rate it
// measured, and no pool refuses by its service rate before the first completion.
func TestIdlePoolServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(New(Config{Ranks: []RankPolicy{{}, {MinShare: 0.1}}, MaxQueued: 100, UrgentReserve: 0.5}))
		d.capacity(rapid.IntRange(1, 4).Draw(t, "slots"))
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			rank := rapid.IntRange(0, 1).Draw(t, "rank")
			timeout := time.Duration(rapid.IntRange(1, 1000).Draw(t, "timeout")) * time.Millisecond
			d.arrive("w", rank, drawCost(t), timeout)
			require.Empty(t, d.refused)
			require.Len(t, d.running, 1)
			d.now = d.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "service")) * time.Second)
			d.done(0)
		}
	})
	d := newDriver(New(Config{MaxQueued: 100}))
	d.capacity(1)
	for range 50 {
		d.arrive("w", 0, 1000, time.Second)
	}
	require.Empty(t, d.refused)
}

// With a constant service rate, exact estimates and one workspace, an admitted request
// completes in time and a refused one would have been late. A refused request is
// admitted if it is retried one service time after the suggested time: the estimate
// assumes evenly spread completions, and slots that started together are up to one
// service time off.
func TestAdmittedRequestsAreInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		d, started := newServer(Config{MaxQueued: 1000}, slots)
		const cost, service, timeout = 100, time.Second, 10 * time.Second
		for range 400 {
			d.arrive("w", 0, cost, timeout)
		}
		// Each slot serves one such request a second.
		require.InDelta(t, 10*slots, len(d.running)+len(d.waiting), float64(slots))
		for _, e := range d.refused {
			require.Equal(t, ReasonUnmeetableDeadline, e.Reason)
		}
		advised := d.refused[len(d.refused)-1].RetryAfter
		require.InDelta(t, service/time.Duration(slots), advised, float64(time.Millisecond), "one completion")
		refused := len(d.refused)
		d.serve(d.now.Add(advised+service), started)
		d.arrive("w", 0, cost, timeout)
		require.Equal(t, refused, len(d.refused), "refused again after the suggested time")
		d.serve(d.now.Add(2*timeout), started)
		require.Equal(t, refused, len(d.refused), "an admitted request was refused later")
		require.Empty(t, d.waiting)
	})
}

// When service times vary, a deadline must leave the mean plus two standard deviations.
// Here one request in ten takes 9.1 s and the others 0.1 s, which makes 6.4 s of the 20
// s, so 13 requests may wait. The tolerance covers the noise of the estimated moments.
func TestVariableServiceTimeNeedsLongerDeadline(t *testing.T) {
	d, _ := newServer(Config{MaxQueued: 1000}, 1)
	for i := range 500 {
		d.arrive("w", 0, 100, 0)
		d.now = d.now.Add(100 * time.Millisecond)
		if i%10 == 5 {
			d.now = d.now.Add(9 * time.Second)
		}
		d.done(0)
	}
	for range 40 {
		d.arrive("w", 0, 100, 20*time.Second)
	}
	require.InDelta(t, 13, len(d.waiting), 2)
}

// When slots are lost, waiting requests that can no longer meet their deadline are
// refused at the next tick and not only when the deadline is near.
func TestLostSlotsRefuseAtNextTick(t *testing.T) {
	d, _ := newServer(Config{MaxQueued: 1000}, 10)
	for range 60 {
		d.arrive("w", 0, 100, 10*time.Second)
	}
	require.Empty(t, d.refused)
	d.capacity(1)
	d.apply(d.q.Tick(d.now))
	require.Greater(t, len(d.refused), 40)
	for _, e := range d.refused {
		require.Equal(t, ReasonDeadlineWhileQueued, e.Reason)
	}
}

// The deadlines of a less urgent rank are evaluated with the rate of its minimum share,
// not with the whole service rate.
func TestUrgentOverloadRefusesOtherRanksByTheirShare(t *testing.T) {
	d, _ := newServer(Config{Ranks: []RankPolicy{{}, {MinShare: 0.1}}, MaxQueued: 1000}, 10)
	for range 300 {
		d.arrive("urgent", 0, 100, 0)
	}
	// The minimum share of the rank is 100 tokens per second: one request per second.
	for range 60 {
		d.arrive("w", 1, 100, 20*time.Second)
	}
	require.InDelta(t, 20, d.queued("w", 1), 3)
}

// The expected wait counts the work that is served before a request. Ten busy slots
// serve 1000 tokens per second, so a completion frees a slot every 0.1 s.
func TestExpectedWait(t *testing.T) {
	check := func(name string, want time.Duration, prepare func(d *driver), workspace string) {
		c := Config{Ranks: []RankPolicy{{}, {}, {MinShare: 0.5}}, MaxQueued: 1000}
		c.Workspaces = map[string]WorkspacePolicy{"limited": {MaxInFlight: 2}}
		d, _ := newServer(c, 10)
		for range 2 {
			d.arrive("limited", 1, 100, 0)
		}
		for range 8 {
			d.arrive("busy", 1, 100, 0)
		}
		prepare(d)
		p, _ := d.q.Position(d.now, d.arrive(workspace, 1, 100, 0).ID)
		require.InEpsilon(t, want, p.Wait, 0.05, name)
	}
	check("one completion", 100*time.Millisecond, func(*driver) {}, "w")
	check("urgent backlog and demand", 1100*time.Millisecond*10/9, func(d *driver) {
		d.arrive("w", 0, 1000, 0)
	}, "w")
	check("expected work of a less urgent rank", 100*time.Millisecond*10/6, func(d *driver) {
		d.apply(d.q.Cancel(d.now, d.arrive("w", 2, 4000, 0).ID))
	}, "w")
	check("share of a less urgent rank", 200*time.Millisecond, func(d *driver) {
		d.arrive("w", 2, 100, 0)
	}, "w")
	check("one request each of others", time.Second, func(d *driver) {
		for i := range 9 {
			d.arrive(fmt.Sprint("w", i), 1, 100, 0)
		}
	}, "w")
	queue := func(d *driver, workspace string, n int) {
		for range n {
			d.arrive(workspace, 1, 100, 0)
		}
	}
	// The workspaces with running requests send 100 tokens per second and have none
	// queued.
	check("later arrivals of idle workspaces", 2100*time.Millisecond*10/9, func(d *driver) {
		queue(d, "w", 20)
	}, "w")
	check("later arrivals of short queues", 3100*time.Millisecond*10/8, func(d *driver) {
		queue(d, "short", 10)
		queue(d, "w", 20)
	}, "w")
	check("later arrivals have later tags", 400*time.Millisecond, func(d *driver) {
		for range 200 {
			d.apply(d.q.Cancel(d.now, d.arrive("busy", 1, 100, 0).ID))
		}
		queue(d, "w", 1)
	}, "w")
	check("bound of the workspace", time.Second, func(d *driver) {
		d.arrive("limited", 1, 100, 0)
	}, "limited")
}

// The estimated cost ahead differs from the tokens actually dispatched before the
// request by at most one largest request of each other workspace.
func TestPositionEstimatesCostAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		c.Ranks, c.MaxQueued = c.Ranks[:1], 1000
		for name, w := range c.Workspaces {
			c.Workspaces[name] = WorkspacePolicy{Weight: w.Weight}
		}
		d := newDriver(New(c))
		d.capacity(1)
		for range rapid.IntRange(2, 60).Draw(t, "requests") {
			d.arrive(fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "workspace")), 0, drawCost(t), 0)
			if rapid.IntRange(0, 3).Draw(t, "completion") == 0 {
				d.done(0)
			}
		}
		reported := map[string]float64{}
		for id := range d.waiting {
			p, ok := d.q.Position(d.now, id)
			require.True(t, ok)
			reported[id] = p.CostAhead
		}
		dispatched := 0.0
		d.observe = func(r Request) {
			require.InDelta(t, dispatched, reported[r.ID], 4*maxCost, r.ID)
			dispatched += r.Cost
		}
		for len(d.running) > 0 {
			d.done(0)
		}
	})
}

// After recent urgent requests, less urgent ones leave slots free for rank 0; after a
// long time without urgent requests they use every slot.
func TestReserveFollowsUrgentLoad(t *testing.T) {
	c := Config{Ranks: []RankPolicy{{}, {}}, MaxQueued: 1000, UrgentReserve: 0.2}
	d, _ := newServer(c, 10)
	flood := func() {
		for range 20 {
			d.arrive("flood", 1, 100, 0)
		}
	}
	for range 100 {
		d.arrive("w", 0, 100, 0)
		d.now = d.now.Add(time.Second)
		d.done(0)
	}
	flood()
	require.Len(t, d.running, 8)
	d.arrive("w", 0, 100, 0)
	require.Len(t, d.running, 9)
	require.Zero(t, d.queued("w", 0))
	d.done(len(d.running) - 1)
	d.now = d.now.Add(10 * time.Minute)
	d.apply(d.q.Tick(d.now))
	require.Len(t, d.running, 10)
}
