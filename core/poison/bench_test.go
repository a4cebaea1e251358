package poison

import (
	"fmt"
	"testing"
)

// outage returns a tracker after an outage of 100 replicas with 16 suspects each,
// and the suspects of the last.
func outage() (*Tracker, []Fingerprint) {
	tr := NewTracker(retention)
	suspects := make([]Fingerprint, 16)
	for i := range 100 {
		for j := range suspects {
			suspects[j] = print(fmt.Sprint(i, j))
		}
		tr.Crash(start, fmt.Sprint(i), suspects...)
	}
	return tr, suspects
}

func BenchmarkBlocked(b *testing.B) {
	tr, suspects := outage()
	for name, f := range map[string]Fingerprint{"stranger": print("x"), "suspect": suspects[0]} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.Blocked(start, f)
			}
		})
	}
}

func BenchmarkCrash(b *testing.B) {
	tr, suspects := outage()
	b.ReportAllocs()
	for b.Loop() {
		tr.Crash(start, "0", suspects...)
	}
}
