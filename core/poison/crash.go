package poison

import "time"

// Incarnation is one process of a replica. It ends once.
type Incarnation struct {
	Replica string
	// Born is the start of the process, in Unix milliseconds.
	Born int64
}

// Run is one sending of a request to replicas. A move to another path is a run of
// its own.
type Run struct {
	// Attempt is a hash of the ID of the caller's attempt.
	Attempt uint64
	Number  uint32
}

// LostRun is a run that ended without a whole answer.
type LostRun struct {
	Fingerprint Fingerprint
	Run         Run
	// Parts are the replicas that it passed through.
	Parts []Incarnation
	// Progressed is true when a part of the answer had come.
	Progressed bool
	// Began is when the request was sent.
	Began time.Time
}

// Crash is a replica that ended while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Run         Run
	Replica     Incarnation
	Progressed  bool
	At          time.Time
	// Own is true for a run of this instance.
	Own bool
}

// Clear tells that a request has succeeded.
type Clear struct {
	Fingerprint Fingerprint
	At          time.Time
}

// State is evidence, as instances tell it to each other. It may be merged in any
// order and any number of times.
type State struct {
	Crashes []Crash
	Clears  []Clear
}

// Empty tells whether there is nothing to tell.
func (s State) Empty() bool { return len(s.Crashes) == 0 && len(s.Clears) == 0 }
