// Package fault defines the faults that can be injected into stand-ins.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Path is the path on engines, services and the control address that accepts a Fault
// by POST and responds with status 204.
const Path = "/faults"

// Kind identifies a fault.
type Kind string

// Faults of engines; Slow, Leaving and Restore also apply to services.
const (
	// Crash closes all connections, refuses new ones and discards all sequences.
	Crash Kind = "crash"
	// CloseMidResponse closes the connection in the middle of the response body, for
	// the next Count responses.
	CloseMidResponse Kind = "close_mid_answer"
	// WrongRequestID puts the ID of another request into the next Count responses.
	WrongRequestID Kind = "foreign_identity"
	// DuplicateResponse writes each of the next Count responses twice on its connection.
	DuplicateResponse Kind = "answer_twice"
	// DelayedDuplicate writes each of the next Count responses a second time after
	// the delay.
	DelayedDuplicate Kind = "delayed_duplicate"
	// HangConnections stops responses on all open connections; new ones work.
	HangConnections Kind = "hang_connections"
	// HangAll stops responses on all connections, including new ones.
	HangAll Kind = "hang_all"
	// Slow multiplies every processing time by Factor.
	Slow Kind = "slow"
	// Leaving refuses new attempts and calls.
	Leaving Kind = "leaving"
	// Poison crashes the engine on each prompt that contains Text.
	Poison Kind = "poison"
	// Restore ends all faults.
	Restore Kind = "restore"
)

// Faults of services.
const (
	// CloseAfterRecording records the next Count orders and closes the
	// connection without a response.
	CloseAfterRecording Kind = "close_after_recording"
	// RefuseBeforeRecording refuses the next Count orders without recording them.
	RefuseBeforeRecording Kind = "refuse_before_recording"
)

// All is the Count that applies a fault to every response until Restore.
const All = -1

// Fault is a fault to inject.
type Fault struct {
	// Instance is the ID of the stand-in. Only the control address of a fleet
	// uses it.
	Instance string `json:"instance,omitempty"`
	Kind     Kind   `json:"kind"`
	// Count is the number of affected responses; 0 means 1 and All means all.
	Count int `json:"count,omitempty"`
	// Factor is the multiplier of Slow; it must be above 0.
	Factor float64 `json:"factor,omitempty"`
	// Text is the text in a prompt that triggers Poison.
	Text string `json:"text,omitempty"`
	// DelayMillis is the delay of DelayedDuplicate.
	DelayMillis int `json:"delay_ms,omitempty"`
	// DurationMillis is the time after which all faults of the stand-in end; 0
	// means that they last until Restore.
	DurationMillis int `json:"duration_ms,omitempty"`
}

// ErrUnknown means that the stand-in does not support the kind of fault.
var ErrUnknown = errors.New("unknown fault")

// Delay returns the delay before a delayed duplicate.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Duration returns how long the fault lasts; 0 means until Restore.
func (f Fault) Duration() time.Duration {
	return time.Duration(f.DurationMillis) * time.Millisecond
}

// Responses returns the number of affected responses, or All.
func (f Fault) Responses() int {
	if f.Count == 0 {
		return 1
	}
	return f.Count
}

// Validate returns an error if a field that the kind needs is missing or invalid.
func (f Fault) Validate() error {
	if f.Kind == Slow && f.Factor <= 0 {
		return fmt.Errorf("fault %q: factor must be above 0", f.Kind)
	}
	if f.Kind == Poison && f.Text == "" {
		return fmt.Errorf("fault %q: text must not be empty", f.Kind)
	}
	return nil
}
