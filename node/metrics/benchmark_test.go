package metrics

import (
	"fmt"
	"testing"
	"time"

	"masticbank.example/core/execution"
)

// BenchmarkObserve measures recording one duration of a request.
func BenchmarkObserve(b *testing.B) {
	q := New(Options{}).NewRequest(0, "w")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Observe(BetweenTokens, time.Duration(i%100_000)*time.Microsecond)
	}
}

// BenchmarkRequest measures recording a complete request with ten tokens, from many
// goroutines concurrently.
func BenchmarkRequest(b *testing.B) {
	r := New(Options{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			q := r.NewRequest(i%3, "w")
			q.Observe(QueueWait, time.Millisecond)
			q.Observe(FirstToken, time.Millisecond)
			for range 10 {
				q.Observe(BetweenTokens, time.Millisecond)
			}
			q.Observe(Total, time.Second)
			q.Finish(Completed, execution.Ran)
		}
	})
}

// fill records one request of each of n workspaces.
func fill(r *Registry, n int) {
	for i := range n {
		q := r.NewRequest(i%3, fmt.Sprint(i))
		for m := range metricCount {
			q.Observe(m, time.Duration(i+1)*time.Millisecond)
		}
	}
}

// BenchmarkRotate measures one rotation, which takes place every slicePeriod.
func BenchmarkRotate(b *testing.B) {
	for _, n := range []int{10, 50, 2000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			r := New(Options{})
			for b.Loop() {
				b.StopTimer()
				fill(r, n)
				b.StartTimer()
				r.Rotate()
			}
		})
	}
}

// BenchmarkSnapshot measures one snapshot of all metrics.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 50, 2000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			r := New(Options{})
			fill(r, n)
			for b.Loop() {
				r.Snapshot()
			}
			b.ReportMetric(float64(BytesPerSeries()), "B/workspace")
		})
	}
}
