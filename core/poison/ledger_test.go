package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func process(replica string, startTime int64) Process {
	return Process{Replica: replica, StartTime: startTime}
}

// runNumber gives each run a different attempt.
var runNumber uint64

func lostRun(f Fingerprint, sentAt time.Time, processes ...Process) LostRun {
	runNumber++
	return LostRun{Fingerprint: f, Run: Run{Attempt: runNumber}, Processes: processes, SentAt: sentAt}
}

// crashOnce reports a lost run on a replica process that then ends.
func crashOnce(l *Ledger, now time.Time, f Fingerprint, r Process) {
	l.RecordLostRun(now, lostRun(f, now, r))
	l.RecordEnd(now, r)
}

func crashRepeatedly(l *Ledger, now time.Time, f Fingerprint, from, n int) {
	for i := range n {
		crashOnce(l, now, f, process(fmt.Sprint("r", from+i), 1))
	}
}

func TestThreeIndependentCrashesBlock(t *testing.T) {
	l := NewLedger(retention)
	f := fingerprint("a")
	crashRepeatedly(l, start, f, 0, 2)
	require.Nil(t, l.Admit(start, f, 1))
	require.True(t, l.MayRetry(f, 1))
	crashRepeatedly(l, start, f, 2, 1)
	refusal := l.Admit(start, f, 1)
	require.NotNil(t, refusal)
	require.Len(t, refusal.Crashes, 3)
	require.Equal(t, trialDelay, refusal.RetryAfter)
	require.False(t, l.MayRetry(f, 1))
	require.Nil(t, l.Admit(start, fingerprint("b"), 1))
	l.Expire(start.Add(retention))
	require.Nil(t, l.Admit(start.Add(retention), f, 1))
}

// Two processes of one replica count as two crashes, even if the second process is not
// listed yet.
func TestARestartedReplicaCountsAgain(t *testing.T) {
	l := NewLedger(retention)
	f := fingerprint("a")
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Second)
		r := l.Process(process("r", 1), now)
		crashOnce(l, now, f, r)
	}
	require.True(t, l.IsBlocked(f))
}

// Lost responses, resets and hangs are no proof that a process ended. A replica that shuts
// down is removed from the list before it ends.
func TestLostRunsWithoutEndedProcessAreNoEvidence(t *testing.T) {
	l := NewLedger(retention)
	f := fingerprint("a")
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		r := process(fmt.Sprint(i), 1)
		l.RecordRemoval(now, r)
		l.RecordLostRun(now, lostRun(f, now, r))
	}
	require.Zero(t, l.Incidents(f))
	l.RecordEnd(start.Add(time.Minute), process("0", 1))
	require.Zero(t, l.Incidents(f), "the replica ended long after the run")
}

// The result is the same whether the loss of a run or the end of its process is detected
// first.
func TestEndMayBeDetectedBeforeLoss(t *testing.T) {
	for _, first := range []bool{true, false} {
		l := NewLedger(retention)
		f := fingerprint("a")
		r := process("r", 1)
		run := lostRun(f, start, process("other", 1), r)
		if first {
			l.RecordEnd(start.Add(time.Second), r)
			l.RecordLostRun(start.Add(2*time.Second), run)
		} else {
			l.RecordLostRun(start.Add(time.Second), run)
			l.RecordEnd(start.Add(2*time.Second), r)
		}
		require.Equal(t, 1, l.Incidents(f))
		l.RecordLostRun(start.Add(3*time.Second), lostRun(f, start.Add(3*time.Second), r))
		require.Equal(t, 1, l.Incidents(f), "the run was sent after the process ended")
	}
}

// A zone failure ends many copies of one request and every process on their paths at once.
func TestZoneFailureIsOneIncident(t *testing.T) {
	l := NewLedger(retention)
	hot := fingerprint("hot")
	var zone []Process
	for i := range 12 {
		zone = append(zone, process(fmt.Sprint(i), 1))
	}
	for i := range 20 {
		l.RecordLostRun(start, lostRun(hot, start, zone[0], zone[1+i%3], zone[4+i%4], zone[8+i%4]))
	}
	for _, r := range zone {
		l.RecordEnd(start, r)
	}
	require.Equal(t, 1, l.Incidents(hot))
	require.Nil(t, l.Admit(start, hot, 1))
}

func TestSuccessClearsEverywhere(t *testing.T) {
	a, b := NewLedger(retention), NewLedger(retention)
	f := fingerprint("a")
	crashRepeatedly(a, start, f, 0, 3)
	b.Merge(start, a.DrainUpdates())
	require.True(t, b.IsBlocked(f))
	require.True(t, b.RecordSuccess(start, f))
	require.False(t, b.IsBlocked(f))
	a.Merge(start, b.DrainUpdates())
	require.False(t, a.IsBlocked(f))
	require.Equal(t, a.Digest(), b.Digest())

	crashRepeatedly(a, start.Add(time.Second), f, 5, 3)
	require.False(t, a.IsBlocked(f), "a success disproves crashes soon after it")
	crashRepeatedly(a, start.Add(2*clearedDuration), f, 10, 3)
	require.True(t, a.IsBlocked(f))
}

