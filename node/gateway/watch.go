package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/lateness"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/silence"
	"masticbank.example/node/caller"
)

const (
	// firstTokenSlack is the time beyond the expected first token after which the first
	// replica's report is checked for a stall.
	firstTokenSlack = 500 * time.Millisecond
	// maxUnansweredReports is the number of unanswered report requests in a row after which the
	// first replica counts as dead. A single one may be lost in the network.
	maxUnansweredReports = 2
	// evidenceDelay is the minimum time between two losses of a request that are repaired. Until
	// then it is known whether the first replica has ended, and whether the request may crash the
	// next one.
	evidenceDelay = 2 * secondAttemptDelay
	// maxRepaths limits the path changes that are tried for one failure.
	maxRepaths = 3
)

// stallWatch detects that a stream makes no progress, and which stage stalls it. It is used
// by one goroutine; checks run in another one so that events are relayed meanwhile.
type stallWatch struct {
	s     *stream
	timer *time.Timer
	// findings receives the result of the check that is under way, if checking is set.
	findings chan finding
	checking bool
	// unanswered counts report requests without a response in a row.
	unanswered int
	// cleared counts the checks in a row that found that the replicas respond.
	cleared int
	// kept is true once the run was kept although its path is silent.
	kept bool
}

// finding is the result of a check.
type finding struct {
	startedAt time.Time
	// skipped is true if nothing was asked.
	skipped bool
	// failed lists the replicas that do not respond.
	failed []string
	// report is the report of the first replica, or err why there is none. Neither is set
	// if failed is not empty.
	report Report
	err    error
}

// result names the result for the metrics.
func (f *finding) result(request string) string {
	_, stalled := f.report.Stalled[request]
	switch {
	case f.skipped:
		return "skipped"
	case len(f.failed) > 0:
		return "failed"
	case f.err != nil:
		return "unanswered"
	case stalled:
		return "stalled"
	default:
		return "responsive"
	}
}

func (s *stream) newWatch() *stallWatch {
	return &stallWatch{
		s: s, findings: make(chan finding, 1),
		timer: time.NewTimer(s.grant.choice.FirstToken*2 + firstTokenSlack),
	}
}

func (w *stallWatch) stop() { w.timer.Stop() }

// progress restarts the timer after an event.
func (w *stallWatch) progress() {
	w.cleared = 0
	w.timer.Reset(w.s.grant.silenceLimit())
}

// hurry checks soon because a stage of the path was found to be unresponsive. Events that have
// passed it may still arrive.
func (w *stallWatch) hurry() {
	quiet := time.Since(w.s.lastProgress)
	w.timer.Reset(max(0, silence.Transit(w.s.grant.meanGap)-quiet))
}

// check begins to find out why the stream makes no progress, or acts on a stage that is already
// known to be unresponsive. It returns true if the run is lost.
func (w *stallWatch) check(ctx context.Context) (lost bool) {
	s := w.s
	w.timer.Reset(silence.NextCheck(w.cleared))
	if failed := s.pool.failedOn(s.grant); len(failed) > 0 {
		return w.leave(ctx, failed)
	}
	if !w.checking {
		w.checking = true
		g, cleared := s.grant, w.cleared
		go func() {
			f := s.pool.investigate(ctx, g, cleared)
			s.g.opts.Metrics.CountCheck(f.result(s.ID))
			w.findings <- f
		}()
	}
	return false
}

// apply acts on the result of a check. It returns true if the run is lost.
func (w *stallWatch) apply(ctx context.Context, f finding) (lost bool) {
	s := w.s
	w.checking = false
	// An event, or another path, since the check began makes its result outdated.
	if f.skipped || ctx.Err() != nil || s.lastProgress.After(f.startedAt) || s.leftAt.After(f.startedAt) {
		return false
	}
	for _, stage := range s.grant.path() {
		if slices.Contains(f.failed, stage.ID) {
			s.markUnresponsive(stage, "no response to probes")
		}
	}
	if len(f.failed) > 0 {
		return w.leave(ctx, f.failed)
	}
	first := s.grant.path()[0]
	if f.err != nil {
		if w.unanswered++; w.unanswered < maxUnansweredReports {
			return false
		}
		s.markUnresponsive(first, "no response to report requests")
		return w.giveUp(ctx)
	}
	w.unanswered = 0
	if f.report.Leaving {
		s.g.reportLeaving(Replica{ID: first.ID, StartTime: first.StartTime})
	}
	address, stalled := f.report.Stalled[s.ID]
	if !stalled {
		w.cleared++
		w.timer.Reset(silence.NextCheck(w.cleared))
		return false
	}
	stage, ok := s.grant.path().At(address)
	if ok {
		s.markUnresponsive(stage, "requests stall on it")
	}
	return w.leave(ctx, []string{stage.ID})
}

