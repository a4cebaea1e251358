package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// afterLosses returns a ledger after the end of eight processes, each of which took part in the runs
// of many requests whose responses had begun. Three processes of each request's path ended.
func afterLosses(requests int) *Ledger {
	l := NewLedger(retention)
	for i := range requests {
		f := fingerprint(fmt.Sprint("request", i))
		for p := range 3 {
			l.Merge(start, Evidence{Crashes: []Crash{progressedCrash(f, i, p)}})
		}
	}
	return l
}

func progressedCrash(f Fingerprint, request, stage int) Crash {
	return Crash{
		Fingerprint: f, Run: Run{Attempt: uint64(request), Number: uint32(stage)},
		Process: process(fmt.Sprint((request+3*stage)%8), 1), Progressed: true, At: start,
	}
}

// When replicas end, each instance gets a message of evidence from each other instance within a
// second. The work for one of them must not grow with the evidence that is already there.
func TestMessageOfEvidenceCostsLittle(t *testing.T) {
	l := afterLosses(400)
	n := 1000
	allocs := testing.AllocsPerRun(50, func() {
		n++
		l.Merge(start, Evidence{Crashes: []Crash{progressedCrash(fingerprint(fmt.Sprint("request", n)), n, 0)}})
		require.Zero(t, l.BlockedCount())
	})
	require.Less(t, allocs, 100.0)
}

// BenchmarkMerge measures one message of evidence after many losses.
func BenchmarkMerge(b *testing.B) {
	for _, requests := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			l := afterLosses(requests)
			n := requests
			b.ReportAllocs()
			for b.Loop() {
				n++
				f := fingerprint(fmt.Sprint("request", n))
				l.Merge(start, Evidence{Crashes: []Crash{progressedCrash(f, n, 0)}})
				l.BlockedCount()
				l.discard(f)
			}
		})
	}
}
