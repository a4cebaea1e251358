package soak

import (
	"fmt"
	"sync"
	"time"
)

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	Lookup Kind = iota
	Order
	Stream
	kinds
)

// Request is one attempt of a caller and what came of it.
type Request struct {
	ID       string
	Kind     Kind
	Instance int
	Sent     time.Time
	// Status is 0 if no answer came.
	Status int
	// Replica gave the answer; Whole is false if it was broken off.
	Replica string
	Whole   bool
}

// Ledger holds what callers and replicas saw. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]Request
	findings []string
	// left holds when an answer first said that a process of a replica leaves.
	left map[leftKey]time.Time
}

// leftKey names the process of a replica by the number of starts before it, and the
// instance that passed its answer on.
type leftKey struct {
	instance int
	replica  string
	start    int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]Request{}, left: map[leftKey]time.Time{}}
}

// Found records a broken promise.
func (l *Ledger) Found(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, args...))
}

// Ended records a request.
func (l *Ledger) Ended(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.ID] = r
}

// Left records that an answer passed on by an instance said that the process of a replica
// with so many starts before it leaves.
func (l *Ledger) Left(instance int, replica string, start int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := leftKey{instance, replica, start}
	if _, known := l.left[key]; !known {
		l.left[key] = at
	}
}

// Ran is one request that a replica ran.
type Ran struct {
	Replica, ID string
}

// drainTime is how long after such an answer requests may still reach the replica.
const drainTime = 2 * time.Second

// Conclude compares what replicas ran with what callers were told, and returns all
// findings. starts returns how often a replica had started again before a time;
// disturbed tells whether an instance was started or paused between two times. calm runs
// have planned stops only, so that nothing that ran may be without an answer.
func (l *Ledger) Conclude(runs []Ran, calm bool, starts func(replica string, before time.Time) int, disturbed func(instance int, from, to time.Time) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]string(nil), l.findings...)
	count := map[string]int{}
	for _, run := range runs {
		count[run.ID]++
		r, known := l.requests[run.ID]
		if !known {
			out = append(out, fmt.Sprintf("%s ran %s, which nobody sent", run.Replica, run.ID))
			continue
		}
		at, left := l.left[leftKey{r.Instance, run.Replica, starts(run.Replica, r.Sent)}]
		if left && r.Sent.After(at.Add(drainTime)) && !disturbed(r.Instance, at, r.Sent) {
			out = append(out, fmt.Sprintf("%s ran %s, sent %v after instance %d was told that it leaves", run.Replica, run.ID, r.Sent.Sub(at), r.Instance))
		}
	}
	for id, r := range l.requests {
		n := count[id]
		switch {
		case r.Kind == Order && n > 1:
			out = append(out, fmt.Sprintf("order %s ran %d times", id, n))
		case r.Kind == Order && notRun(r.Status) && n > 0:
			out = append(out, fmt.Sprintf("order %s was answered %d and ran", id, r.Status))
		case calm && r.Status == 0 && n > 0:
			out = append(out, fmt.Sprintf("request %s ran and had no answer though nothing failed", id))
		case calm && r.Status != 0 && !r.Whole:
			out = append(out, fmt.Sprintf("the answer to %s was broken off though nothing failed", id))
		}
	}
	return out
}

// notRun tells whether a status states that the request did not run and will not.
func notRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}
