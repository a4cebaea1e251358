package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticbank.example/core/execution"
)

// Metric names a measured time.
type Metric int

const (
	// QueueWait is the time from arrival to dispatch.
	QueueWait Metric = iota
	// FirstToken is the time from arrival to the first token.
	FirstToken
	// BetweenTokens is the time between two tokens.
	BetweenTokens
	// Total is the time from arrival to the end of the answer.
	Total
	metricCount
)

// Outcome names how a request ended.
type Outcome int

const (
	// Completed means that the caller got the whole answer.
	Completed Outcome = iota
	// Refused means that the request was refused before it was dispatched.
	Refused
	// Failed means that the request failed after it was dispatched.
	Failed
	// Expired means that the deadline passed.
	Expired
	// Cancelled means that the caller left.
	Cancelled
	outcomeCount
)

// String returns the name used in snapshots.
func (o Outcome) String() string {
	names := [outcomeCount]string{"completed", "refused", "failed", "expired", "cancelled"}
	if o < 0 || o >= outcomeCount {
		return "unknown"
	}
	return names[o]
}

// executions is the number of values of execution.Status.
const executions = int(execution.Ran) + 1

// series holds the times and outcomes of one rank or workspace. Safe for
// concurrent use.
type series struct {
	times [metricCount]*histogram

	mu       sync.Mutex
	outcomes outcomes
	// successor takes over what is counted after the series was folded.
	successor *series
}

// outcomes counts finished requests.
type outcomes [outcomeCount][executions]uint64

func newSeries() *series {
	s := new(series)
	for i := range s.times {
		s.times[i] = newWindow()
	}
	return s
}

func (s *series) observe(m Metric, d time.Duration) {
	s.times[m].record(d)
}

func (s *series) finish(o Outcome, status execution.Status) {
	s.mu.Lock()
	next := s.successor
	if next == nil {
		s.outcomes[o][status]++
	}
	s.mu.Unlock()
	if next != nil {
		next.finish(o, status)
	}
}

func (s *series) rotate() {
	for _, h := range s.times {
		h.rotate()
	}
}

// foldInto moves everything recorded into other, which records from now on.
func (s *series) foldInto(other *series) {
	for i, h := range s.times {
		h.foldInto(other.times[i])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	for o := range s.outcomes {
		for e, n := range s.outcomes[o] {
			other.outcomes[o][e] += n
		}
	}
	s.successor = other
}

// Series is the snapshot of one rank or workspace.
type Series struct {
	QueueWait     Percentiles `json:"queue_wait"`
	FirstToken    Percentiles `json:"first_token"`
	BetweenTokens Percentiles `json:"between_tokens"`
	Total         Percentiles `json:"total"`
	// Outcomes counts finished requests by outcome, then by execution.
	Outcomes map[string]map[string]uint64 `json:"outcomes"`
}

func (s *series) snapshot(scratch *hdrhistogram.Histogram) Series {
	return Series{
		QueueWait:     s.times[QueueWait].percentiles(scratch),
		FirstToken:    s.times[FirstToken].percentiles(scratch),
		BetweenTokens: s.times[BetweenTokens].percentiles(scratch),
		Total:         s.times[Total].percentiles(scratch),
		Outcomes:      s.outcomeCounts(),
	}
}

func (s *series) outcomeCounts() map[string]map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]map[string]uint64)
	for o := range s.outcomes {
		for e, n := range s.outcomes[o] {
			if n == 0 {
				continue
			}
			name := Outcome(o).String()
			if counts[name] == nil {
				counts[name] = make(map[string]uint64)
			}
			counts[name][execution.Status(e).String()] = n
		}
	}
	return counts
}
