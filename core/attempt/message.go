package attempt

import "masticbank.example/core/execution"

// Identity names one step of a request: which attempt, which stage of its
// route and which token position.
type Identity struct {
	RequestID string
	Attempt   int
	Stage     int
	Position  int
}

// Hop is one stage of a route: a replica and its layers, both inclusive.
type Hop struct {
	ReplicaID  string
	FirstLayer int
	LastLayer  int
}

// Token is one generated token. Finish is empty until the last one.
type Token struct {
	ID     int
	Text   string
	Finish string
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Routed starts the next attempt on a route.
type Routed struct{ Hops []Hop }

// Unroutable ends the request because no route can be had.
type Unroutable struct{ Reason string }

// Answered carries an upstream's answer to the step Asked. Reported is the
// identity that the upstream stated; its Stage is not compared.
type Answered struct {
	Asked    Identity
	Reported Identity
	Hidden   []byte
	Token    *Token
}

// Refused tells that an upstream proved not to have executed the step Asked:
// nothing was written to it, or it refused in its protocol.
type Refused struct {
	Asked  Identity
	Reason string
}

// Failed tells that the step Asked ended without a usable answer, so that it
// may or may not have been executed.
type Failed struct {
	Asked  Identity
	Reason string
}

// Silent tells that the step Asked made no progress within its timeout.
type Silent struct{ Asked Identity }

// Probed answers an effect Probe.
type Probed struct {
	Asked Identity
	Alive bool
}

// Cancelled ends the request because the caller left.
type Cancelled struct{}

// Expired ends the request because its deadline passed.
type Expired struct{}

func (Routed) isEvent()     {}
func (Unroutable) isEvent() {}
func (Answered) isEvent()   {}
func (Refused) isEvent()    {}
func (Failed) isEvent()     {}
func (Silent) isEvent()     {}
func (Probed) isEvent()     {}
func (Cancelled) isEvent()  {}
func (Expired) isEvent()    {}

// Effect is an output of Machine.Step, to be carried out in order.
type Effect interface{ isEffect() }

// Route asks for a route for attempt number Attempt that avoids the replicas
// in Exclude. Retry is false for the first attempt and when the last one was
// refused before anything ran.
type Route struct {
	Attempt int
	Exclude []string
	Retry   bool
}

// Send asks to run one step on the replica of Hop.
type Send struct {
	Step Identity
	Hop  Hop
	// Prefill is true for the first position of an attempt.
	Prefill bool
	// Resend is true when the step was sent before on another connection.
	Resend bool
	// Tokens are the generated tokens that the first stage needs: all of them
	// at prefill, later the last one.
	Tokens []int
	// Hidden is the previous stage's output.
	Hidden []byte
}

// Probe asks whether the replica of Hop answers on a new connection.
type Probe struct {
	Step Identity
	Hop  Hop
}

// Emit hands the token at Position to the caller. Positions rise by one.
type Emit struct {
	Position int
	Token    Token
}

// Release ends attempt Attempt on its replicas, which may still hold its state.
type Release struct {
	Attempt int
	Hops    []Hop
}

// Drop reports an answer that was not used.
type Drop struct {
	Kind  DropKind
	Asked Identity
}

// Finish is the last effect of a request.
type Finish struct{ Outcome Outcome }

func (Route) isEffect()   {}
func (Send) isEffect()    {}
func (Probe) isEffect()   {}
func (Emit) isEffect()    {}
func (Release) isEffect() {}
func (Drop) isEffect()    {}
func (Finish) isEffect()  {}

// DropKind tells why an answer was not used.
type DropKind uint8

const (
	// DropLate is an answer to a step that is no longer open.
	DropLate DropKind = iota
	// DropForeign is an answer that states another identity than was asked.
	DropForeign
	// DropMalformed is an answer that lacks the output of its stage.
	DropMalformed
)

// String returns the name used in logs and metrics.
func (k DropKind) String() string {
	switch k {
	case DropLate:
		return "late"
	case DropForeign:
		return "foreign"
	case DropMalformed:
		return "malformed"
	default:
		return "unknown"
	}
}

// Outcome is the final result of a request.
type Outcome struct {
	// Complete is true when every token was emitted.
	Complete bool
	// Execution is Ran for a complete request.
	Execution execution.Status
	// Reason is empty for a complete request.
	Reason string
	// Tokens is the number of tokens emitted.
	Tokens int
	// Attempts is the number of attempts that were routed.
	Attempts int
}
