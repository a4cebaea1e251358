package load

import "time"

// Outcome is the result of one request as observed by its client.
type Outcome string

// Request outcomes.
const (
	// Completed means a complete response that, if the expected text is known, is
	// also correct.
	Completed Outcome = "completed"
	// Wrong means a complete response that differs from the expected one.
	Wrong Outcome = "wrong"
	// Partial means a response that began and was truncated without an error.
	Partial Outcome = "partial"
	// Refused means an error that states that the request was not run.
	Refused Outcome = "refused"
	// Failed means any other error, including one that ends a stream.
	Failed Outcome = "failed"
	// TimedOut means that the response was not complete before the timeout.
	TimedOut Outcome = "timed_out"
	// Unsent means that the generator had reached MaxInFlight and did not send the
	// request.
	Unsent Outcome = "unsent"
)

// sample is the measurement of one request. All times are measured from the
// intended arrival.
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
	// lateSend is the delay between the intended arrival and the actual send.
	lateSend time.Duration
	// body is the response to an order or a query.
	body string
}

// inTime reports whether the request completed within its deadline.
func (s *sample) inTime() bool {
	if s.outcome != Completed {
		return false
	}
	deadline := s.arrival.flow.Deadline
	return deadline == 0 || s.total <= deadline
}

// goodTokens returns the number of tokens that count as goodput.
func (s *sample) goodTokens() int {
	if !s.inTime() {
		return 0
	}
	return s.tokens
}

// demandTokens returns the number of tokens that the request asks for.
func (s *sample) demandTokens() int {
	if s.arrival.isModel() {
		return s.arrival.maxTokens
	}
	return 0
}

func (a *arrival) isModel() bool {
	return a.flow.Kind == Chat || a.flow.Kind == Completion
}

// isStream reports whether the response is streamed token by token.
func (s *sample) isStream() bool {
	return s.arrival.isModel() && s.arrival.flow.Stream
}
