package gateway

import (
	"time"

	"masticbank.example/core/waitlist"
)

// leavingSlack is how long after its patience has ended it is known that a client has left.
const leavingSlack = time.Second

// waitLimit is the latest time at which a path or a retry is still of use. A request without an event is
// refused when the next one could not reach its client in time. An answer that has begun cannot be
// refused, and waits until its client has left.
func (s *stream) waitLimit() time.Time {
	if !s.headSent {
		return s.patienceEnd()
	}
	return s.beforeDeadline(s.lastSent.Add(waitlist.Patience(s.route.LatencyObjective, s.route.EventGapObjective) + leavingSlack))
}

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
