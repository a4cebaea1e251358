package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticbank.example/core/execution"
)

// Metric is a kind of duration.
type Metric int

const (
	// QueueWait is the time from arrival to dispatch.
	QueueWait Metric = iota
	// FirstToken is the time from arrival to the first token.
	FirstToken
	// BetweenTokens is the time between two consecutive tokens.
	BetweenTokens
	// Total is the time from arrival to the end of the response.
	Total
	metricCount
)

// Outcome is the way in which a request ended.
type Outcome int

const (
	// Completed means that the client got the complete response.
	Completed Outcome = iota
	// Refused means that the request was refused before dispatch.
	Refused
	// Failed means that the request failed after dispatch.
	Failed
	// Expired means that the deadline passed.
	Expired
	// Cancelled means that the client canceled the request or disconnected.
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

// series holds the durations and outcomes of one rank or workspace. It is safe for
// concurrent use.
type series struct {
	times [metricCount]*histogram

	mu       sync.Mutex
	outcomes outcomes
	// foldedInto is the series that counts later outcomes after foldInto; nil before.
	foldedInto *series
}

// outcomes counts finished requests by outcome and execution status.
type outcomes [outcomeCount][executions]uint64

func newSeries() *series {
	s := new(series)
	for i := range s.times {
		s.times[i] = newSlidingHistogram()
	}
	return s
}

func (s *series) observe(m Metric, d time.Duration) {
	s.times[m].record(d)
}

func (s *series) finish(o Outcome, status execution.Status) {
	s.mu.Lock()
	next := s.foldedInto
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

// foldInto adds everything recorded to other. What is recorded later is recorded in
// other.
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
	s.foldedInto = other
}

// Series is the snapshot of one rank or workspace.
type Series struct {
	QueueWait     Percentiles `json:"queue_wait"`
	FirstToken    Percentiles `json:"first_token"`
	BetweenTokens Percentiles `json:"between_tokens"`
	Total         Percentiles `json:"total"`
	// Outcomes counts finished requests by outcome and execution status.
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
