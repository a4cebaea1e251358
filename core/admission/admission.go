// Package admission decides which waiting request of one pool runs next and
// which requests are refused. A pool is one model on one entry instance, or one
// plain service.
//
// Queue orders ranks strictly by urgency, except that every rank with work
// keeps its configured minimum share of the dispatched cost. Inside a rank it
// runs start-time fair queueing (Goyal, Vin and Cheng, 1996) over workspaces,
// with cost in tokens. FIFO is the baseline without ranks and fairness.
//
// The types of this package do no I/O and read no clock: the caller passes the
// time and carries out the returned effects. They are not safe for concurrent
// use.
package admission

import (
	"fmt"
	"time"

	"masticbank.example/core/config"
)

// Request is one request that arrives at a pool.
type Request struct {
	// ID is unique among the requests that the pool holds.
	ID        string
	Workspace string
	// Rank beyond the configured ranks counts as the least urgent one.
	Rank config.Rank
	// Cost is the estimated cost in tokens: prompt plus expected output.
	Cost float64
	// Deadline is when the answer must be complete. Zero means none.
	Deadline time.Time
}

// Kind tells what an Effect asks the caller to do.
type Kind int

const (
	// Dispatch asks the caller to run the request now.
	Dispatch Kind = iota
	// Refuse asks the caller to answer that the request was not run.
	Refuse
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Dispatch:
		return "dispatch"
	case Refuse:
		return "refuse"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Reason tells why a request was refused.
type Reason int

const (
	// ReasonNone belongs to effects that refuse nothing.
	ReasonNone Reason = iota
	// ReasonHopeless means that the request could not have met its deadline at
	// the current service rate when it arrived.
	ReasonHopeless
	// ReasonDeadline means that the request could no longer meet its deadline
	// while it waited.
	ReasonDeadline
	// ReasonWorkspaceFull means that the workspace has too many waiting
	// requests and that this was its least urgent, newest one.
	ReasonWorkspaceFull
	// ReasonPoolFull means that the pool has too many waiting requests and that
	// this was the one that would have been served last.
	ReasonPoolFull
)

// String returns the reason as it appears in logs and error bodies.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonHopeless:
		return "hopeless_deadline"
	case ReasonDeadline:
		return "deadline_while_queued"
	case ReasonWorkspaceFull:
		return "workspace_queue_full"
	case ReasonPoolFull:
		return "pool_queue_full"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Effect is one action that the caller must carry out.
type Effect struct {
	Kind Kind
	ID   string
	// Reason and RetryAfter belong to Refuse. RetryAfter is the time after
	// which the work that would be ahead of the request now will have been
	// served, as far as it must be for the deadline.
	Reason     Reason
	RetryAfter time.Duration
}

// Admitter is the admission decision of one pool. The slice returned by a
// method is valid until the next call. Calls with an ID that is not held are
// ignored, because events cross each other.
type Admitter interface {
	// Arrive offers a new request. It panics if the ID is already held.
	Arrive(now time.Time, r Request) []Effect
	// Capacity sets how many requests may run at once. It may be lower than the
	// number of requests that run.
	Capacity(now time.Time, slots int) []Effect
	// Done reports that a dispatched request was served to its end and what it
	// cost in tokens. Its time counts towards the service rate.
	Done(now time.Time, id string, cost float64) []Effect
	// Cancel reports that a waiting or running request ended early, because its
	// caller left or it failed. Its time does not count towards the service
	// rate, so that quick failures do not make the pool look fast.
	Cancel(now time.Time, id string) []Effect
	// Requeue returns a dispatched request that found no replica to its place.
	// It dispatches nothing itself: the next event does.
	Requeue(now time.Time, id string) []Effect
	// Configure puts a new configuration in force.
	Configure(now time.Time, c Config) []Effect
	// Tick advances time. Call it about ten times a second.
	Tick(now time.Time) []Effect
	// Stats summarises the pool with at most top workspaces.
	Stats(top int) Stats
	// Loads returns the work of each workspace and rank that has some.
	Loads() []Load
	// Position tells where a waiting request stands.
	Position(now time.Time, id string) (Position, bool)
}

var (
	_ Admitter = (*Queue)(nil)
	_ Admitter = (*FIFO)(nil)
)
