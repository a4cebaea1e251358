package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCopyRunsBeforeALateCheckEnds guards against admitting a copy because a fixed time has passed,
// while it is still being checked whether the last lost run was the crash that blocks the request.
func TestCopyRunsBeforeALateCheckEnds(t *testing.T) {
	l, f := NewLedger(retention), fingerprint("a")
	crashRepeatedly(l, start, f, 0, 2)
	lose(l, start, f, process("r", 1))
	l.BeginCheck("r")
	late := start.Add(3 * proofTimeout)
	refusal := l.Admit(late, f, 1)
	require.NotNil(t, refusal)
	require.Positive(t, refusal.RetryAfter)
	require.Nil(t, l.Admit(start.Add(matchWindow), f, 1), "no end can be matched with the run any more")
	l.EndCheck("r")
	require.Nil(t, l.Admit(late, f, 1), "the check has ended without proof")
	l.BeginCheck("r")
	l.RecordEnd(late, process("r", 1))
	l.EndCheck("r")
	require.NotNil(t, l.Admit(late, f, 1))
}
