package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticbank.example/core/config"
)

const (
	simulatedSlots = 32
	slotRate       = 100.0 // tokens per second of one slot
	capacity       = simulatedSlots * slotRate
)

// simulatedDeadlines are the clients' deadlines by rank.
var simulatedDeadlines = []time.Duration{10 * time.Second, 30 * time.Second, 2 * time.Minute}

// source sends the requests of one workspace and rank as a Poisson process. Their costs
// are exponentially distributed; the estimate is the mean.
type source struct {
	workspace string
	rank      int
	load      float64 // offered tokens per second divided by the capacity
	cost      float64 // mean tokens
}

var benchRanks = []RankPolicy{{MinShare: 0.5}, {MinShare: 0.2}, {MinShare: 0.1}}

// BenchmarkQueue measures one arrival, one completion and the dispatch that follows,
// with four waiting requests per workspace.
func BenchmarkQueue(b *testing.B) {
	for _, workspaces := range []int{10, 200, 2000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			c := Config{Ranks: benchRanks, Workspaces: map[string]WorkspacePolicy{}, MaxQueued: 1 << 20}
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
				c.Workspaces[names[i]] = WorkspacePolicy{Weight: float64(1 + i%4)}
			}
			q, now := New(c), epoch
			var ids, running []string
			next := 0
			arrive := func() {
				id := ids[len(ids)-1]
				ids = ids[:len(ids)-1]
				r := Request{
					ID: id, Workspace: names[next%workspaces], Rank: config.Rank(next / workspaces % 3),
					Cost: float64(50 + next%400), Deadline: now.Add(time.Hour),
				}
				next++
				q.Arrive(now, r)
			}
			done := func() {
				id := running[0]
				running = append(running[:0], running[1:]...)
				for _, e := range q.Done(now, id, float64(len(id)*30)) {
					running = append(running, e.ID)
				}
				ids = append(ids, id)
			}
			for i := range 4*workspaces + 1 {
				ids = append(ids, fmt.Sprint("request-", i))
			}
			for range 4 * workspaces {
				arrive()
			}
			for _, e := range q.SetSlots(now, simulatedSlots) {
				running = append(running, e.ID)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				arrive()
				done()
			}
		})
	}
}

// policies are the admission policies that the simulations compare.
var policies = []struct {
	name  string
	setup func() (q Admitter, slots int, afterEvent func())
}{
	{"fifo", func() (Admitter, int, func()) { return NewFIFO(1000), simulatedSlots, func() {} }},
	{"no-reserve", withReserve(0)},
	{"reserve-5%", withReserve(0.05)},
	{"reserve-10%", withReserve(0.1)},
	{"reserve-20%", withReserve(0.2)},
	{"constant-10%", withConstantReserve(simulatedSlots)},
	// Rank 0 may use 10 % more slots than the engines have; the engines run it with
	// priority and slow the other requests down.
	{"engine-priority", withConstantReserve(simulatedSlots + 3)},
}

// benchReserve is the urgent reserve that BenchmarkTick configures.
const benchReserve = 0.2

func benchConfig(reserve float64) Config {
	return Config{Ranks: benchRanks, MaxQueued: 1000, UrgentReserve: reserve}
}

func withReserve(share float64) func() (Admitter, int, func()) {
	return func() (Admitter, int, func()) { return New(benchConfig(share)), simulatedSlots, func() {} }
}

func withConstantReserve(slots int) func() (Admitter, int, func()) {
	return func() (Admitter, int, func()) {
		q := New(benchConfig(0.1))
		return q, slots, func() { q.urgentLoad.sum, q.urgentLoad.weight = 1e9, 1 }
	}
}

const simulatedTime = 30 * time.Minute

// mixed offers load times the capacity, from ten workspaces in three ranks.
func mixed(load float64) []source {
	var sources []source
	for i := range 10 {
		w := fmt.Sprint("w", i)
		sources = append(
			sources,
			source{w, 0, load * 0.02, 200},
			source{w, 1, load * 0.04, 400},
			source{w, 2, load * 0.04, 1000},
		)
	}
	return sources
}

// percentile returns the p-th percentile of waits.
func percentile(waits []float64, p float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(p/100*float64(len(waits)-1))]
}

// byRank merges the outcomes of the sources of each rank.
func byRank(sources []source, outcomes []outcome) [3]outcome {
	var ranks [3]outcome
	for i, o := range outcomes {
		r := &ranks[sources[i].rank]
		r.waits = append(r.waits, o.waits...)
		r.totals = append(r.totals, o.totals...)
		r.served += o.served
		r.inTime += o.inTime
		r.offered += o.offered
	}
	return ranks
}

