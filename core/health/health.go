// Package health decides how much new work one upstream gets: none while it is
// leaving or unresponsive, and a rising share after it has recovered.
//
// A connection without progress does not show that the upstream has failed: a
// device between the two ends may have lost the connection's state. The
// upstream is therefore probed on a new connection. If it responds, only the
// old connection is replaced; if not, the upstream is ejected.
//
// Upstream is a state machine: it takes events with their times and returns
// effects. The types are not safe for concurrent use; one lock must guard all
// upstreams of a Group.
package health

import "time"

// Config holds the timeouts and limits of the state machine.
type Config struct {
	// ProbeTimeout is the time after which a probe without a response has
	// failed.
	ProbeTimeout time.Duration
	// MinEjection and MaxEjection bound the time from an ejection to the next
	// probe. It doubles with each consecutive ejection and is drawn from the
	// upper half of its range.
	MinEjection time.Duration
	MaxEjection time.Duration
	// SlowStart lists the weights that a recovered upstream has before it gets
	// weight 1, each for SlowStartStep.
	SlowStart     []float64
	SlowStartStep time.Duration
	// BackoffResetAfter is the time at weight 1 after which earlier ejections
	// no longer extend the backoff.
	BackoffResetAfter time.Duration
	// UnlistedGrace is how long an upstream that is missing from the platform's
	// list stays in use while it responds.
	UnlistedGrace time.Duration
	// DegradedWeight is the weight of an upstream that fails its probes while
	// the group allows no more ejections.
	DegradedWeight float64
	// MaxConsecutiveFaults is the number of consecutive connection faults,
	// without progress on any connection in between, after which the upstream
	// is ejected although it responds to probes. Connections that fail while
	// the same probe is open count as one fault.
	MaxConsecutiveFaults int
}

// DefaultConfig returns the default timeouts and limits.
func DefaultConfig() Config {
	return Config{
		ProbeTimeout:         time.Second,
		MinEjection:          time.Second,
		MaxEjection:          time.Minute,
		SlowStart:            []float64{0.1, 0.25, 0.5},
		SlowStartStep:        2 * time.Second,
		BackoffResetAfter:    time.Minute,
		UnlistedGrace:        30 * time.Second,
		DegradedWeight:       0.1,
		MaxConsecutiveFaults: 4,
	}
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Listed reports that the platform's list contains the upstream. The list lags,
// so an entry that is not leaving does not revoke an earlier report that the
// upstream is leaving.
type Listed struct{ Leaving bool }

// Unlisted reports that the platform's list no longer contains the upstream.
type Unlisted struct{}

// Leaving reports that the upstream is leaving, as stated by the given source.
type Leaving struct{ Source Source }

// Progress reports that an expected response arrived on a connection.
type Progress struct{ Connection uint64 }

// Unresponsive reports that a connection made no progress within its
// ProgressTimeout.
type Unresponsive struct{ Connection uint64 }

// ConnectionFailed reports that a connection was refused, reset or closed by
// the remote end.
type ConnectionFailed struct{ Connection uint64 }

// ProbeSucceeded reports that the upstream responded to the probe with this
// number. A response that refuses work counts too.
type ProbeSucceeded struct{ Probe uint64 }

// ProbeFailed reports that the probe with this number could not be sent or got
// no response in time.
type ProbeFailed struct{ Probe uint64 }

// Tick reports that the time returned by Upstream.Deadline has been reached.
type Tick struct{}

func (Listed) isEvent()           {}
func (Unlisted) isEvent()         {}
func (Leaving) isEvent()          {}
func (Progress) isEvent()         {}
func (Unresponsive) isEvent()     {}
func (ConnectionFailed) isEvent() {}
func (ProbeSucceeded) isEvent()   {}
func (ProbeFailed) isEvent()      {}
func (Tick) isEvent()             {}

// Source is the origin of the first report that an upstream is leaving.
type Source int

const (
	// FromList is the platform's list.
	FromList Source = iota
	// FromUpstream is a response or a load report of the upstream itself.
	FromUpstream
	// FromPeer is another instance.
	FromPeer
)

// String returns the name used in logs.
func (s Source) String() string {
	switch s {
	case FromList:
		return "list"
	case FromUpstream:
		return "upstream"
	case FromPeer:
		return "peer"
	default:
		return "unknown"
	}
}

// Effect is an action that the caller must perform. Effects must be performed
// in order.
type Effect interface{ isEffect() }

// Probe requests a probe on a new connection. Its result must be reported with
// the same number within Timeout.
type Probe struct {
	Number  uint64
	Timeout time.Duration
}

// ReplaceConnection requests that a connection be closed and its open steps be
// sent again on a new one.
type ReplaceConnection struct{ Connection uint64 }

// SetWeight sets the share of new work, 0 to 1. Work in flight continues.
type SetWeight struct{ Weight float64 }

// FailAttempts requests that the open attempts on the unresponsive upstream be
// ended, so that they resume on other upstreams.
type FailAttempts struct{}

// Eject reports that the upstream gets no work until the probe at Until.
type Eject struct{ Until time.Time }

// AnnounceLeaving requests that the peers be informed that the upstream is
// leaving. It is not emitted for reports that every instance reads itself or
// that came from a peer.
type AnnounceLeaving struct{}

// Remove requests that the upstream be deleted once its work in flight has
// ended. It is the last effect: after it, a faulty connection ends its
// attempts.
type Remove struct{}

func (Probe) isEffect()             {}
func (ReplaceConnection) isEffect() {}
func (SetWeight) isEffect()         {}
func (FailAttempts) isEffect()      {}
func (Eject) isEffect()             {}
func (AnnounceLeaving) isEffect()   {}
func (Remove) isEffect()            {}
