// Package poison detects requests that crash every replica they run on, so that such
// requests are stopped and further copies of them refused.
//
// A Ledger does this for requests that pass through several replicas whose processes are
// identified by their start time. A Tracker does it for replicas that are known by ID only.
//
// When a replica crashes, every request that it was running may be the cause, and the
// replica may also have failed for an unrelated reason. A Tracker keeps recent crashes
// together with the requests that were running (the candidates) and evaluates them again on
// every call:
//
//   - A request that completes anywhere is cleared of all earlier crashes.
//   - A crash is no evidence when its replica crashes often, or when many other replicas
//     that did not run the candidate crashed at about the same time.
//   - A candidate's score is the number of different replicas whose crashes are evidence
//     against it. Each crash is attributed to the candidates with the highest score.
//   - A request is stopped when the crashes of two replicas are attributed to it.
//   - A fingerprint is blocked when the crashes of two replicas are attributed to it alone,
//     or those of three to it and other candidates.
package poison

import "time"

const (
	// stopReplicas is the number of replicas whose crashes must be attributed to a request
	// to stop it.
	stopReplicas = 2
	// certainReplicas is the number of crashed replicas from which a candidate is stopped
	// even if the crashes have other possible explanations.
	certainReplicas = 3
	// unrelatedCrashThreshold is the number of crashes within the retention period from
	// which a replica is assumed to fail independently of the requests that it runs.
	unrelatedCrashThreshold = 3
	// burstReplicas is the number of other replicas that crash within burstWindow without
	// having run a candidate from which a common cause is assumed.
	burstReplicas = 4
	burstWindow   = 5 * time.Second
	// crashWindow is the time within which reports about one replica belong to the same
	// crash.
	crashWindow = 2 * time.Second
	// shareDelay is the minimum age of a fingerprint's last crash before its block is sent
	// to peers: until then further candidates of the same crash may be reported.
	shareDelay = 250 * time.Millisecond

	// maxCrashes, maxCandidates and maxBlocks bound the memory of a Tracker.
	maxCrashes    = 256
	maxCandidates = 64
	maxBlocks     = 4096
	// MaxShared is the maximum number of blocks that are sent to peers at once.
	MaxShared = 64
)

// Decision states whether a request may run again after a crash.
type Decision int

const (
	// Retry allows the request to run on another replica.
	Retry Decision = iota
	// Stop forbids running the request again.
	Stop
)

// String returns the name used in logs.
func (d Decision) String() string {
	if d == Stop {
		return "stop"
	}
	return "retry"
}

// Block is a fingerprint whose requests are refused until Expiry.
type Block struct {
	Fingerprint Fingerprint
	Expiry      time.Time
}

// crash is one crash of a replica with the requests that it was running.
type crash struct {
	replica    string
	at         time.Time
	candidates []Fingerprint
}

func (c *crash) has(f Fingerprint) bool {
	for _, cand := range c.candidates {
		if cand == f {
			return true
		}
	}
	return false
}

func (c *crash) remove(f Fingerprint) {
	for i, cand := range c.candidates {
		if cand == f {
			c.candidates = append(c.candidates[:i], c.candidates[i+1:]...)
			return
		}
	}
}
