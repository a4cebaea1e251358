package gateway

import (
	"time"

	"masticbank.example/core/waitlist"
)

// waitLimit is the latest time at which a path is still of use. A request without an event is refused
// when the next one could not reach its client in time. An answer that has begun waits for as long as its
// client does; while the instance shuts down, until a client would have left.
func (s *stream) waitLimit() time.Time {
	switch {
	case !s.headSent:
		return s.patienceEnd()
	case s.g.drain.Load() == nil:
		return s.deadline
	default:
		return s.beforeDeadline(s.lastSent.Add(waitlist.Patience(s.route.LatencyObjective, s.route.EventGapObjective) + leavingSlack))
	}
}

// leavingSlack is how long after its patience has ended it is known that a client has left.
const leavingSlack = 500 * time.Millisecond

// patienceEnd is when the client would have waited too long since the request arrived, or since the
// last event, and would leave before another event could reach it.
func (s *stream) patienceEnd() time.Time {
	since := s.arrival
	if s.headSent {
		since = s.lastSent
	}
	return s.beforeDeadline(since.Add(waitlist.MaxWait(s.route.LatencyObjective, s.route.EventGapObjective)))
}

func (s *stream) beforeDeadline(t time.Time) time.Time {
	if s.deadline.Before(t) {
		return s.deadline
	}
	return t
}
