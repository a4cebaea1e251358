package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lifecycle records the events of each request in a random history.
type lifecycle struct {
	*driver
	q *Queue
	// dispatches and requeues count the dispatches and requeues by request ID.
	dispatches, requeues map[string]int
	newestDispatched     map[string]int // by flow, number of the newest request that was dispatched
}

func newLifecycle(t *rapid.T, c Config) *lifecycle {
	q := New(c)
	l := &lifecycle{
		driver: newDriver(q), q: q,
		dispatches: map[string]int{}, requeues: map[string]int{}, newestDispatched: map[string]int{},
	}
	l.observe = func(r Request) {
		require.True(t, r.Deadline.IsZero() || r.Deadline.After(l.now), "dispatched after its deadline")
		l.dispatches[r.ID]++
		if l.dispatches[r.ID] > 1 {
			return
		}
		var number int
		_, _ = fmt.Sscanf(r.ID, "r%d", &number)
		flow := fmt.Sprint(r.Workspace, "/", r.Rank)
		require.GreaterOrEqual(t, number, l.newestDispatched[flow], "order within %s", flow)
		l.newestDispatched[flow] = number
	}
	return l
}

func (l *lifecycle) step(t *rapid.T) (requeued bool) {
	pick := func() int { return rapid.IntRange(0, len(l.running)-1).Draw(t, "running") }
	switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
	case event < 5:
		r := drawRequest(t, 0)
		timeout := time.Duration(rapid.IntRange(-1, 20).Draw(t, "timeout")) * time.Second
		l.arrive(r.Workspace, int(r.Rank), r.Cost, timeout)
	case event < 7 && len(l.running) > 0:
		l.done(pick())
	case event == 7:
		l.capacity(rapid.IntRange(0, 6).Draw(t, "slots"))
	case event == 8 && len(l.running) > 0:
		i := pick()
		r := l.running[i]
		l.running = append(l.running[:i:i], l.running[i+1:]...)
		l.waiting[r.ID] = r
		l.requeues[r.ID]++
		l.apply(l.q.Requeue(l.now, r.ID))
		return true
	default:
		l.apply(l.q.Tick(l.now))
	}
	return false
}

// Each request is dispatched once more than it was requeued, is refused, or still
// waits; the driver panics on an effect for a request that does not wait. Requests of
// one flow are first dispatched in order of arrival. No slot is idle while a request
// may use it, except for the slots reserved for rank 0.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		l := newLifecycle(t, c)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			l.now = l.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			requeued := l.step(t)
			require.Len(t, l.q.requests, len(l.waiting)+len(l.running))
			require.LessOrEqual(t, l.q.queued, c.MaxQueued+len(l.requeues))
			for _, r := range l.waiting {
				require.False(t, !r.Deadline.IsZero() && r.Deadline.Before(l.now), "waits past its deadline")
			}
			if requeued {
				continue
			}
			usable := l.q.slots - l.q.inFlight
			requireNoneReady(t, l.q, 0, usable)
			usable = min(usable, l.q.slots-l.q.reserved()-(l.q.inFlight-l.q.urgentInFlight))
			requireNoneReady(t, l.q, 1, usable)
			requireNoneReady(t, l.q, 2, usable)
		}
		for _, r := range l.running {
			require.Equal(t, l.requeues[r.ID]+1, l.dispatches[r.ID], r.ID)
		}
		for _, e := range l.refused {
			require.Equal(t, l.requeues[e.ID], l.dispatches[e.ID], e.ID)
			require.NotEqual(t, ReasonNone, e.Reason)
			require.Positive(t, e.RetryAfter)
		}
	})
}

func requireNoneReady(t *rapid.T, q *Queue, rank, usable int) {
	if usable > 0 {
		require.Nil(t, q.ranks[rank].nextFlow(), "rank %d waits beside %d usable slots", rank, usable)
	}
}

// A requeued request is dispatched before the others of its flow and is charged once.
func TestRequeuedRequestKeepsItsPlace(t *testing.T) {
	d := newDriver(New(Config{Ranks: []RankPolicy{{}}, MaxQueued: 100}))
	d.capacity(1)
	first := d.arrive("a", 0, 10, 0)
	for range 3 {
		d.arrive("a", 0, 10, 0)
		d.arrive("b", 0, 10, 0)
	}
	for range 5 {
		d.running = nil
		d.waiting[first.ID] = first
		d.apply(d.q.Requeue(d.now, first.ID))
		require.Empty(t, d.running, "requeueing a request dispatches nothing")
		d.apply(d.q.Tick(d.now))
		require.Equal(t, first.ID, d.running[0].ID)
	}
	var order string
	for len(d.running) > 0 {
		order += d.running[0].Workspace
		d.done(0)
	}
	require.Equal(t, "abababa", order)
}

// A running request whose client disconnects is charged for the time it ran and not for
// its full cost, which would delay its workspace.
func TestCancelledRequestIsChargedForElapsedTime(t *testing.T) {
	d, _ := newServer(Config{MaxQueued: 100}, 1)
	d.actual = func(r Request) float64 { return r.Cost }
	d.arrive("leaving", 0, 1000, 0)
	for range 2 {
		d.arrive("other", 0, 300, 0)
		d.arrive("leaving", 0, 300, 0)
	}
	d.now = d.now.Add(time.Second)
	left := d.running[0].ID
	d.running = nil
	d.apply(d.q.Cancel(d.now, left))
	var order []string
	for len(d.running) > 0 {
		order = append(order, d.running[0].Workspace)
		d.done(0)
	}
	require.Equal(t, []string{"other", "leaving", "other", "leaving"}, order)
}

// A full pool evicts the newest request of the flow in the least urgent rank that would
// be served last, whichever request arrives.
func TestEvictionFromFullPool(t *testing.T) {
	d := newDriver(New(Config{Ranks: []RankPolicy{{}, {}}, MaxQueued: 4}))
	d.arrive("small", 1, 10, 0)
	d.arrive("large", 1, 10, 0)
	d.arrive("large", 1, 10, 0)
	newest := d.arrive("large", 1, 10, 0)
	d.arrive("large", 0, 10, 0)
	require.Equal(t, newest.ID, d.refused[0].ID)
	require.Equal(t, ReasonPoolFull, d.refused[0].Reason)
	newcomer := d.arrive("large", 1, 10, 0)
	require.Equal(t, newcomer.ID, d.refused[1].ID)
	d.arrive("other", 1, 10, 0)
	require.Equal(t, "large", map[string]string{"r2": "large"}[d.refused[2].ID])
	for range 10 {
		d.arrive("large", 0, 10, 0)
	}
	require.Zero(t, d.queued("", 1), "the less urgent rank is evicted first")
	require.Equal(t, 4, d.queued("", 0))
}
