package attempt

import "masticbank.example/core/execution"

// Identity identifies one step of a request by its attempt, stage and token position.
type Identity struct {
	RequestID string
	Attempt   int
	Stage     int
	Position  int
}

// Stage is one stage of a path: a replica and its layers. FirstLayer and LastLayer are
// both inclusive.
type Stage struct {
	ReplicaID  string
	FirstLayer int
	LastLayer  int
}

// Token is one generated token. Finish is the reason why generation ended; it is set
// only on the last token.
type Token struct {
	ID     int
	Text   string
	Finish string
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Routed starts the next attempt on a path.
type Routed struct{ Stages []Stage }

// Unroutable ends the request because no path is available.
type Unroutable struct{ Reason string }

// Responded carries the response of an upstream to a step. Reported is the identity
// stated in the response; its Stage is not compared.
type Responded struct {
	Step     Identity
	Reported Identity
	Hidden   []byte
	Token    *Token
}

// Refused reports that a step was certainly not executed: nothing was written to the
// upstream, or it refused the step in its protocol.
type Refused struct {
	Step   Identity
	Reason string
}

// Failed reports that a step ended without a usable response. It may have been
// executed.
type Failed struct {
	Step   Identity
	Reason string
}

// Unresponsive reports that a step made no progress within its timeout.
type Unresponsive struct{ Step Identity }

// Probed reports the result of a probe.
type Probed struct {
	Step  Identity
	Alive bool
}

// Cancelled ends the request because the client disconnected.
type Cancelled struct{}

// Expired ends the request because its deadline passed.
type Expired struct{}

func (Routed) isEvent()       {}
func (Unroutable) isEvent()   {}
func (Responded) isEvent()    {}
func (Refused) isEvent()      {}
func (Failed) isEvent()       {}
func (Unresponsive) isEvent() {}
func (Probed) isEvent()       {}
func (Cancelled) isEvent()    {}
func (Expired) isEvent()      {}

// Effect is an output of Machine.Step. Effects must be carried out in order.
type Effect interface{ isEffect() }

// Route requests a path for attempt number Attempt that avoids the replicas in Exclude.
// Retry is false for the first attempt, and when the last attempt was refused before
// anything was executed.
type Route struct {
	Attempt int
	Exclude []string
	Retry   bool
}

// Send requests that the replica of a stage run one step.
type Send struct {
	Step  Identity
	Stage Stage
	// Prefill is true for the first position of an attempt.
	Prefill bool
	// Resend is true if the step was sent before on another connection.
	Resend bool
	// Tokens are the generated tokens that the first stage needs: all of them for
	// prefill, otherwise the last one.
	Tokens []int
	// Hidden is the output of the previous stage.
	Hidden []byte
}

// Probe checks whether the replica of a stage responds on a new connection.
type Probe struct {
	Step  Identity
	Stage Stage
}

// Emit delivers the token at Position to the client. Positions increase by one.
type Emit struct {
	Position int
	Token    Token
}

// Release ends attempt Attempt on its replicas, which may still hold state of it.
type Release struct {
	Attempt int
	Stages  []Stage
}

// Discard reports that a response was discarded.
type Discard struct {
	Reason DiscardReason
	Step   Identity
}

// Finish is the last effect of a request.
type Finish struct{ Outcome Outcome }

func (Route) isEffect()   {}
func (Send) isEffect()    {}
func (Probe) isEffect()   {}
func (Emit) isEffect()    {}
func (Release) isEffect() {}
func (Discard) isEffect() {}
func (Finish) isEffect()  {}

// DiscardReason is why a response was discarded.
type DiscardReason uint8

const (
	// DiscardLate is a response to a step that is no longer open.
	DiscardLate DiscardReason = iota
	// DiscardMismatched is a response whose reported identity differs from that of its
	// step.
	DiscardMismatched
	// DiscardMalformed is a response that lacks the output of its stage or has the output
	// of another one.
	DiscardMalformed
)

// String returns the value used in logs and metrics.
func (r DiscardReason) String() string {
	switch r {
	case DiscardLate:
		return "late"
	case DiscardMismatched:
		return "foreign"
	case DiscardMalformed:
		return "malformed"
	default:
		return "unknown"
	}
}

// Outcome is the final result of a request.
type Outcome struct {
	// Complete is true if every token was emitted.
	Complete bool
	// Execution states whether the request ran. It is Ran for a complete request.
	Execution execution.Status
	// Reason is why the request is incomplete. It is empty for a complete request.
	Reason string
	// Tokens is the number of tokens emitted.
	Tokens int
	// Attempts is the number of attempts that had a path.
	Attempts int
}
