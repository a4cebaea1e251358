package limit

import (
	"testing"
	"time"
)

// fixed is the baseline that never changes the limit.
type fixed struct{}

func (fixed) next(limit float64, _ *window) float64 { return limit }

// BenchmarkAlgorithms runs each algorithm against an engine whose slots change from 24
// to 6, to 48 and back, and whose step times triple for a while. It reports the mean
// fraction of the slots in use and the mean number of sequences in excess of the slots,
// both in percent of the slots.
func BenchmarkAlgorithms(b *testing.B) {
	algorithms := map[string]algorithm{"fixed": fixed{}, "aimd": aimd{}, "gradient": gradient{}}
	signals := map[string]func(*engine){
		"times":    func(e *engine) { e.slowsPrefill = true },
		"waiting":  func(e *engine) { e.reportsWaiting = true },
		"refusals": func(e *engine) { e.refuses = true },
		"all":      func(e *engine) { e.slowsPrefill, e.reportsWaiting, e.reportsSlots, e.refuses = true, true, true, true },
	}
	for name, algorithm := range algorithms {
		for signal, apply := range signals {
			b.Run(name+"/"+signal, func(b *testing.B) {
				var sum outcome
				runs := uint64(0)
				for b.Loop() {
					runs++
					sum.add(runPhases(algorithm, newEngine(0, runs, apply)))
				}
				b.ReportMetric(100*sum.used/float64(runs), "used-%")
				b.ReportMetric(100*sum.excess/float64(runs), "beyond-%")
			})
		}
	}
}

func (o *outcome) add(other outcome) {
	o.used += other.used
	o.excess += other.excess
}

func runPhases(algorithm algorithm, e *engine) outcome {
	const minute = int(time.Minute / tick)
	l := New()
	l.algorithm = algorithm
	var sum outcome
	slots := []int{24, 6, 48, 24, 24, 24}
	for i, n := range slots {
		e.slots, e.stepTimeRatio = n, 1
		if i == 4 {
			e.stepTimeRatio = 3
		}
		sum.add(e.run(l, minute))
	}
	return outcome{used: sum.used / float64(len(slots)), excess: sum.excess / float64(len(slots))}
}

func BenchmarkObserve(b *testing.B) {
	l, now := New(), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Observe(now, Decode, l.Limit(), time.Millisecond)
	}
}
