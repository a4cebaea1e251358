package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// afterSharedCrashes returns a ledger after the end of two processes, each with 160 runs whose
// responses had not begun, of sound requests that share 40 parts.
func afterSharedCrashes() *Ledger {
	l := NewLedger(retention)
	for p := range 2 {
		var prompts []prompt
		for i := range 160 {
			prompts = append(prompts, newPrompt(fmt.Sprint("sound", p, i), fmt.Sprint("common", i%40)))
		}
		crashUnder(l, start, process(fmt.Sprint("s", p), 1), prompts...)
	}
	return l
}

// TestEvidenceOfLossesHidesADeadlyRequest guards against a limit on the evidence in one message that
// leaves out a request which is blocked, because parts of sound requests met more crashes: instances
// that connect later than contactMs (4 s) after its third crash would run copies of it.
func TestEvidenceOfLossesHidesADeadlyRequest(t *testing.T) {
	const connected, contact = 44, 4 * time.Second
	l := afterSharedCrashes()
	f := fingerprint("deadly")
	crashRepeatedly(l, start, f, 0, 3)
	now := start.Add(contact + time.Second)
	require.NotNil(t, l.Admit(now, f, 1))
	late := 0
	for i := range connected {
		other := NewLedger(retention)
		other.Merge(now, l.Evidence())
		if other.Admit(now, f, uint64(i)) == nil {
			late++
		}
	}
	require.Zero(t, late, "copies that reach replicas later than 4 s after the third crash")
}

// TestThirdCrashIsToldWithoutTheFirstTwo guards against instances that know the crash that blocks a
// request and not the earlier ones, whose messages they missed: each message reaches half of 89
// instances, and while replicas keep ending there is no comparison of all evidence.
func TestThirdCrashIsToldWithoutTheFirstTwo(t *testing.T) {
	const instances, contact = 89, 4 * time.Second
	var ledgers []*Ledger
	for range instances {
		ledgers = append(ledgers, NewLedger(retention))
	}
	f := fingerprint("deadly")
	for crash := range 3 {
		crashOnce(ledgers[0], start, f, process(fmt.Sprint(crash), 1))
		updates := ledgers[0].DrainUpdates()
		for i := 1; i < instances; i++ {
			if crash == 2 || i%2 == crash {
				ledgers[i].Merge(start, updates)
			}
		}
	}
	late := 0
	for i, l := range ledgers {
		if l.Admit(start.Add(contact+time.Second), f, uint64(i)) == nil {
			late++
		}
	}
	require.Zero(t, late, "copies that reach replicas later than 4 s after the third crash")
}

// TestToldAgainIsBounded guards against messages that grow with all crashes of a part which many
// requests share.
func TestToldAgainIsBounded(t *testing.T) {
	l := afterSharedCrashes()
	l.DrainUpdates()
	part := newPrompt("", "common0")
	for p := range maxCrashesEach {
		l.RecordProgress(start.Add(-2*clearedDuration), part.parts...)
		crashUnder(l, start, process(fmt.Sprint("t", p), 1), newPrompt(fmt.Sprint("more", p), "common0"))
		require.LessOrEqual(t, len(l.DrainUpdates().Crashes), 2+maxToldAgain)
	}
}

// TestManyCopiesHideLaterCrashes guards against a bound on the crashes of one fingerprint that is
// filled by copies which ran on the same replicas: a request that crashes replicas after its response
// has gone on for a while needs six incidents, and four copies run on each replica.
func TestManyCopiesHideLaterCrashes(t *testing.T) {
	const replicas, copies, allowed = 12, 4, 6
	l := NewLedger(retention)
	f := fingerprint("deadly")
	crashed := 0
	for p := range replicas {
		if l.Admit(start, f, 1) != nil {
			break
		}
		r := process(fmt.Sprint(p), 1)
		for range copies {
			run := lostRun(f, start, r)
			run.Progressed = true
			l.RecordLostRun(start, run)
		}
		l.RecordEnd(start, r)
		crashed++
	}
	require.Equal(t, allowed, crashed)
}

// TestKeptCrashesDoNotDependOnOrder guards against instances whose digests stay different, so that they
// send each other all evidence again and again, as each keeps other crashes of a part that many
// requests share.
func TestKeptCrashesDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewLedger(retention), NewLedger(retention)
		var crashes []Crash
		for range rapid.IntRange(1, 60).Draw(t, "crashes") {
			crashes = append(crashes, Crash{
				Fingerprint: fingerprint("a"), Run: Run{Attempt: uint64(rapid.IntRange(0, 20).Draw(t, "run"))},
				Process: process(fmt.Sprint(rapid.IntRange(0, maxCrashesEach-1).Draw(t, "replica")), 1), At: start,
			})
		}
		a.Merge(start, Evidence{Crashes: crashes})
		b.Merge(start, Evidence{Crashes: rapid.Permutation(crashes).Draw(t, "order")})
		require.Equal(t, a.Digest(), b.Digest())
	})
}

// BenchmarkEvidence measures the evidence for one other instance after many losses.
func BenchmarkEvidence(b *testing.B) {
	for _, requests := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			l := afterLosses(requests)
			b.ReportAllocs()
			for b.Loop() {
				l.Evidence()
			}
		})
	}
}

// BenchmarkMergeKnown measures a full message of evidence that is known already.
func BenchmarkMergeKnown(b *testing.B) {
	l := afterLosses(400)
	evidence := l.Evidence()
	b.ReportAllocs()
	for b.Loop() {
		l.Merge(start, evidence)
	}
}

// BenchmarkDrainUpdates measures the message about the end of a process under 160 runs of requests that
// share 40 parts, which met two ends before.
func BenchmarkDrainUpdates(b *testing.B) {
	l := afterSharedCrashes()
	updates := l.DrainUpdates()
	b.ReportAllocs()
	for b.Loop() {
		l.updates.Crashes = updates.Crashes[:320]
		l.DrainUpdates()
	}
}
