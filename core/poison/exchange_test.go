package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