// leave moves the stream off the failed replicas. It returns true if the run is lost.
func (w *stallWatch) leave(ctx context.Context, failed []string) (lost bool) {
	s := w.s
	if wait := evidenceDelay - time.Since(s.leftAt); wait > 0 {
		w.timer.Reset(wait)
		return false
	}
	first := s.grant.path()[0]
	for _, id := range failed {
		if id != "" && !s.excluded[id] {
			s.recordLostStage(id)
			s.excluded[id] = true
		}
	}
	if !slices.Contains(failed, first.ID) {
		s.leftAt = time.Now()
		if w.repath(ctx, first) {
			s.endPhase(lateness.Moved)
			w.timer.Reset(s.grant.choice.FirstToken + firstTokenSlack)
			return false
		}
	}
	return w.giveUp(ctx)
}

// giveUp reports whether the run is lost: another one can take its place now. Otherwise the silent
// replica may go on before the client leaves, and the next check looks again.
func (w *stallWatch) giveUp(ctx context.Context) (lost bool) {
	s := w.s
	if s.claimRetry(ctx) {
		s.leftAt = time.Now()
		s.endPhase(lateness.Moved)
		return true
	}
	if !w.kept {
		w.kept = true
		s.g.log.Info("run on a silent path kept: no other can take its place", zap.String("request", s.ID),
			zap.String("replica", s.replica), zap.Duration("silent", time.Since(s.lastProgress)), zap.Int("runs", s.history.Runs),
			zap.String("denied", s.denialReason), zap.Duration("left", s.remaining(time.Now())))
	}
	return false
}

// markUnresponsive blocks an unresponsive replica on this instance and reports it to the
// others.
func (s *stream) markUnresponsive(stage pipeline.Stage, reason string) {
	s.pool.blockProcess(stage, unresponsiveBlock, reason)
	if !s.pool.markFailed(stage, unresponsiveBlock) {
		return
	}
	s.pool.log.Info("replica is unresponsive", zap.String("replica", stage.ID), zap.String("why", reason), zap.String("request", s.ID))
	if s.g.opts.OnUnresponsive != nil {
		s.g.opts.OnUnresponsive(stage.ID)
	}
}

// repath moves the running request to a path that avoids the failed replicas, and reports
// whether it succeeded.
func (w *stallWatch) repath(ctx context.Context, first pipeline.Stage) bool {
	s := w.s
	if !s.g.crashes.mayRetry(s.call) {
		s.g.log.Info("request not moved to another path: it may crash the next replica", zap.String("request", s.ID), zap.Stringer("fingerprint", s.fingerprint))
		return false
	}
	for range maxRepaths {
		if caller.Check(ctx) != nil {
			return false
		}
		choice, ok := s.grant.alternative(s.excluded, time.Until(s.patienceEnd()))
		if !ok {
			s.g.log.Info("no alternative path", zap.String("request", s.ID), zap.String("first", first.ID), zap.Int("avoided", len(s.excluded)))
			return false
		}
		res, err := s.pool.control.Repath(ctx, Replica{ID: first.ID, Address: first.Address}, s.ID, choice.Path)
		if res.Leaving {
			s.g.reportLeaving(Replica{ID: first.ID, StartTime: first.StartTime})
		}
		s.g.log.Info("path changed", zap.String("request", s.ID), zap.String("first", first.ID),
			zap.Stringer("result", res.Status), zap.String("part", res.Stage), zap.Int("parts", len(choice.Path)),
			zap.String("zones", zonesOf(choice.Path)), zap.Duration("expected_first_event", choice.FirstToken),
			zap.Duration("silent", time.Since(s.lastProgress)), zap.Error(err))
		if err != nil || res.Status != CommandAccepted {
			s.grant.cancelAlternative(choice)
		}
		switch {
		case err != nil:
			return false
		case res.Status == CommandAccepted:
			s.grant.switchPath(choice)
			// The continuation on the new stages counts as another run.
			s.beginRun(time.Now())
			s.repaths++
			return true
		case res.Status == CommandConflict && res.Stage != "":
			stage, ok := choice.Path.At(res.Stage)
			if !ok || s.excluded[stage.ID] {
				return false
			}
			s.excluded[stage.ID] = true
		default:
			return false
		}
	}
	return false
}
