// Package admission decides, for one pool, which waiting request is dispatched next and
// which requests are refused. A pool is one model on one entry instance, or one plain
// service.
//
// Queue orders ranks strictly by urgency, except that every rank with waiting work
// keeps its configured minimum share of the dispatched cost. Within a rank it applies
// start-time fair queueing (Goyal, Vin and Cheng, 1996) over workspaces, with cost
// measured in tokens. FIFO is the baseline without ranks and fairness.
//
// The types of this package do no I/O and read no clock: the caller passes the current
// time and carries out the returned effects. They are not safe for concurrent use.
package admission

import (
	"fmt"
	"time"

	"masticbank.example/core/config"
)

// Request is a request that arrives at a pool.
type Request struct {
	// ID is unique among the requests that the pool holds.
	ID        string
	Workspace string
	// Rank is the priority class, 0 the most urgent. A rank beyond the configured ones
	// is treated as the least urgent.
	Rank config.Rank
	// Cost is the estimated cost in tokens: prompt plus expected output.
	Cost float64
	// Deadline is when the response must be complete. Zero means no deadline.
	Deadline time.Time
}

// Kind is the action that an Effect requests.
type Kind int

const (
	// Dispatch runs the request now.
	Dispatch Kind = iota
	// Refuse responds to the client that the request was not run.
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

// Reason is why a request was refused.
type Reason int

const (
	// ReasonNone is the reason of effects other than Refuse.
	ReasonNone Reason = iota
	// ReasonUnmeetableDeadline means that, on arrival, the request could not have met
	// its deadline at the current service rate.
	ReasonUnmeetableDeadline
	// ReasonDeadlineWhileQueued means that the request could no longer meet its
	// deadline while it waited.
	ReasonDeadlineWhileQueued
	// ReasonWorkspaceFull means that the workspace exceeded its limit of waiting
	// requests and that this was the newest request in its least urgent rank.
	ReasonWorkspaceFull
	// ReasonPoolFull means that the pool exceeded its limit of waiting requests and
	// that this request would have been served last.
	ReasonPoolFull
)

// String returns the reason as it appears in logs and error bodies.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonUnmeetableDeadline:
		return "hopeless_deadline"
	case ReasonDeadlineWhileQueued:
		return "deadline_while_queued"
	case ReasonWorkspaceFull:
		return "workspace_queue_full"
	case ReasonPoolFull:
		return "pool_queue_full"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Effect is an action that the caller must carry out.
type Effect struct {
	Kind Kind
	ID   string
	// Reason and RetryAfter are set for Refuse. RetryAfter estimates when enough of the
	// work now ahead of the request will have been served for the request to meet its
	// deadline.
	Reason     Reason
	RetryAfter time.Duration
}

// Admitter makes the admission decisions of one pool. A returned slice is valid until
// the next call. Calls with an unknown ID are ignored, because events of one request
// may cross each other.
type Admitter interface {
	// Arrive offers a new request. It panics if the ID is already held.
	Arrive(now time.Time, r Request) []Effect
	// SetSlots sets the number of slots: how many requests may run at once. It may be
	// lower than the number of running requests.
	SetSlots(now time.Time, slots int) []Effect
	// Done reports that a dispatched request ran to completion, and its actual cost in
	// tokens. Its duration counts towards the service rate.
	Done(now time.Time, id string, cost float64) []Effect
	// Cancel reports that a waiting or running request ended early because its client
	// disconnected or it failed. Its duration does not count towards the service rate;
	// otherwise quick failures would make the pool look fast.
	Cancel(now time.Time, id string) []Effect
	// Requeue returns a dispatched request that found no replica to its former place in
	// the queue. It never dispatches; the next event does.
	Requeue(now time.Time, id string) []Effect
	// Configure applies a new configuration.
	Configure(now time.Time, c Config) []Effect
	// Tick advances time. Call it about ten times per second.
	Tick(now time.Time) []Effect
	// Stats summarizes the pool, with at most top workspaces.
	Stats(top int) Stats
	// Loads returns the waiting and running work by workspace and rank, without empty
	// entries.
	Loads() []Load
	// Position returns the position of a waiting request in its queue. It returns false
	// if the request does not wait.
	Position(now time.Time, id string) (Position, bool)
}

var (
	_ Admitter = (*Queue)(nil)
	_ Admitter = (*FIFO)(nil)
)
