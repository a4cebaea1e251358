package soak

import (
	"fmt"
	"sync"
	"time"
)

// Kind is the kind of a request.
type Kind int

// Request kinds.
const (
	Lookup Kind = iota
	Order
	Stream
	kindCount
)

// Request is one attempt of a client and its result.
type Request struct {
	ID       string
	Kind     Kind
	Instance int
	Sent     time.Time
	// Status is 0 if no response was received.
	Status int
	// Replica is the replica that signed the response. Complete is false if the response was
	// truncated.
	Replica  string
	Complete bool
}

// Recorder records the requests of clients and the findings of a run. It is safe for concurrent
// use.
type Recorder struct {
	mu       sync.Mutex
	requests map[string]Request
	findings []string
	// leavingSince holds the time of the first response that announced that a process of a
	// replica is leaving.
	leavingSince map[replicaProcess]time.Time
}

// replicaProcess identifies a process of a replica, by the number of restarts before it, as
// observed through one instance.
type replicaProcess struct {
	instance int
	replica  string
	restarts int
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{requests: map[string]Request{}, leavingSince: map[replicaProcess]time.Time{}}
}

// AddFinding records a violation.
func (rec *Recorder) AddFinding(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.findings = append(rec.findings, fmt.Sprintf(format, args...))
}

// AddRequest records a request that has ended.
func (rec *Recorder) AddRequest(r Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[r.ID] = r
}

// AddLeaving records that a response relayed by an instance announced that a process of a
// replica is leaving. restarts is the number of restarts of the replica before that process.
func (rec *Recorder) AddLeaving(instance int, replica string, restarts int, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	key := replicaProcess{instance, replica, restarts}
	if _, known := rec.leavingSince[key]; !known {
		rec.leavingSince[key] = at
	}
}

// Execution is one execution of a request by a replica.
type Execution struct {
	Replica, RequestID string
}

// drainTime is how long requests may still be sent to a replica after it has announced that it
// is leaving.
const drainTime = 2 * time.Second

// Evaluate compares the executions of replicas with the responses to clients, and returns all
// findings. restartsBefore returns how often a replica was restarted before a time. disrupted
// reports whether an instance was started or resumed between two times. If plannedOnly is set,
// the run had planned faults only, so every executed request must have a complete response.
func (rec *Recorder) Evaluate(executions []Execution, plannedOnly bool, restartsBefore func(replica string, before time.Time) int, disrupted func(instance int, from, to time.Time) bool) []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	findings := append([]string(nil), rec.findings...)
	count := map[string]int{}
	for _, execution := range executions {
		count[execution.RequestID]++
		r, known := rec.requests[execution.RequestID]
		if !known {
			findings = append(findings, fmt.Sprintf("%s executed %s, which no client sent", execution.Replica, execution.RequestID))
			continue
		}
		at, announced := rec.leavingSince[replicaProcess{r.Instance, execution.Replica, restartsBefore(execution.Replica, r.Sent)}]
		if announced && r.Sent.After(at.Add(drainTime)) && !disrupted(r.Instance, at, r.Sent) {
			findings = append(findings, fmt.Sprintf("%s executed %s, sent %v after instance %d received the announcement that it leaves", execution.Replica, execution.RequestID, r.Sent.Sub(at), r.Instance))
		}
	}
	for id, r := range rec.requests {
		n := count[id]
		switch {
		case r.Kind == Order && n > 1:
			findings = append(findings, fmt.Sprintf("order %s was executed %d times", id, n))
		case r.Kind == Order && notRun(r.Status) && n > 0:
			findings = append(findings, fmt.Sprintf("order %s was executed, but the response has status %d", id, r.Status))
		case plannedOnly && r.Status == 0 && n > 0:
			findings = append(findings, fmt.Sprintf("request %s was executed but has no response, with planned faults only", id))
		case plannedOnly && r.Status != 0 && !r.Complete:
			findings = append(findings, fmt.Sprintf("the response to %s was truncated, with planned faults only", id))
		}
	}
	return findings
}

// notRun reports whether a status states that the request was not executed and will not be.
func notRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}
