package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBlocked is the cost per request while crashes of many replicas are
// remembered.
func BenchmarkBlocked(b *testing.B) {
	tr := NewTracker(retention)
	for i := range 64 {
		tr.Crash(start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), print(fmt.Sprint(i)), print("common"))
	}
	now := start.Add(time.Minute)
	for _, name := range []string{"stranger", "1", "common"} {
		f := print(name)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.Blocked(now, f)
			}
		})
	}
}

// BenchmarkCrash is the cost of one crash with 16 suspects after an outage that
// took 100 replicas.
func BenchmarkCrash(b *testing.B) {
	tr := NewTracker(retention)
	var suspects []Fingerprint
	for i := range 100 {
		suspects = suspects[:0]
		for j := range 16 {
			suspects = append(suspects, print(fmt.Sprint(i, j)))
		}
		tr.Crash(start, fmt.Sprint(i), suspects...)
	}
	b.ReportAllocs()
	for b.Loop() {
		tr.Crash(start, "0", suspects...)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	prompt := string(make([]byte, 4096))
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("m", prompt, "max_tokens=100")
	}
}
