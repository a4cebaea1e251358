package poison

import (
	"fmt"
	"testing"
)

// outage returns a tracker after an outage of 100 replicas with 16 candidates each, and the
// candidates of the last crash.
func outage() (*Tracker, []Fingerprint) {
	tr := NewTracker(retention)
	candidates := make([]Fingerprint, 16)
	for i := range 100 {
		for j := range candidates {
			candidates[j] = fingerprint(fmt.Sprint(i, j))
		}
		tr.RecordCrash(start, fmt.Sprint(i), candidates...)
	}
	return tr, candidates
}

func BenchmarkBlocked(b *testing.B) {
	tr, candidates := outage()
	for name, f := range map[string]Fingerprint{"unknown": fingerprint("x"), "candidate": candidates[0]} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.IsBlocked(start, f)
			}
		})
	}
}

func BenchmarkCrash(b *testing.B) {
	tr, candidates := outage()
	b.ReportAllocs()
	for b.Loop() {
		tr.RecordCrash(start, "0", candidates...)
	}
}