func runPolicies(b *testing.B, sources []source, report func(b *testing.B, outcomes []outcome)) {
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			var outcomes []outcome
			for b.Loop() {
				q, slots, afterEvent := p.setup()
				outcomes = simulate(q, slots, sources, simulatedTime, afterEvent)
			}
			b.ReportMetric(0, "ns/op")
			report(b, outcomes)
		})
	}
}

func reportRanks(b *testing.B, sources []source, outcomes []outcome) {
	total, inTime := capacity*simulatedTime.Seconds(), 0.0
	for i, o := range byRank(sources, outcomes) {
		name := []string{"urgent", "middle", "least"}[i]
		b.ReportMetric(percentile(o.waits, 95), name+"-p95-s")
		b.ReportMetric(percentile(o.totals, 95), name+"-total-p95-s")
		b.ReportMetric(100*o.inTime/total, name+"-%")
		b.ReportMetric(100*o.served/total, name+"-served-%")
		inTime += o.inTime
	}
	b.ReportMetric(100*inTime/total, "goodput-%")
}

// BenchmarkLoad reports, by rank, the p95 wait of dispatched requests and the fraction
// of the capacity spent on requests that completed in time.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []float64{0.7, 1, 2, 4} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			sources := mixed(load)
			runPolicies(b, sources, func(b *testing.B, o []outcome) { reportRanks(b, sources, o) })
		})
	}
}

// BenchmarkFlood overloads the pool with requests of one workspace and rank on top of
// mixed work, so that four times the capacity is offered. The mixed work alone offers
// 0.7 of the capacity in the case of the least urgent rank and 1 in the case of the
// urgent one, so that the other ranks demand more than their minimum shares.
func BenchmarkFlood(b *testing.B) {
	for _, c := range []struct {
		name  string
		base  float64
		flood source
	}{
		{"least", 0.7, source{"flood", 2, 3.3, 1000}},
		{"urgent", 1, source{"flood", 0, 3, 200}},
	} {
		b.Run("rank="+c.name, func(b *testing.B) {
			sources := append(mixed(c.base), c.flood)
			runPolicies(b, sources, func(b *testing.B, o []outcome) {
				reportRanks(b, sources, o)
				others := byRank(sources, o[:len(o)-1])[0]
				b.ReportMetric(percentile(others.waits, 95), "urgent-others-p95-s")
			})
		})
	}
}

// BenchmarkSmallWorkspaces runs nine small workspaces beside one that offers 20 times
// the load of one of them. It reports the small workspaces' p95 wait and Jain's
// fairness index of the service relative to the max-min fair share.
func BenchmarkSmallWorkspaces(b *testing.B) {
	for _, large := range []float64{0, 20 * 0.05} {
		b.Run(fmt.Sprintf("large=%v", large), func(b *testing.B) {
			var sources []source
			for i := range 9 {
				sources = append(sources, source{fmt.Sprint("small", i), 1, 0.05, 400})
			}
			if large > 0 {
				sources = append(sources, source{"large", 1, large, 400})
			}
			runPolicies(b, sources, func(b *testing.B, outcomes []outcome) {
				var waits, totals []float64
				var sum, squares float64
				for i, o := range outcomes {
					// The small workspaces stay within their fair share; the large one gets the rest.
					fair := min(o.offered, (1-0.05*9)*capacity*simulatedTime.Seconds())
					x := o.inTime / fair
					sum += x
					squares += x * x
					if i < 9 {
						waits = append(waits, o.waits...)
						totals = append(totals, o.totals...)
					}
				}
				b.ReportMetric(percentile(waits, 95), "small-p95-s")
				b.ReportMetric(percentile(totals, 95), "small-total-p95-s")
				b.ReportMetric(sum*sum/(float64(len(outcomes))*squares), "jain")
			})
		})
	}
}

// BenchmarkTick measures one tick with 8000 waiting requests of 2000 workspaces. A tick
// examines a bounded number of them.
func BenchmarkTick(b *testing.B) {
	c := benchConfig(benchReserve)
	c.MaxQueued = 10_000
	d := newDriver(New(c))
	for i := range 8000 {
		d.arrive(fmt.Sprint("w", i%2000), i/2000%3, 100, time.Hour)
	}
	d.capacity(simulatedSlots)
	d.now = d.now.Add(time.Second)
	d.done(0)
	b.ReportAllocs()
	for b.Loop() {
		d.now = d.now.Add(time.Microsecond)
		d.apply(d.q.Tick(d.now))
	}
}
