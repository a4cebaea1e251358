package limit

import (
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
	laws := map[string]law{"fixed": fixed{}, "aimd": aimd{}, "gradient": gradient{}}
	signs := map[string]func(*engine){
		"times":    func(e *engine) { e.slows = true },
		"waiting":  func(e *engine) { e.reports = true },
		"refusals": func(e *engine) { e.refuses = true },
		"all":      func(e *engine) { e.slows, e.reports, e.tells, e.refuses = true, true, true, true },
	}
	for name, law := range laws {
		for sign, apply := range signs {
			b.Run(name+"/"+sign, func(b *testing.B) {
				var sum outcome
				runs := uint64(0)
				for b.Loop() {
					runs++
					sum.add(runPhases(law, newEngine(0, runs, apply)))
				}
				b.ReportMetric(100*sum.used/float64(runs), "used-%")
				b.ReportMetric(100*sum.beyond/float64(runs), "beyond-%")
			})
		}
	}
}

func (o *outcome) add(other outcome) {
	o.used += other.used
	o.beyond += other.beyond
}

func runPhases(law law, e *engine) outcome {
	const minute = int(time.Minute / tick)
	l := New()
	l.law = law
	var sum outcome
	slots := []int{24, 6, 48, 24, 24, 24}
	for i, n := range slots {
		e.slots, e.pace = n, 1
		if i == 4 {
			e.pace = 3
		}
		sum.add(e.run(l, minute))
	}
	return outcome{used: sum.used / float64(len(slots)), beyond: sum.beyond / float64(len(slots))}
}

func BenchmarkObserve(b *testing.B) {
	l, now := New(), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Observe(now, Decode, l.Limit(), time.Millisecond)
	}
}
