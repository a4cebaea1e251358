package gateway

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/poison"
)

// guardAfterLosses returns a crash guard with evidence of other instances: of each request three runs
// were lost with processes, before any part of their responses. The requests share 40 parts.
func guardAfterLosses(requests int) *crashGuard {
	k := newCrashGuard(nil, NewMetrics(), zap.NewNop())
	for i := range requests {
		k.merge(lossOf(i))
	}
	return k
}

func lossOf(request int) poison.Evidence {
	var out poison.Evidence
	for run := range 3 {
		for _, f := range []poison.Fingerprint{
			poison.FingerprintOf("m", strconv.Itoa(request)),
			poison.FingerprintOfPart("s", strconv.Itoa(request%40)),
		} {
			out.Crashes = append(out.Crashes, poison.Crash{
				Fingerprint: f, Run: poison.Run{Attempt: uint64(request), Number: uint32(run)},
				Process: poison.Process{Replica: strconv.Itoa((request + 3*run) % 8)}, At: time.Now(),
			})
		}
	}
	return out
}

// With 89 instances up to 400 messages of evidence arrive within a second after replicas end. Which
// requests are blocked must not be decided anew for each of them.
func TestBlocksAreNotDecidedForEachMessage(t *testing.T) {
	k := guardAfterLosses(400)
	n := 400
	allocs := testing.AllocsPerRun(50, func() {
		n++
		k.merge(lossOf(n))
	})
	require.Less(t, allocs, 100.0)
}

// TestBlocksFollowMergedEvidence guards against blocks that are not seen by the next request.
func TestBlocksFollowMergedEvidence(t *testing.T) {
	k := newCrashGuard(nil, NewMetrics(), zap.NewNop())
	c := &call{fingerprint: poison.FingerprintOf("m", "1")}
	require.Nil(t, k.admit(c))
	k.merge(lossOf(1))
	require.NotNil(t, k.admit(c))
	require.False(t, k.mayRetry(c))
	require.Equal(t, 2, k.ledger.BlockedCount(), "the request and its part")
}

// TestRefusalsAreTakenForTheOldProcess guards against losing a crash where the list shows the process
// that got the run only after a check of the earlier one was scheduled: the refused connections are of
// the process that got the run.
func TestRefusalsAreTakenForTheOldProcess(t *testing.T) {
	k := newCrashGuard(nil, NewMetrics(), zap.NewNop())
	c := &call{fingerprint: poison.FingerprintOf("m", "1")}
	now := time.Now()
	old := poison.Process{Replica: "r", StartTime: now.Add(-time.Minute).UnixMilli()}
	k.recordLostRun(c, []poison.Process{old}, now, false)
	k.recordRestart(old, now.Add(-time.Second).UnixMilli())
	require.Zero(t, k.incidents(c), "the run was sent after the next process had started")
	k.recordRefusals(check{Process: old, sentAt: now})
	require.Equal(t, 1, k.incidents(c))
}

// TestRefusalsOfAnUnlistedProcessAreLost guards against the same where the end of the listed process was
// known, so that the run was recorded for a process that was not listed yet.
func TestRefusalsOfAnUnlistedProcessAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCrashGuard(nil, NewMetrics(), zap.NewNop())
		c := &call{fingerprint: poison.FingerprintOf("m", "1")}
		listed := poison.Process{Replica: "r", StartTime: time.Now().Add(-time.Minute).UnixMilli()}
		k.recordLostRun(c, []poison.Process{listed}, time.Now(), false)
		k.recordEnd(listed, endRefused)
		time.Sleep(time.Second)
		next, sentAt := time.Now().UnixMilli(), time.Now()
		k.recordLostRun(c, []poison.Process{k.process(listed, sentAt)}, sentAt, false)
		k.scheduleCheck(listed, "", sentAt)
		k.recordRestart(listed, next)
		k.recordRefusals(<-k.queue)
		require.Equal(t, 2, k.incidents(c))
	})
}

// TestQueuedCheckIsNotAwaited guards against admitting a copy before the check of the last lost run has
// begun, as many are queued.
func TestQueuedCheckIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCrashGuard(nil, NewMetrics(), zap.NewNop())
		c := &call{fingerprint: poison.FingerprintOf("m", "1")}
		for run := range 2 {
			k.merge(poison.Evidence{Crashes: []poison.Crash{{
				Fingerprint: c.fingerprint, Run: poison.Run{Attempt: uint64(run)}, Process: poison.Process{Replica: strconv.Itoa(run)}, At: time.Now(),
			}}})
		}
		third := poison.Process{Replica: "third"}
		k.recordLostRun(c, []poison.Process{third}, time.Now(), false)
		k.scheduleCheck(third, "", time.Now())
		time.Sleep(3 * time.Second)
		require.NotNil(t, k.admit(c))
		k.endCheck(third.Replica)
		require.Nil(t, k.admit(c))
	})
}
