package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
)

const (
	// firstSuspicion is the time beyond the expected first token after which the
	// first replica is asked whether the request stalls.
	firstSuspicion = 500 * time.Millisecond
	// gapSuspicion is the shortest gap between two events after which it is asked;
	// callers leave after a gap of 2 s.
	gapSuspicion = 280 * time.Millisecond
	// gapFactor times the usual gap of the stream is another lower bound.
	gapFactor = 4
	// askAgain is the time between two questions; a report is 0.2 s old.
	askAgain = 130 * time.Millisecond
	// silentReports is the number of reports in a row that a first replica must not
	// answer to be taken for dead: one may be lost on the way.
	silentReports = 2
	// longestUsualGap bounds what a slow stream's usual gap adds to gapSuspicion.
	longestUsualGap = 900 * time.Millisecond
	// maxRepaths bounds the changes of path that are tried for one failure.
	maxRepaths = 3
)

// watch finds out why a stream makes no progress. It is used by one goroutine.
type watch struct {
	s     *stream
	timer *time.Timer
	// gap is a moving mean of the time between events.
	gap   time.Duration
	since time.Time
	// unanswered counts reports without an answer in a row.
	unanswered int
}

func (s *stream) newWatch() *watch {
	return &watch{s: s, since: s.lastAt, timer: time.NewTimer(s.grant.choice.FirstToken*2 + firstSuspicion)}
}

func (w *watch) stop() { w.timer.Stop() }

// gapWeight is the weight of a new gap in the moving mean.
const gapWeight = 0.2

// progress notes an event.
func (w *watch) progress() {
	now := time.Now()
	gap := now.Sub(w.since)
	w.since = now
	if w.gap == 0 {
		w.gap = gap
	}
	w.gap += time.Duration(float64(gap-w.gap) * gapWeight)
	w.timer.Reset(max(gapSuspicion, min(gapFactor*w.gap, longestUsualGap)))
}

// check asks the first replica about a stream that makes no progress and moves
// it to another path if a part is silent. It returns true when the run is lost.
func (w *watch) check(ctx context.Context) (lost bool) {
	s := w.s
	w.timer.Reset(askAgain)
	first := s.grant.path()[0]
	report, err := s.pool.report(ctx, Replica{ID: first.ID, Address: first.Address})
	if err != nil {
		w.unanswered++
		if ctx.Err() != nil || w.unanswered < silentReports {
			return false
		}
		s.silent(first.ID, "no report")
		return true
	}
	w.unanswered = 0
	if report.Leaving {
		s.g.leaves(Replica{ID: first.ID, Born: first.Born})
	}
	address, stalled := report.Stalled[s.ID]
	if !stalled {
		return false
	}
	dead := s.pool.idAt(address)
	if dead != "" {
		if !s.avoid[dead] {
			s.lostPart(dead)
		}
		s.silent(dead, "requests stall there")
	}
	if w.repath(ctx, first) {
		w.timer.Reset(s.grant.choice.FirstToken + firstSuspicion)
		return false
	}
	return s.route.Repeatable()
}

// silent takes a replica that gives no sign of life out of use here and at the
// other instances.
func (s *stream) silent(id, why string) {
	s.avoid[id] = true
	known := s.pool.block(id, deadBlock, why)
	if !known && s.g.opts.OnSilent != nil {
		s.g.opts.OnSilent(id)
	}
}

// repath moves the running request to a path without the replicas that failed.
func (w *watch) repath(ctx context.Context, first pipeline.Hop) bool {
	s := w.s
	if !s.g.crashes.mayRetry(s.call) {
		s.g.log.Info("not moved, it may crash the next replica", zap.String("request", s.ID), zap.Stringer("fingerprint", s.fingerprint))
		return false
	}
	for range maxRepaths {
		choice, ok := s.grant.move(s.avoid)
		if !ok {
			s.g.log.Info("no other path", zap.String("request", s.ID), zap.String("first", first.ID), zap.Int("avoided", len(s.avoid)))
			return false
		}
		res, err := s.pool.control.Repath(ctx, Replica{ID: first.ID, Address: first.Address}, s.ID, choice.Path)
		if res.Leaving {
			s.g.leaves(Replica{ID: first.ID, Born: first.Born})
		}
		s.g.log.Info("path changed", zap.String("request", s.ID), zap.String("first", first.ID),
			zap.Stringer("result", res.Status), zap.String("part", res.Part), zap.Int("parts", len(choice.Path)),
			zap.Duration("silent", time.Since(s.lastAt)), zap.Error(err))
		switch {
		case err != nil:
			return false
		case res.Status == OrderTaken:
			s.grant.confirm(choice)
			// What follows on the new parts is another run.
			s.beginRun(time.Now())
			s.repaths++
			return true
		case res.Status == OrderConflict && res.Part != "":
			id := s.pool.idAt(res.Part)
			if id == "" || s.avoid[id] {
				return false
			}
			s.avoid[id] = true
		default:
			return false
		}
	}
	return false
}
