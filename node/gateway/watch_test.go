package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/forward"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/routing"
)

// conflictControl rejects all path changes and counts them.
type conflictControl struct {
	ReplicaControl
	repaths int
}

func (c *conflictControl) Repath(context.Context, Replica, string, pipeline.Path) (CommandResult, error) {
	c.repaths++
	return CommandResult{Status: CommandConflict}, nil
}

// newWatchedStream returns a stream that may be sent again, on a granted path over "a" and "b".
func newWatchedStream(control ReplicaControl) *stream {
	g := newLimitedGateway(100, true)
	g.SetInstances(1)
	p := newPool()
	p.control = control
	c := newWaitingCall("r", time.Minute)
	c.route = &routing.Route{}
	return &stream{
		g: g, call: c, pool: p, excluded: map[string]bool{}, grant: p.acquireAvoiding("c"),
		history: forward.History{Idempotent: true, MaxRuns: 3}, lastProgress: time.Now(),
	}
}

// TestLateFindingEndsARunOnItsNewPath guards against the result of a check that began before the stream
// was moved to another path, and that is acted on as if it were about that one.
func TestLateFindingEndsARunOnItsNewPath(t *testing.T) {
	for name, late := range map[string]finding{
		"probes": {failed: []string{"b"}},
		"report": {report: Report{Stalled: map[string]string{"r": "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := &conflictControl{}
				s := newWatchedStream(control)
				defer s.grant.release()
				w := s.newWatch()
				defer w.stop()
				time.Sleep(time.Second)
				late.startedAt = time.Now()
				choice, ok := s.grant.alternative(map[string]bool{"b": true}, time.Minute)
				require.True(t, ok)
				s.grant.switchPath(choice)
				s.leftAt = time.Now().Add(time.Millisecond)
				time.Sleep(2 * evidenceDelay)
				require.False(t, w.apply(t.Context(), late))
				require.Zero(t, control.repaths)
				require.True(t, s.grant.path().Uses("c"))
			})
		})
	}
}

// TestReasonOfADeniedRetryIsWrittenByTwoGoroutines guards against a data race: the check right before the
// send runs in another goroutine than the decisions on the run.
func TestReasonOfADeniedRetryIsWrittenByTwoGoroutines(t *testing.T) {
	s := newWatchedStream(nil)
	defer s.grant.release()
	s.fingerprint = lossOf(0).Crashes[0].Fingerprint
	s.g.MergeEvidence(lossOf(0))
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.g.retryDenied(s.call, true) })
	wg.Go(func() { _ = s.claimRetry(t.Context()) })
	wg.Wait()
}
