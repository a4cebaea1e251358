// Package health decides, for one upstream at a time, how much new work it gets:
// none while it leaves or does not answer, a rising share after it came back.
//
// A connection that makes no progress says nothing about the upstream behind it,
// since something between the two ends may have lost track of it. The upstream is
// therefore probed on a new connection: an answer convicts the old connection, no
// answer the upstream.
//
// Upstream is a state machine: events and times in, effects out. The types are not
// safe for concurrent use; all upstreams of one Group belong under one lock.
package health

import "time"

// Config holds the times and bounds of the state machine.
type Config struct {
	// ProbeTimeout is the time after which a probe without an answer failed.
	ProbeTimeout time.Duration
	// MinEjection and MaxEjection bound the time between ejection and the next
	// probe. It doubles with each ejection in a row and is drawn from its upper
	// half.
	MinEjection time.Duration
	MaxEjection time.Duration
	// SlowStart lists the weights that an upstream passes through after it came
	// back, before weight 1; it keeps each for SlowStartStep.
	SlowStart     []float64
	SlowStartStep time.Duration
	// ForgetAfter is the time at weight 1 after which earlier ejections no longer
	// lengthen the next one.
	ForgetAfter time.Duration
	// UnlistedUse is the time for which an upstream that is missing from the
	// platform's list stays in use while it answers.
	UnlistedUse time.Duration
	// HeldWeight is the weight of an upstream that fails its probes while the
	// group allows no more ejections.
	HeldWeight float64
	// MaxFaults is the number of times in a row that connections fail, without
	// progress on any connection in between, after which the upstream is ejected
	// although it answers probes. Connections that fail while one probe is open
	// count once.
	MaxFaults int
}

// DefaultConfig returns the default times and bounds.
func DefaultConfig() Config {
	return Config{
		ProbeTimeout:  time.Second,
		MinEjection:   time.Second,
		MaxEjection:   time.Minute,
		SlowStart:     []float64{0.1, 0.25, 0.5},
		SlowStartStep: 2 * time.Second,
		ForgetAfter:   time.Minute,
		UnlistedUse:   30 * time.Second,
		HeldWeight:    0.1,
		MaxFaults:     4,
	}
}

// Event is something that an upstream or its environment did.
type Event interface{ isEvent() }

// Listed tells that the platform's list shows the upstream. A list that no longer
// shows it as leaving does not revoke an earlier sign, as the list lags.
type Listed struct{ Leaving bool }

// Unlisted tells that the platform's list no longer shows the upstream.
type Unlisted struct{}

// Leaving tells that the upstream said so itself or that a peer passed it on.
type Leaving struct{ Source Source }

// Progress tells that an expected answer arrived on a connection.
type Progress struct{ Connection uint64 }

// Silent tells that a connection made no progress within its ProgressTimeout.
type Silent struct{ Connection uint64 }

// Lost tells that a connection was refused, reset or closed by the other end.
type Lost struct{ Connection uint64 }

// ProbeAnswered tells that the upstream answered the probe with this number. An
// answer that refuses work counts as well.
type ProbeAnswered struct{ Probe uint64 }

// ProbeFailed tells that the probe with this number was not answered in time or
// could not be sent.
type ProbeFailed struct{ Probe uint64 }

// Tick tells that the time of Upstream.Deadline was reached.
type Tick struct{}

func (Listed) isEvent()        {}
func (Unlisted) isEvent()      {}
func (Leaving) isEvent()       {}
func (Progress) isEvent()      {}
func (Silent) isEvent()        {}
func (Lost) isEvent()          {}
func (ProbeAnswered) isEvent() {}
func (ProbeFailed) isEvent()   {}
func (Tick) isEvent()          {}

// Source is where the first sign of leaving came from.
type Source int

const (
	// FromList is the platform's list.
	FromList Source = iota
	// FromUpstream is the upstream's own answer or load report.
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

// Effect is something that the caller is to do, in order.
type Effect interface{ isEffect() }

// Probe asks for a probe on a new connection, to be answered by ProbeAnswered or
// ProbeFailed with its number within Timeout.
type Probe struct {
	Number  uint64
	Timeout time.Duration
}

// ReplaceConnection asks to close a connection and send its open steps again on a
// new one.
type ReplaceConnection struct{ Connection uint64 }

// SetWeight sets the share of new work, 0 to 1. Work in flight goes on.
type SetWeight struct{ Weight float64 }

// FailAttempts asks to end the open attempts on the upstream, which does not
// answer, so that they resume elsewhere.
type FailAttempts struct{}

// Eject tells that the upstream gets no work until the probe at Until.
type Eject struct{ Until time.Time }

// AnnounceLeaving asks to tell the peers that the upstream leaves. It is not given
// for signs that every instance reads for itself or that came from a peer.
type AnnounceLeaving struct{}

// Remove asks to forget the upstream once its work in flight has ended. It is the
// last effect: from then on a faulty connection ends its attempts.
type Remove struct{}

func (Probe) isEffect()             {}
func (ReplaceConnection) isEffect() {}
func (SetWeight) isEffect()         {}
func (FailAttempts) isEffect()      {}
func (Eject) isEffect()             {}
func (AnnounceLeaving) isEffect()   {}
func (Remove) isEffect()            {}