// A success on one instance disproves crashes observed by another.
func TestEarlierSuccessElsewhereClears(t *testing.T) {
	a, b := NewLedger(retention), NewLedger(retention)
	f := fingerprint("a")
	b.RecordSuccess(start, f)
	require.True(t, b.DrainUpdates().Empty(), "a success without crashes is not sent")
	crashRepeatedly(a, start.Add(time.Second), f, 0, 3)
	b.Merge(start.Add(time.Second), a.DrainUpdates())
	a.Merge(start.Add(time.Second), b.DrainUpdates())
	require.False(t, a.IsBlocked(f))
}

// Requests that ran concurrently with a blocked one, on processes it crashed, stay
// unblocked.
func TestBlockedRequestExplainsCrashesOfOthers(t *testing.T) {
	l := NewLedger(retention)
	bad, harmless := fingerprint("bad"), fingerprint("harmless")
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Second)
		r := process(fmt.Sprint(i), 1)
		run := lostRun(harmless, now, r)
		run.Progressed = i == 0
		l.RecordLostRun(now, run)
		l.RecordLostRun(now, lostRun(bad, now, r))
		l.RecordEnd(now, r)
	}
	require.True(t, l.IsBlocked(bad))
	require.False(t, l.IsBlocked(harmless))
	crashRepeatedly(l, start.Add(4*time.Second), harmless, 10, 2)
	require.False(t, l.IsBlocked(harmless), "three crashes are explained by the blocked request")
	crashRepeatedly(l, start.Add(5*time.Second), harmless, 20, 1)
	require.True(t, l.IsBlocked(harmless))
}

func TestRunsOfOneAttemptCountBeforeTheyAreProved(t *testing.T) {
	l := NewLedger(retention)
	f := fingerprint("a")
	crashRepeatedly(l, start, f, 0, 2)
	run := lostRun(f, start, process("x", 1))
	l.RecordLostRun(start, run)
	require.False(t, l.MayRetry(f, run.Run.Attempt))
	require.True(t, l.MayRetry(f, run.Run.Attempt+1))
	refusal := l.Admit(start, f, run.Run.Attempt+1)
	require.NotNil(t, refusal)
	require.Equal(t, proofTimeout, refusal.RetryAfter)
	require.Nil(t, l.Admit(start.Add(proofTimeout), f, run.Run.Attempt+1))
	require.True(t, l.MayRetry(fingerprint("b"), run.Run.Attempt), "without other evidence a lost run does not count")
}

// A blocked request gets up to three trial runs, only on the instance that observed its
// last crash.
func TestTrials(t *testing.T) {
	here, there := NewLedger(retention), NewLedger(retention)
	f := fingerprint("a")
	crashRepeatedly(here, start, f, 0, 3)
	there.Merge(start, here.DrainUpdates())
	now := start
	for i := range maxTrials {
		wait := trialDelay << i
		require.NotNil(t, here.Admit(now.Add(wait-1), f, 1))
		now = now.Add(wait)
		require.Nil(t, here.Admit(now, f, 7))
		require.Nil(t, here.Admit(now, f, 7), "the attempt of the trial may continue")
		require.NotNil(t, here.Admit(now, f, 8), "one trial at a time")
		require.NotNil(t, there.Admit(now, f, 9), "the other instance did not observe the crash")
		crashRepeatedly(here, now, f, 10+i, 1)
		there.Merge(now, here.DrainUpdates())
	}
	require.NotNil(t, here.Admit(now.Add(retention-1), f, 10), "no further trial")
}

// A flood of different crashing requests stays within the memory limits and does not evict
// a blocked request.
func TestFloodOfRequestsIsBounded(t *testing.T) {
	l := NewLedger(retention)
	f := fingerprint("a")
	crashRepeatedly(l, start, f, 0, 3)
	for i := range 3 * maxTracked {
		crashOnce(l, start, fingerprint(fmt.Sprint("flood", i)), process(fmt.Sprint("f", i), 1))
	}
	for i := range 3 * maxLostRuns {
		l.RecordLostRun(start, lostRun(fingerprint(fmt.Sprint("lost", i)), start, process("x", 1)))
	}
	for i := range 3 * maxSuccesses {
		l.RecordSuccess(start, fingerprint(fmt.Sprint("good", i)))
	}
	for range 100 {
		crashOnce(l, start, f, process(fmt.Sprint("m", runNumber), 1))
	}
	require.True(t, l.IsBlocked(f))
	require.LessOrEqual(t, len(l.tracked), maxTracked)
	require.LessOrEqual(t, len(l.lostRuns), maxLostRuns)
	require.LessOrEqual(t, len(l.ended), maxEnded)
	require.LessOrEqual(t, len(l.successes.at), maxSuccesses)
	require.LessOrEqual(t, len(l.tracked[f].crashes), maxCrashesEach)
	s := l.Evidence()
	require.LessOrEqual(t, len(s.Crashes), MaxEvidence)
	require.Equal(t, f, s.Crashes[0].Fingerprint, "the most crashes come first")
}

