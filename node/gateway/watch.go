package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
)

const (
	// firstTokenSlack is the time beyond the expected first token after which the first
	// replica's report is checked for a stall.
	firstTokenSlack = 500 * time.Millisecond
	// minGap is the shortest gap between two events after which the report is
	// checked. Clients disconnect after a gap of 2 s.
	minGap = 280 * time.Millisecond
	// gapFactor times the usual gap of the stream is another lower bound for that gap.
	gapFactor = 4
	// recheckInterval is the time between two checks. A report is 0.2 s old.
	recheckInterval = 130 * time.Millisecond
	// maxUnansweredReports is the number of unanswered report requests in a row after which the
	// first replica counts as dead. A single one may be lost in the network.
	maxUnansweredReports = 2
	// maxGapBound limits the bound from gapFactor for slow streams.
	maxGapBound = 900 * time.Millisecond
	// maxRepaths limits the path changes that are tried for one failure.
	maxRepaths = 3
)

// stallWatch detects that a stream makes no progress, and which stage stalls it. It is used
// by one goroutine.
type stallWatch struct {
	s     *stream
	timer *time.Timer
	// meanGap is an exponential moving average of the time between events.
	meanGap      time.Duration
	lastProgress time.Time
	// unanswered counts report requests without a response in a row.
	unanswered int
}

func (s *stream) newWatch() *stallWatch {
	return &stallWatch{s: s, lastProgress: s.lastProgress, timer: time.NewTimer(s.grant.choice.FirstToken*2 + firstTokenSlack)}
}

func (w *stallWatch) stop() { w.timer.Stop() }

// gapWeight is the weight of a new gap in the moving average.
const gapWeight = 0.2

// progress records an event and restarts the timer.
func (w *stallWatch) progress() {
	now := time.Now()
	gap := now.Sub(w.lastProgress)
	w.lastProgress = now
	if w.meanGap == 0 {
		w.meanGap = gap
	}
	w.meanGap += time.Duration(float64(gap-w.meanGap) * gapWeight)
	w.timer.Reset(max(minGap, min(gapFactor*w.meanGap, maxGapBound)))
}

// checkStall reads the report of the first replica when the stream makes no progress, and
// moves the request to another path if a stage is unresponsive. It returns true if the run
// is lost.
func (w *stallWatch) checkStall(ctx context.Context) (lost bool) {
	s := w.s
	w.timer.Reset(recheckInterval)
	first := s.grant.path()[0]
	report, err := s.pool.report(ctx, Replica{ID: first.ID, Address: first.Address})
	if err != nil {
		w.unanswered++
		if ctx.Err() != nil || w.unanswered < maxUnansweredReports {
			return false
		}
		s.markUnresponsive(first.ID, "no response to report requests")
		return true
	}
	w.unanswered = 0
	if report.Leaving {
		s.g.reportLeaving(Replica{ID: first.ID, StartTime: first.StartTime})
	}
	address, stalled := report.Stalled[s.ID]
	if !stalled {
		return false
	}
	failed := s.pool.idAt(address)
	if failed != "" {
		if !s.excluded[failed] {
			s.recordLostStage(failed)
		}
		s.markUnresponsive(failed, "requests stall on it")
	}
	if w.repath(ctx, first) {
		w.timer.Reset(s.grant.choice.FirstToken + firstTokenSlack)
		return false
	}
	return s.route.Repeatable()
}

// markUnresponsive blocks an unresponsive replica on this instance and reports it to the
// others.
func (s *stream) markUnresponsive(id, reason string) {
	s.excluded[id] = true
	wasBlocked := s.pool.block(id, unresponsiveBlock, reason)
	if !wasBlocked && s.g.opts.OnUnresponsive != nil {
		s.g.opts.OnUnresponsive(id)
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
		choice, ok := s.grant.alternative(s.excluded)
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
			zap.Duration("silent", time.Since(s.lastProgress)), zap.Error(err))
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
			id := s.pool.idAt(res.Stage)
			if id == "" || s.excluded[id] {
				return false
			}
			s.excluded[id] = true
		default:
			return false
		}
	}
	return false
}
