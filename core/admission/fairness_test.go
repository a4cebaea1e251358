package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const maxCost = 64 // tokens of the largest request in these tests

func drawCost(t *rapid.T) float64 { return float64(rapid.IntRange(1, maxCost).Draw(t, "cost")) }

// valueRange tracks the range of a changing value since its last reset.
type valueRange struct {
	low, high, maxDrop float64 // maxDrop is the largest drop below an earlier value
}

func (r *valueRange) add(v float64) {
	r.low, r.high = min(r.low, v), max(r.high, v)
	r.maxDrop = max(r.maxDrop, r.high-v)
}

// For any two workspaces that are backlogged throughout an interval, the services they
// receive, divided by their weights, differ by at most maxCost/w_i + maxCost/w_j.
func TestFairQueueingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Ranks: []RankPolicy{{}}, MaxQueued: 1000, Workspaces: map[string]WorkspacePolicy{}}
		n := rapid.IntRange(2, 5).Draw(t, "workspaces")
		for i := range n {
			weight := float64(rapid.IntRange(1, 8).Draw(t, "weight"))
			c.Workspaces[fmt.Sprint("w", i)] = WorkspacePolicy{Weight: weight}
		}
		d := newDriver(New(c))
		served := make([]float64, n)
		between := make([]valueRange, n*n)
		d.observe = func(r Request) {
			var i int
			_, _ = fmt.Sscanf(r.Workspace, "w%d", &i)
			served[i] += r.Cost / c.Workspaces[r.Workspace].Weight
			for j := range n {
				between[i*n+j].add(served[i] - served[j])
				between[j*n+i].add(served[j] - served[i])
			}
		}
		for i := range n {
			for range 3 {
				d.arrive(fmt.Sprint("w", i), 0, drawCost(t), 0)
			}
		}
		d.capacity(rapid.IntRange(1, 4).Draw(t, "slots"))
		for range 60 {
			for i := range n {
				w := fmt.Sprint("w", i)
				for d.queued(w, 0) < 5 {
					d.arrive(w, 0, drawCost(t), 0)
				}
			}
			d.done(rapid.IntRange(0, len(d.running)-1).Draw(t, "completion"))
		}
		for i := range n {
			for j := range n {
				bound := maxCost/c.Workspaces[fmt.Sprint("w", i)].Weight + maxCost/c.Workspaces[fmt.Sprint("w", j)].Weight
				got := between[i*n+j].high - between[i*n+j].low
				require.LessOrEqual(t, got, bound+1e-9, "workspaces %d and %d", i, j)
			}
		}
	})
}

// drawShares draws the minimum shares of three ranks and returns the share that each
// rank is guaranteed: rank 0 gets what the others leave.
func drawShares(t *rapid.T, c *Config) (kept []float64) {
	middle := rapid.Float64Range(0, 0.5).Draw(t, "middle share")
	least := rapid.Float64Range(0, 0.5).Draw(t, "least share")
	c.Ranks = []RankPolicy{{}, {MinShare: middle}, {MinShare: least}}
	return []float64{1 - middle - least, middle, least}
}

// In any period in which a rank is backlogged throughout and S tokens are dispatched,
// it receives at least share*S - 2*maxCost tokens: the allowance is one largest request
// for each rank but one. With reserved slots the allowance doubles.
func TestRankKeepsItsShare(t *testing.T) {
	for _, reserve := range []float64{0, 0.25} {
		allowance := 2.0 * maxCost
		if reserve > 0 {
			allowance *= 2
		}
		rapid.Check(t, func(t *rapid.T) {
			c := Config{MaxQueued: 1000, UrgentReserve: reserve}
			kept := drawShares(t, &c)
			d := newDriver(New(c))
			served, total := [3]float64{}, 0.0
			lag := [3]valueRange{}
			d.observe = func(r Request) {
				served[r.Rank] += r.Cost
				total += r.Cost
				for i := range lag {
					surplus := served[i] - kept[i]*total
					lag[i].add(surplus)
					if d.queued("", i) == 0 {
						lag[i] = valueRange{low: surplus, high: surplus, maxDrop: lag[i].maxDrop}
					}
				}
			}
			d.capacity(rapid.IntRange(1, 9).Draw(t, "slots"))
			for range 150 {
				if rapid.Bool().Draw(t, "arrival") || len(d.running) == 0 {
					rank := rapid.IntRange(0, 2).Draw(t, "rank")
					for range rapid.IntRange(1, 6).Draw(t, "burst") {
						d.arrive("w", rank, drawCost(t), 0)
					}
					continue
				}
				d.done(rapid.IntRange(0, len(d.running)-1).Draw(t, "completion"))
			}
			for i := range lag {
				require.LessOrEqual(t, lag[i].maxDrop, allowance+1e-6, "rank %d with reserve %v", i, reserve)
			}
		})
	}
}

