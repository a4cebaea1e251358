package load

import "time"

// Outcome is how one request ended, as its caller sees it.
type Outcome string

// Outcomes of requests.
const (
	// Completed means a whole and, where that is known, correct answer.
	Completed Outcome = "completed"
	// Wrong means a whole answer that differs from the expected one.
	Wrong Outcome = "wrong"
	// Partial means an answer that began and was cut without an error.
	Partial Outcome = "partial"
	// Refused means an error that says that the request was not run.
	Refused Outcome = "refused"
	// Failed means any other error, also one that ends a stream.
	Failed Outcome = "failed"
	// TimedOut means that no answer came in time.
	TimedOut Outcome = "timed_out"
	// Unsent means that the generator reached its own limit.
	Unsent Outcome = "unsent"
)

// sample is the measurement of one request. Times count from the intended
// arrival.
type sample struct {
	arrival    *arrival
	outcome    Outcome
	status     int
	execution  string
	requestID  string
	detail     string
	firstToken time.Duration
	total      time.Duration
	gaps       []time.Duration
	tokens     int
	// lateSend is how long after the intended time the request was sent.
	lateSend time.Duration
	// body is the answer to an order.
	body string
}

// inTime reports whether a whole answer came within the deadline.
func (s *sample) inTime() bool {
	if s.outcome != Completed {
		return false
	}
	deadline := s.arrival.flow.Deadline
	return deadline == 0 || s.total <= deadline
}

// goodTokens returns the tokens that count as goodput.
func (s *sample) goodTokens() int {
	if !s.inTime() {
		return 0
	}
	return s.tokens
}

// demand returns the tokens that the request asks for.
func (s *sample) demand() int {
	if s.arrival.isModel() {
		return s.arrival.maxTokens
	}
	return 0
}

func (a *arrival) isModel() bool {
	return a.flow.Kind == Chat || a.flow.Kind == Text
}

// isStream reports whether the answer's tokens come one by one.
func (s *sample) isStream() bool {
	return s.arrival.isModel() && s.arrival.flow.Stream
}
