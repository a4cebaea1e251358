package admission

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/config"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// drawConfig draws weights and shares that are exact in binary, so that both
// implementations round equally.
func drawConfig(t *rapid.T) Config {
	c := Config{
		Workspaces:    map[string]WorkspacePolicy{},
		MaxQueued:     rapid.IntRange(1, 40).Draw(t, "max queued"),
		UrgentReserve: rapid.SampledFrom([]float64{0, 0.25}).Draw(t, "reserve"),
	}
	for range 3 {
		share := rapid.SampledFrom([]float64{0, 0.125, 0.25}).Draw(t, "share")
		c.Ranks = append(c.Ranks, RankPolicy{MinShare: share})
	}
	for i := range 5 {
		c.Workspaces[fmt.Sprint("w", i)] = WorkspacePolicy{
			Weight:      rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "weight"),
			MaxQueued:   rapid.SampledFrom([]int{0, 3, 8}).Draw(t, "workspace queue"),
			MaxInFlight: rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "workspace running"),
		}
	}
	return c
}

// drawRequest draws a request without a deadline.
func drawRequest(t *rapid.T, n int) Request {
	return Request{
		ID:        fmt.Sprint("r", n),
		Workspace: fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "workspace")),
		Rank:      config.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		Cost:      float64(rapid.IntRange(1, 64).Draw(t, "cost")),
	}
}

// drawHeld draws one of the waiting or running requests of the reference
// implementation.
func drawHeld(t *rapid.T, n *naiveQueue, running bool) *naiveRequest {
	held := n.filter(running, anyRequest)
	if len(held) == 0 {
		return nil
	}
	return rapid.SampledFrom(held).Draw(t, "request")
}

// checkDecisions compares the effects, ignoring RetryAfter.
func checkDecisions(t *rapid.T, want, got []Effect) {
	got = slices.Clone(got)
	for i := range got {
		got[i].RetryAfter = 0
	}
	if !slices.Equal(want, got) {
		t.Fatalf("decisions differ:\nwant %v\ngot  %v", want, got)
	}
}

func TestQueueDecidesLikeLinearScans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		q, n := New(c), newNaiveQueue(c)
		now, arrived := epoch, 0
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			n.beginEvent(now)
			event := rapid.SampledFrom([]string{
				"arrive", "arrive", "arrive", "arrive", "done", "done", "capacity", "cancel", "requeue", "configure", "tick",
			}).Draw(t, "event")
			var got []Effect
			switch event {
			case "arrive":
				r := drawRequest(t, arrived)
				arrived++
				n.arrive(r)
				got = q.Arrive(now, r)
			case "done":
				if r := drawHeld(t, n, true); r != nil {
					cost := float64(rapid.IntRange(1, 64).Draw(t, "actual"))
					n.end(r, cost)
					got = q.Done(now, r.ID, cost)
				}
			case "capacity":
				n.slots = rapid.IntRange(0, 9).Draw(t, "slots")
				n.fillSlots()
				got = q.SetSlots(now, n.slots)
			case "cancel":
				if r := drawHeld(t, n, false); r != nil {
					n.remove(r)
					n.fillSlots()
					got = q.Cancel(now, r.ID)
				}
			case "requeue":
				if r := drawHeld(t, n, true); r != nil {
					n.requeue(r)
					got = q.Requeue(now, r.ID)
				}
			case "configure":
				n.configure(drawConfig(t))
				got = q.Configure(now, n.cfg)
			case "tick":
				n.fillSlots()
				got = q.Tick(now)
			}
			checkDecisions(t, n.out, got)
			checkQueue(t, q, n)
		}
	})
}

// checkQueue checks invariants that hold between events.
func checkQueue(t *rapid.T, q *Queue, n *naiveQueue) {
	running := len(n.filter(true, anyRequest))
	require.Equal(t, running, q.inFlight)
	require.Equal(t, len(n.all)-running, q.queued)
	require.Len(t, q.requests, len(n.all))
	stats := q.Stats(2)
	require.LessOrEqual(t, len(stats.Heaviest), 2)
	for i, r := range stats.Ranks {
		require.Equal(t, n.credit[i], r.Credit, "credit of rank %d", i)
		waiting := n.filter(false, func(r *naiveRequest) bool { return r.flow.rank == i })
		require.Equal(t, cost(waiting), r.QueuedCost, "queued cost of rank %d", i)
	}
	for _, w := range stats.Heaviest {
		require.Equal(t, cost(n.filter(false, ofWorkspace(w.Workspace))), w.QueuedCost, "queued cost of %s", w.Workspace)
		require.Equal(t, cost(n.filter(true, ofWorkspace(w.Workspace))), w.InFlightCost, "running cost of %s", w.Workspace)
	}
}

func cost(requests []*naiveRequest) (total float64) {
	for _, r := range requests {
		total += r.Cost
	}
	return total
}

// FIFO serves in order of arrival regardless of rank, workspace and deadline; a
// requeued request is served first.
func TestFIFOServesInOrder(t *testing.T) {
	d := newDriver(NewFIFO(4))
	d.capacity(1)
	var want, got []string
	d.observe = func(r Request) { got = append(got, r.ID) }
	for i := range 7 {
		want = append(want, d.arrive(fmt.Sprint("w", i%2), i%3, 10, time.Second).ID)
	}
	require.Len(t, d.refused, 2)
	require.Equal(t, 40.0, d.q.Stats(0).Ranks[0].QueuedCost)
	first := d.running[0]
	d.running, d.waiting[first.ID] = nil, first
	d.apply(d.q.Requeue(d.now, first.ID))
	p, _ := d.q.Position(d.now, want[4])
	require.Equal(t, Position{Place: 5, CostAhead: 40}, p)
	got = nil
	d.now = d.now.Add(time.Minute)
	d.apply(d.q.Tick(d.now))
	for len(d.running) > 0 {
		d.done(0)
	}
	require.Equal(t, want[:5], got)
}
