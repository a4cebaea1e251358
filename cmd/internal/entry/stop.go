package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// drainNotice is how long new requests may still arrive after SIGTERM. The platform
	// checks readiness every second and stops routing after the second failed check.
	drainNotice = 3 * time.Second
	// stopMargin is the part of the grace period that is left when the wait for the requests in
	// progress is over.
	stopMargin = 500 * time.Millisecond
	// answerMargin is how long after the end of the wait for them the requests in progress are
	// ended.
	answerMargin = stopMargin / 4
	// answerTime is how long the answers of requests that were ended may take.
	answerTime = 2 * stopMargin / 5
	// closeTime is how long everything else may take to end after that. The rest of stopMargin is
	// for the last log lines.
	closeTime = stopMargin / 10
	// drainPollInterval is how often Stop checks whether requests are still in progress.
	drainPollInterval = 50 * time.Millisecond
)

// Stop shuts the instance down gracefully: it reports not ready, serves until no more
// new requests are expected and those in progress have completed, and ends the instance
// within the platform's grace period. Later calls return the result of the first.
func (i *Instance) Stop() error {
	i.stop.Do(func() { i.stopErr = i.stopOnce() })
	return i.stopErr
}

func (i *Instance) stopOnce() error {
	start := time.Now()
	s := i.settings.Load()
	end := start.Add(s.Bounds.Shutdown - stopMargin)
	i.log.Info("stopping", zap.Int("in_flight", i.metrics.InFlight()), zap.Duration("within", s.Bounds.Shutdown))
	i.leaving.Store(true)
	i.control.ReleaseLeadership()
	i.clientServer.Drain()
	notice := start.Add(i.opts.DrainNotice)
	i.gateway.Drain(notice, end)
	i.waitIdle(notice, end)
	answers, all, cancel := endRequests(end.Add(answerMargin), i.gateway.EndRequests)
	defer cancel()
	err := within(all, func() error {
		return trace.NewAggregate(i.clientServer.Shutdown(answers), i.close(answers))
	})
	i.log.Info("stopped", zap.Duration("took", time.Since(start)), zap.Int("in_flight", i.metrics.InFlight()), zap.Error(err))
	return trace.Wrap(err)
}

var (
	errAnswersLate = errors.New("answers were not sent in time")
	errStillOpen   = errors.New("components did not end in time")
)

// endRequests calls end, which ends the requests in progress, at the given time. The context answers
// ends answerTime after that, and all ends closeTime later. Both count from the call: a process that
// was held up has had none of the time until then.
func endRequests(at time.Time, end func()) (answers, all context.Context, cancel context.CancelFunc) {
	all, cancelAll := context.WithCancelCause(context.Background())
	answers, cancelAnswers := context.WithCancelCause(all)
	go func() {
		if !sleep(all, time.Until(at)) {
			return
		}
		end()
		sleep(all, answerTime)
		cancelAnswers(errAnswersLate)
		sleep(all, closeTime)
		cancelAll(errStillOpen)
	}()
	return answers, all, func() { cancelAll(nil) }
}

// within returns the result of f, or the cause of ctx if that ends first. The process then ends
// without what f still waits for.
func within(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// sleep waits for d and returns true, or returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// close stops everything except the listener for clients.
func (i *Instance) close(ctx context.Context) error {
	i.cancel()
	errs := []error{i.group.Wait(), i.mesh.Close(ctx), i.readyServer.Shutdown(ctx)}
	if i.metricsServer != nil {
		errs = append(errs, i.metricsServer.Shutdown(ctx))
	}
	i.client.Close()
	i.replicas.Close()
	i.store.Close()
	return trace.NewAggregate(errs...)
}

// waitIdle waits until notice has passed and no request is in progress, but at most until
// end.
func (i *Instance) waitIdle(notice, end time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(end) || (now.After(notice) && i.metrics.InFlight() == 0) {
			return
		}
	}
}
