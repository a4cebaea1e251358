package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at returns a time in seconds after start, and its Unix time in milliseconds.
func at(seconds float64) (time.Time, int64) {
	t := start.Add(time.Duration(seconds * float64(time.Second)))
	return t, t.UnixMilli()
}

// lose records a run that was sent to the listed process and lost at once.
func lose(l *Ledger, now time.Time, f Fingerprint, listed Process) {
	l.RecordLostRun(now, lostRun(f, now, l.Process(listed, now)))
}

// TestCrashesOnTwoProcessesCountAsOne guards against recording a run for the process that an old list
// shows, so that its crash and that of the process before become one incident.
func TestCrashesOnTwoProcessesCountAsOne(t *testing.T) {
	l, f := NewLedger(retention), fingerprint("a")
	t0, first := at(0)
	_, second := at(0.8)
	t1, _ := at(1) // the list still shows the first process
	_, third := at(1.8)
	lose(l, t0, f, process("r", first))
	lose(l, t1, f, process("r", first))
	listed, _ := at(1.1)
	l.RecordRestart(listed, process("r", first), second)
	require.Equal(t, 1, l.Incidents(f), "the second run was sent after the end of the first process")
	listed, _ = at(1.9)
	l.RecordRestart(listed, process("r", second), third)
	require.Equal(t, 2, l.Incidents(f))
}

// TestRunOnAnUnlistedProcessIsNoEvidence guards against losing the crash of a process that was not
// listed yet when it got the run: its end must be matched with the run once its start is listed.
func TestRunOnAnUnlistedProcessIsNoEvidence(t *testing.T) {
	l, f := NewLedger(retention), fingerprint("a")
	t0, first := at(0)
	lose(l, t0, f, process("r", first))
	refused, _ := at(0.2)
	l.RecordEnd(refused, process("r", first))
	sent, _ := at(1)
	lose(l, sent, f, process("r", first))
	_, second := at(0.8)
	_, third := at(1.8)
	listed, _ := at(1.1)
	l.RecordRestart(listed, process("r", first), second)
	listed, _ = at(1.9)
	l.RecordRestart(listed, process("r", second), third)
	require.Equal(t, 2, l.Incidents(f))
}

// TestLossFoundAfterTheRestartCountsForTheOldProcess guards against the same where the run is found
// lost only after the list shows the process that it ran on.
func TestLossFoundAfterTheRestartCountsForTheOldProcess(t *testing.T) {
	l, f := NewLedger(retention), fingerprint("a")
	t0, first := at(0)
	_, second := at(0.8)
	sent, _ := at(1)
	listed, _ := at(1.1)
	lost, _ := at(1.5)
	lose(l, t0, f, process("r", first))
	l.RecordRestart(listed, process("r", first), second)
	l.RecordLostRun(lost, lostRun(f, sent, l.Process(process("r", first), sent)))
	require.Equal(t, 1, l.Incidents(f))
	ended, _ := at(1.7)
	l.RecordEnd(ended, process("r", second))
	require.Equal(t, 2, l.Incidents(f))
}

// TestStartOnAnotherClockHidesACrash guards against taking a run for one on the next process because
// the clocks differ: a start that is older than the list can be is not compared.
func TestStartOnAnotherClockHidesACrash(t *testing.T) {
	for _, ahead := range []float64{-3600, -5, 5, 3600} { // of this clock, in seconds
		l, f := NewLedger(retention), fingerprint("a")
		sent, _ := at(ahead)
		listed, _ := at(ahead + 1.5)
		_, first := at(-60)
		_, second := at(1)
		lose(l, sent, f, process("r", first))
		l.RecordRestart(listed, process("r", first), second)
		require.Equal(t, 1, l.Incidents(f), "%v s", ahead)
	}
}
