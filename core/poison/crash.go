package poison

import "time"

// Incarnation identifies one process of a replica. A process ends at most once.
type Incarnation struct {
	Replica string
	// Born is the start time of the process in Unix milliseconds.
	Born int64
}

// Run identifies one dispatch of a request to replicas. Moving the request to another path
// starts a new run.
type Run struct {
	// Attempt is a hash of the client's attempt ID.
	Attempt uint64
	Number  uint32
}

// LostRun is a run that ended without a complete response.
type LostRun struct {
	Fingerprint Fingerprint
	Run         Run
	// Parts are the replica processes that the run passed through.
	Parts []Incarnation
	// Progressed is true if part of the response had arrived.
	Progressed bool
	// Began is the time at which the request was sent.
	Began time.Time
}

// Crash records that a replica process ended while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Run         Run
	Replica     Incarnation
	Progressed  bool
	At          time.Time
	// Own is true if this instance dispatched the run.
	Own bool
}

// Clear records that a request succeeded, which disproves crashes attributed to it.
type Clear struct {
	Fingerprint Fingerprint
	At          time.Time
}

// State holds crashes and successes that instances exchange. Merging is commutative and
// idempotent.
type State struct {
	Crashes []Crash
	Clears  []Clear
}

// Empty reports whether there is nothing to send.
func (s State) Empty() bool { return len(s.Crashes) == 0 && len(s.Clears) == 0 }
