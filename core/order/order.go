// Package order decides on non-idempotent calls, so that each key is sent to its
// service at most once. It performs no I/O. A Table holds what the orders stream
// says of each key; an Attempt takes one call from its arrival to its result.
//
// Invariants:
//
//  1. The state of a key depends only on its records, in log order: the first
//     valid claim holds it until an outcome ends it or a release frees it. Time
//     never frees a key, so a claimant may pause anywhere.
//  2. An attempt sends only after it has read its own claim as the holder, and
//     only within the dispatch window, counted from before the append.
//  3. A claim is valid only if no release of its key lies at or above the offset
//     that its claimant had read when the call arrived. So a release ends every
//     attempt that began before it, and copies of claims come to nothing.
//  4. NotRun is answered only if this attempt will never send, and either its own
//     claim held the key or the caller vouches that it has not sent the key
//     before. Otherwise an earlier attempt elsewhere may have run or may still
//     run, and the answer is Unknown.
//  5. Keys older than the acceptance window are never claimed. The window is
//     shorter than the log's retention, so all records of a key that may be
//     claimed are still kept, or have been read.
package order

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticbank.example/core/execution"
	"masticbank.example/core/record"
)

// Call is one non-idempotent call.
type Call struct {
	Workspace string
	Service   string
	Key       string
	// Fingerprint is a hash of the request; a key is bound to the first one.
	Fingerprint string
	// Date is when the caller made the key, which must not change when the call
	// is repeated. The zero value means unknown: the caller then promises not to
	// repeat the key after the acceptance window. A UUIDv7 key carries its date.
	Date time.Time
	// First is set if the caller vouches that it has not sent this key before.
	// Without it a refusal is answered NotRun only where the log proves it.
	First bool
	// Deadline is when the caller gives up. It is required.
	Deadline time.Time
}

func (c Call) key() record.OrderKey {
	return record.OrderKey{Workspace: c.Workspace, Service: c.Service, Key: c.Key}
}

// Answer is the answer of a service to one call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Execution is NotRun if nothing was written to the service or if it refused
	// the call in its protocol.
	Execution execution.Status
}

// Result is what the caller is told.
type Result struct {
	// Answer is set if Reason is ReasonNone; an Unknown execution may have none.
	Answer    Answer
	Execution execution.Status
	// Replayed is set if Answer was recorded by an earlier call.
	Replayed bool
	Reason   Reason
}

// Reason tells why a Result holds no answer.
type Reason string

// Reasons of a Result without an answer.
const (
	ReasonNone           Reason = ""
	ReasonMalformed      Reason = "key_malformed"
	ReasonKeyReused      Reason = "key_reused"
	ReasonKeyExpired     Reason = "key_expired"
	ReasonKeyFuture      Reason = "key_date_in_future"
	ReasonLogUnavailable Reason = "log_unavailable"
	ReasonOverloaded     Reason = "overloaded"
	ReasonRunning        Reason = "still_running"
	ReasonClaimantGone   Reason = "claimant_gone"
	ReasonTooLate        Reason = "dispatch_window_passed"
	ReasonReleased       Reason = "released"
	ReasonAnswerTooLarge Reason = "answer_too_large"
	ReasonCallerGone     Reason = "caller_gone"
	ReasonVersion        Reason = "log_record_of_newer_version"
)

// Policy holds the times of the order protocol.
type Policy struct {
	// Window is how long after its date a key may be claimed.
	Window time.Duration
	// Retention is how long the log keeps a record at least.
	Retention time.Duration
	// Dispatch is how long after a claim's append its claimant may send.
	Dispatch time.Duration
	// Skew bounds the differences between the clocks of callers and instances.
	Skew time.Duration
	// Grace is added to a claim's deadline before its claimant counts as gone.
	Grace time.Duration
}

// ErrPolicy means that keys could outlive what the log keeps.
var ErrPolicy = errors.New("acceptance window, dispatch window and clock skew must together be shorter than the log's retention")

// Validate checks that the log keeps every record of a key that may be claimed.
func (p Policy) Validate() error {
	if p.Window <= 0 || p.Dispatch <= 0 || p.horizon() >= p.Retention {
		return ErrPolicy
	}
	return nil
}

// horizon is how long a key is remembered after its last record; by then no
// instance claims it any more.
func (p Policy) horizon() time.Duration { return p.Window + p.Dispatch + 2*p.Skew }

// Shard returns the shard, from 0 to n-1, of a call's key.
func Shard(key record.OrderKey, n int) int {
	h := xxhash.New()
	for _, part := range []string{key.Workspace, key.Service, key.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return int(h.Sum64() % uint64(n))
}
