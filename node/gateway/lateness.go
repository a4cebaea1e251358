package gateway

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/lateness"
	"masticbank.example/core/pipeline"
)

// delays gathers what core/lateness needs to say why an event of a stream was late. Only events beyond
// the objectives of the route are looked at.
type delays struct {
	clock lateness.Clock
	// first describes the first event, pause the longest pause, if they were late.
	first, pause *lateEvent
}

// lateEvent is a late event, or the pause before it.
type lateEvent struct {
	cause    lateness.Cause
	took     time.Duration
	spent    lateness.Spent
	expected pipeline.Expected
}

// endPhase ends a phase of the time to the next event.
func (s *stream) endPhase(c lateness.Cause) { s.delays.clock.End(time.Now(), c) }

// endRun ends the phase of a run without a complete response.
func (s *stream) endRun(o forward.Outcome) {
	switch o {
	case forward.Rejected:
		s.endPhase(lateness.Rejected)
	case forward.Withheld, forward.Unsent:
		s.endPhase(lateness.Path)
	default:
		s.endPhase(lateness.Lost)
	}
}

// recordEventTime records the time to an event, which was received from a replica, and sent to the client
// at now.
func (s *stream) recordEventTime(received, now time.Time) {
	spent := s.delays.clock.Event(now)
	if s.relayed == 0 {
		s.firstEvent = received.Sub(s.arrival)
		s.g.opts.Metrics.FirstEvent(s.rank, s.firstEvent)
		if late(s.firstEvent, s.route.LatencyObjective) {
			e := &lateEvent{spent: spent, expected: s.grant.expected}
			e.cause, e.took = lateness.FirstEvent(spent, e.expected)
			s.delays.first = e
			s.g.opts.Metrics.CountLate("first event: " + e.cause.String())
		}
		return
	}
	gap := now.Sub(s.lastSent)
	if gap <= s.longestGap {
		return
	}
	s.longestGap = gap
	if late(gap, s.route.EventGapObjective) {
		e := &lateEvent{spent: spent, expected: s.grant.expectNow(now)}
		e.cause, e.took = lateness.Pause(spent, e.expected)
		s.delays.pause = e
		s.g.opts.Metrics.CountLate("pause: " + e.cause.String())
	}
}

// late reports whether a time is beyond an objective, if there is one.
func late(d, objective time.Duration) bool { return objective > 0 && d > objective }

// expectNow returns what the present load lets expect of the path of a running request.
func (g *grant) expectNow(now time.Time) pipeline.Expected {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	return g.pool.fleet.Expect(now, g.choice.Path, g.demand, true)
}

// fields returns the fields of the stream's last log line: the times, and for what was late the cause
// and the values that decided.
func (s *stream) latenessFields() []zap.Field {
	fields := []zap.Field{zap.Duration("first_event", s.firstEvent), zap.Duration("longest_pause", s.longestGap)}
	if s.delays.first == nil && s.delays.pause == nil {
		return fields
	}
	fields = append(fields, zap.Float64("output_hint", s.demand.Output),
		zap.Duration("expected_first_event", s.grant.choice.FirstToken))
	if e := s.delays.first; e != nil {
		fields = append(fields, zap.Stringer("first_event_cause", e.cause), zap.Duration("first_event_share", e.took), zap.Any("first_event_times", e.times(true)))
	}
	if e := s.delays.pause; e != nil {
		fields = append(fields, zap.Stringer("pause_cause", e.cause), zap.Duration("pause_share", e.took), zap.Any("pause_times", e.times(false)))
	}
	return fields
}

// times lists what was measured and what was expected, without what is 0. Times are in milliseconds.
func (e *lateEvent) times(first bool) map[string]float64 {
	x, s := &e.expected, &e.spent
	out := map[string]float64{
		"handler": ms(s.Of(lateness.Handler)), "path": ms(s.Of(lateness.Path)), "rejected": ms(s.Of(lateness.Rejected)),
		"rejections": float64(s.Rejections), "retry": ms(s.Of(lateness.Retry)), "lost": ms(s.Of(lateness.Lost)), "moved": ms(s.Of(lateness.Moved)),
		"run": ms(s.Run), "expected_backlog": ms(x.Backlog),
		"parts": float64(x.Stages), "zone_changes": float64(x.ZoneChanges),
		"busiest_use": x.Utilization, "busiest_sequences": x.Sequences, "remote_sequences": x.Remote, "step_time_ratio": x.StepTimeRatio,
	}
	if first {
		out["expected_prefill"], out["expected_links"], out["expected_slow"] = ms(x.Prefill), ms(x.LinkPrefill), ms(x.SlowPrefill)
	} else {
		out["expected_step"], out["expected_batch"], out["expected_parts"] = ms(x.Step), ms(x.Batch), ms(x.Parts)
		out["expected_links"], out["expected_slow"] = ms(x.Links), ms(x.SlowStep)
	}
	for k, v := range out {
		if v == 0 {
			delete(out, k)
		}
	}
	return out
}

// ms returns a time in whole microseconds as milliseconds.
func ms(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}
