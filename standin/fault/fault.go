// Package fault names the faults that stand-ins can be told to show.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Path takes a Fault by POST on every stand-in and answers 204.
const Path = "/faults"

// Kind names a fault.
type Kind string

// Faults of engines; Slow, Leaving and Restore also apply to services.
const (
	// Crash closes all connections, refuses new ones and loses all sequences.
	Crash Kind = "crash"
	// CloseMidAnswer writes half of the next Count answers, then closes.
	CloseMidAnswer Kind = "close_mid_answer"
	// ForeignIdentity answers the next Count steps as another request.
	ForeignIdentity Kind = "foreign_identity"
	// AnswerTwice writes the next Count answers twice on their connection.
	AnswerTwice Kind = "answer_twice"
	// DelayedDuplicate writes the next Count answers again after Delay.
	DelayedDuplicate Kind = "delayed_duplicate"
	// HangConnections stops answers on the open connections; new ones work.
	HangConnections Kind = "hang_connections"
	// HangAll stops answers on all connections.
	HangAll Kind = "hang_all"
	// Slow multiplies every processing time by Factor.
	Slow Kind = "slow"
	// Leaving refuses new attempts.
	Leaving Kind = "leaving"
	// Poison crashes the engine on each prompt that contains Text.
	Poison Kind = "poison"
	// Restore ends all faults.
	Restore Kind = "restore"
)

// Faults of services.
const (
	// CloseAfterRecording records the next Count orders and closes the
	// connection without an answer.
	CloseAfterRecording Kind = "close_after_recording"
	// RefuseBeforeRecording refuses the next Count orders; nothing is recorded.
	RefuseBeforeRecording Kind = "refuse_before_recording"
)

// All as Fault.Count applies a fault to every answer until it is restored.
const All = -1

// Fault is one fault to show.
type Fault struct {
	// Instance is the ID of the stand-in; used by the control address of a
	// fleet only.
	Instance string `json:"instance,omitempty"`
	Kind     Kind   `json:"kind"`
	// Count is the number of answers affected; 0 means 1 and All means all.
	Count int `json:"count,omitempty"`
	// Factor is the multiplier of Slow, above 0.
	Factor float64 `json:"factor,omitempty"`
	// Text is the content that Poison looks for.
	Text string `json:"text,omitempty"`
	// DelayMillis is the delay of DelayedDuplicate.
	DelayMillis int `json:"delay_ms,omitempty"`
	// DurationMillis ends all faults of the stand-in after that time; 0 means
	// that they last until Restore.
	DurationMillis int `json:"duration_ms,omitempty"`
}

// ErrUnknown reports a kind of fault that the stand-in does not have.
var ErrUnknown = errors.New("unknown fault")

// Delay returns the delay of a delayed duplicate.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Duration returns how long the fault lasts; 0 means until Restore.
func (f Fault) Duration() time.Duration {
	return time.Duration(f.DurationMillis) * time.Millisecond
}

// Answers returns the number of answers affected, or All.
func (f Fault) Answers() int {
	if f.Count == 0 {
		return 1
	}
	return f.Count
}

// Check reports whether the fields that its kind needs are set.
func (f Fault) Check() error {
	if f.Kind == Slow && f.Factor <= 0 {
		return fmt.Errorf("fault %q: factor must be above 0", f.Kind)
	}
	if f.Kind == Poison && f.Text == "" {
		return fmt.Errorf("fault %q: text must not be empty", f.Kind)
	}
	return nil
}
