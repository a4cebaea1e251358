package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fixed is the baseline without learning.
type fixed struct{}

func (fixed) next(limit float64, _ *window) float64 { return limit }

// BenchmarkLaws runs each law against an engine whose slots change from 24 to 6, to
// 48 and back, and whose pace falls to a third for a while. It reports the mean part
// of the slots in use and the mean number of sequences beyond the slots, both in
// percent of the slots.
func BenchmarkLaws(b *testing.B) {
	laws := []struct {
		name string
		law  law
	}{{"fixed", fixed{}}, {"aimd", aimd{}}, {"gradient", gradient{}}}
	signs := []struct {
		name  string
		apply func(*engine)
	}{
		{"times", func(e *engine) { e.slows = true }},
		{"waiting", func(e *engine) { e.reports = true }},
		{"refusals", func(e *engine) { e.refuses = true }},
		{"all", func(e *engine) { e.slows, e.reports, e.tells, e.refuses = true, true, true, true }},
	}
	for _, l := range laws {
		for _, s := range signs {
			b.Run(l.name+"/"+s.name, func(b *testing.B) {
				var sum outcome
				runs := uint64(0)
				for b.Loop() {
					runs++
					o := runPhases(l.law, s.apply, runs)
					sum.used += o.used
					sum.beyond += o.beyond
				}
				b.ReportMetric(100*sum.used/float64(runs), "used-%")
				b.ReportMetric(100*sum.beyond/float64(runs), "beyond-%")
			})
		}
	}
}

func runPhases(law law, sign func(*engine), seed uint64) outcome {
	const ticks = 1200 // a minute
	phases := []struct {
		slots int
		pace  float64
	}{{24, 1}, {6, 1}, {48, 1}, {24, 1}, {24, 3}, {24, 1}}
	e := newEngine(0, seed)
	sign(e)
	l := New()
	l.law = law
	var sum outcome
	for _, p := range phases {
		e.slots, e.pace = p.slots, p.pace
		o := e.run(l, ticks)
		sum.used += o.used / float64(len(phases))
		sum.beyond += o.beyond / float64(len(phases))
	}
	return sum
}

func BenchmarkObserve(b *testing.B) {
	l := New()
	random := rand.New(rand.NewPCG(1, 0))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Observe(now, Decode, l.Limit(), time.Duration(random.IntN(1000)))
	}
}
