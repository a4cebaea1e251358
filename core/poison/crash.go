package poison

import (
	"slices"
	"time"
)

// Process identifies one process of a replica. A process ends at most once.
type Process struct {
	Replica string
	// StartTime is the start time of the process in Unix milliseconds.
	StartTime int64
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
	// Parts identify the parts of the prompt that other requests may share.
	Parts []Fingerprint
	Run   Run
	// Processes are the replica processes that the run passed through.
	Processes []Process
	// Progressed is true if part of the response had arrived.
	Progressed bool
	// SentAt is the time at which the request was sent.
	SentAt time.Time
}

// concerns reports whether the run's request has the content or the part.
func (r *LostRun) concerns(f Fingerprint) bool {
	return r.Fingerprint == f || slices.Contains(r.Parts, f)
}

// Crash records that a replica process ended while it ran a request with this content or part.
type Crash struct {
	Fingerprint Fingerprint
	Run         Run
	Process     Process
	Progressed  bool
	At          time.Time
	// Local is true if this instance dispatched the run.
	Local bool
}

// Clearance records that a request with this content or part succeeded, which disproves crashes
// attributed to it.
type Clearance struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Evidence holds the crashes and clearances that instances exchange. Merging is commutative
// and idempotent.
type Evidence struct {
	Crashes    []Crash
	Clearances []Clearance
}

// Empty reports whether there is nothing to send.
func (e Evidence) Empty() bool { return len(e.Crashes) == 0 && len(e.Clearances) == 0 }