// TestPoisonIsBlockedOnAllInstances runs a request that crashes every replica, and harmless
// ones, on several instances that exchange evidence with loss and delay and sometimes
// synchronize their whole state. The request may crash three replicas, plus one for each
// copy sent before the evidence has spread; no harmless request is blocked.
func TestPoisonIsBlockedOnAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		var ledgers []*Ledger
		for range instances {
			ledgers = append(ledgers, NewLedger(retention))
		}
		now := start
		startTimes := map[string]int64{}
		inFlight := 0 // copies sent after the third crash and before all instances have its evidence
		crashes := 0
		for i := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			l := ledgers[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			id := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "replica"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a copy runs concurrently with a harmless request that then succeeds elsewhere
				if l.Admit(now, poison, uint64(i)) != nil {
					continue
				}
				if crashes >= int(blockThreshold) {
					inFlight++
				}
				harmless := fingerprint(fmt.Sprint("harmless", i))
				r := l.Process(process(id, startTimes[id]), now)
				l.RecordLostRun(now, lostRun(harmless, now, r))
				crashOnce(l, now, poison, r)
				startTimes[id] += 10
				crashes++
				ledgers[rapid.IntRange(0, instances-1).Draw(t, "elsewhere")].RecordSuccess(now, harmless)
			case 1: // a replica fails independently while it runs a harmless request
				harmless := fingerprint(fmt.Sprint("alone", i))
				crashOnce(l, now, harmless, process(id, startTimes[id]))
				startTimes[id] += 10
			case 2:
				updates := l.DrainUpdates()
				for _, other := range ledgers {
					if other != l && rapid.Bool().Draw(t, "received") {
						other.Merge(now, updates)
					}
				}
			default:
				other := ledgers[rapid.IntRange(0, instances-1).Draw(t, "peer")]
				// A success on one instance clears crashes received from the other; that
				// takes a second exchange.
				for range 2 {
					mine, theirs := l.Evidence(), other.Evidence()
					l.Merge(now, theirs)
					other.Merge(now, mine)
				}
				require.Equal(t, l.Digest(), other.Digest())
			}
			for _, l := range ledgers {
				for f := range l.tracked {
					require.True(t, f == poison || !l.IsBlocked(f), "a harmless request is blocked")
				}
			}
		}
		require.LessOrEqual(t, crashes, int(blockThreshold)+inFlight)
		merge(ledgers, now)
		if crashes >= int(blockThreshold) {
			for _, l := range ledgers {
				require.NotNil(t, l.Admit(now, poison, 0), "crashes: %d", crashes)
			}
		}
	})
}

func merge(ledgers []*Ledger, now time.Time) {
	for range 2 {
		for _, l := range ledgers {
			for _, other := range ledgers {
				other.Merge(now, l.Evidence())
			}
		}
	}
}

func TestIncidentsDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes []Crash
		for range rapid.IntRange(1, 10).Draw(t, "crashes") {
			crashes = append(crashes, Crash{
				Run:     Run{Attempt: uint64(rapid.IntRange(0, 5).Draw(t, "run"))},
				Process: process(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "replica")), 1),
			})
		}
		want := len(incidents(crashes))
		slices.Reverse(crashes)
		require.Len(t, incidents(crashes), want)
	})
}

func BenchmarkAdmitUnknown(b *testing.B) {
	l := NewLedger(retention)
	for i := range maxTracked {
		crashOnce(l, start, fingerprint(fmt.Sprint(i)), process(fmt.Sprint(i), 1))
	}
	f := fingerprint("unknown")
	for b.Loop() {
		l.Admit(start, f, 1)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := string(make([]byte, 800))
	for b.Loop() {
		FingerprintOf("workspace w1", body, "POST", "h.example", "/chat/1")
	}
}

func BenchmarkDigest(b *testing.B) {
	l := NewLedger(retention)
	for i := range maxTracked {
		crashOnce(l, start, fingerprint(fmt.Sprint(i)), process(fmt.Sprint(i), 1))
	}
	for b.Loop() {
		l.digestValid = false
		l.Digest()
	}
}
