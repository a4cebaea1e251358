package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// TestKeptIncidentsMatchCrashes checks that the blocks do not depend on what is kept from one
// computation to the next, and that a fingerprint which is no suspect has too little evidence.
func TestKeptIncidentsMatchCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(retention)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(i) * time.Second)
			f := fingerprint(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request")))
			if rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				l.RecordSuccess(now.Add(-2*clearedDuration), f)
			}
			l.Merge(now, Evidence{Crashes: []Crash{{
				Fingerprint: f, Run: Run{Attempt: uint64(rapid.IntRange(0, 5).Draw(t, "run"))},
				Process:    process(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "replica")), 1),
				Progressed: rapid.Bool().Draw(t, "progressed"), At: now,
			}}})
			l.BlockedCount()
			requireSameBlocks(t, l)
		}
	})
}

// requireSameBlocks compares the blocks with those of a ledger with the same evidence that has
// kept nothing.
func requireSameBlocks(t *rapid.T, l *Ledger) {
	other := NewLedger(retention)
	for f, r := range l.tracked {
		other.tracked[f] = &crashHistory{crashes: r.crashes}
	}
	for f, r := range other.tracked {
		_, reached := other.thresholdReached(f)
		require.Equal(t, reached, r.isSuspect())
	}
	for f, r := range l.tracked {
		require.Equal(t, other.IsBlocked(f), r.blocked)
		digest := uint64(0)
		for _, c := range r.crashes {
			digest ^= c.hash()
		}
		require.Equal(t, digest, r.digest)
	}
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
