// Package poison finds requests that crash each replica that runs them, so that
// they are stopped and copies of them refused.
//
// A Ledger does so where a request passes through many replicas and each of their
// processes has a start of its own, a Tracker where replicas are known by ID only.
//
// When a replica crashes, all requests that it was running are suspects, and it may
// have failed for its own reasons. A Tracker keeps the crashes of the recent past
// with their suspects and weighs them anew at each question:
//
//   - A request that completes anywhere is innocent of all earlier crashes.
//   - A crash does not count as evidence when its replica crashed often, or when
//     many other replicas crashed at about the same time without the suspect.
//   - A suspect's score is the number of different replicas whose crashes count
//     against it. Each crash is charged to its suspects with the highest score.
//   - A request is stopped when two replicas' crashes are charged to it.
//   - A fingerprint is blocked when two replicas' crashes are charged to it alone,
//     or three to it and others.
package poison

import "time"

const (
	// stopReplicas is the number of replicas whose charged crashes stop a request.
	stopReplicas = 2
	// certainReplicas is the number of replicas after whose crashes doubts in
	// favour of a suspect no longer count.
	certainReplicas = 3
	// ownCrashes is the number of crashes within the retention period from which
	// a replica is taken to fail for its own reasons.
	ownCrashes = 3
	// burstReplicas is the number of other replicas that crash within burstWindow
	// without a suspect, from which a common cause is assumed.
	burstReplicas = 4
	burstWindow   = 5 * time.Second
	// crashWindow is the time within which suspects of one replica belong to the
	// same crash.
	crashWindow = 2 * time.Second
	// shareAfter is the age of a fingerprint's last crash at which a block is told
	// to peers. Until then suspects of the same crash may still come in.
	shareAfter = 250 * time.Millisecond

	// maxCrashes, maxSuspects and maxBlocks bound the memory of a Tracker.
	maxCrashes  = 256
	maxSuspects = 64
	maxBlocks   = 4096
	// MaxShared is the largest number of blocks that Recent returns.
	MaxShared = 64
)

// Verdict tells what to do with a request after a crash.
type Verdict int

const (
	// Retry means that the request may run on another replica.
	Retry Verdict = iota
	// Stop means that the request must not run again.
	Stop
)

// String returns the name used in logs.
func (v Verdict) String() string {
	if v == Stop {
		return "stop"
	}
	return "retry"
}

// Block is a fingerprint that is refused until Expiry.
type Block struct {
	Fingerprint Fingerprint
	Expiry      time.Time
}

// crash is one crash of a replica.
type crash struct {
	replica  string
	at       time.Time
	suspects []Fingerprint
}

func (c *crash) has(f Fingerprint) bool {
	for _, s := range c.suspects {
		if s == f {
			return true
		}
	}
	return false
}

func (c *crash) remove(f Fingerprint) {
	for i, s := range c.suspects {
		if s == f {
			c.suspects = append(c.suspects[:i], c.suspects[i+1:]...)
			return
		}
	}
}
