package health

import "testing"

// BenchmarkProgress measures the cost of one response received on a connection.
func BenchmarkProgress(b *testing.B) {
	u := NewUpstream(DefaultConfig(), NewGroup(0.5), 1)
	u.Step(start, Listed{})
	u.Step(start, ProbeSucceeded{1})
	var event Event = Progress{7}
	b.ReportAllocs()
	for b.Loop() {
		u.Step(start, event)
	}
}