// A rank whose credit covers a whole request gets a reserved slot, even if its other
// requests never end and urgent requests never wait.
func TestOwedRankMayUseReservedSlot(t *testing.T) {
	d := newDriver(New(Config{Ranks: []RankPolicy{{}, {MinShare: 0.2}}, MaxQueued: 100, UrgentReserve: 0.25}))
	d.capacity(4)
	urgent, least := 0.0, 0.0
	d.observe = func(r Request) {
		if r.Rank == 0 {
			urgent += r.Cost
		} else {
			least += r.Cost
		}
	}
	for range 100 {
		d.arrive("w", 0, 10, 0)
		d.now = d.now.Add(time.Second)
		d.done(0)
	}
	for range 10 {
		d.arrive("w", 1, 10, 0)
	}
	require.Len(t, d.running, 3)
	urgent, least = 0, 0
	for range 20 {
		d.arrive("w", 0, 10, 0)
		if last := len(d.running) - 1; d.running[last].Rank == 0 {
			d.done(last)
		}
	}
	require.Equal(t, 10.0, least)
}

// Under overload by any rank, an urgent request of a workspace without other work is
// dispatched before (A + 2*maxCost)/(1-M) tokens are. A is its own cost plus one
// largest request of each other urgent workspace; M is the sum of the minimum shares of
// the other ranks.
func TestUrgentWaitIsBoundedUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{MaxQueued: 1000}
		kept := drawShares(t, &c)
		d := newDriver(New(c))
		d.capacity(rapid.IntRange(1, 4).Draw(t, "slots"))
		flood := rapid.IntRange(0, 2).Draw(t, "flooding rank")
		others := rapid.IntRange(1, 4).Draw(t, "flooding workspaces")
		keepFlooding := func() {
			for i := range others {
				w := fmt.Sprint("flood", i)
				for d.queued(w, flood) < 10 {
					d.arrive(w, flood, drawCost(t), 0)
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "earlier completions") {
			keepFlooding()
			d.done(0)
		}
		keepFlooding()
		dispatched := 0.0
		d.observe = func(r Request) { dispatched += r.Cost }
		urgent := d.arrive("small", 0, drawCost(t), 0)
		ahead := urgent.Cost
		if flood == 0 {
			ahead += float64(others) * maxCost
		}
		bound := (ahead + 2*maxCost) / kept[0]
		for kept[0] > 0.01 && d.isWaiting(urgent) {
			require.LessOrEqual(t, dispatched, bound)
			keepFlooding()
			d.done(0)
		}
	})
}

// Estimates that are wrong by a constant factor are corrected on completion: measured
// in tokens actually served, workspaces of equal weight get the same service and a rank
// gets at least 95 % of its share.
func TestWrongEstimatesAreCorrected(t *testing.T) {
	c := Config{Ranks: []RankPolicy{{}, {MinShare: 0.2}}, MaxQueued: 1000}
	d := newDriver(New(c))
	d.actual = func(r Request) float64 {
		if r.Workspace == "cautious" {
			return r.Cost / 4
		}
		return r.Cost
	}
	served := map[string]float64{}
	refill := func() {
		for d.queued("cautious", 0) < 3 {
			d.arrive("cautious", 0, 40, 0)
		}
		for d.queued("exact", 0) < 3 {
			d.arrive("exact", 0, 10, 0)
		}
		for d.queued("cautious", 1) < 3 {
			d.arrive("cautious", 1, 40, 0)
		}
	}
	refill()
	d.capacity(4)
	for range 4000 {
		served[fmt.Sprint(d.running[0].Workspace, d.running[0].Rank)] += d.actual(d.running[0])
		d.done(0)
		refill()
	}
	total := served["cautious0"] + served["exact0"] + served["cautious1"]
	require.InEpsilon(t, served["exact0"], served["cautious0"], 0.05)
	require.GreaterOrEqual(t, served["cautious1"], 0.95*0.2*total)
}
