// Package order coordinates non-idempotent calls so that each key is sent to its service at
// most once. It performs no I/O. A Table holds the state of each key from the records of
// the orders stream; an Attempt handles one call from its arrival to its result.
//
// Invariants:
//
//  1. The state of a key depends only on its records, in log order: the first valid claim holds
//     the key until an outcome completes it or a release frees it. Time alone never frees a key,
//     so a claimant may pause at any point.
//  2. An attempt sends only after it has read its own claim as the holder, and only within the
//     dispatch window, which starts before the append.
//  3. A claim is valid only if no release of its key lies at or above the offset up to which its
//     claimant had read when the call arrived. So a release invalidates every attempt that began
//     before it, and duplicates of claims have no effect.
//  4. NotRun is returned only if this attempt will never send, and either its own claim held the
//     key or the client asserts that it has not sent the key before. Otherwise an earlier attempt
//     elsewhere may have run or may still run, and the result is Unknown.
//  5. Keys older than the acceptance window are never claimed. The window is shorter than the
//     log's retention, so all records of a key that may be claimed are still retained or were
//     read before.
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
	// Fingerprint is a hash of the request. A key is bound to its first fingerprint.
	Fingerprint string
	// Date is when the client created the key. It must not change when the call is
	// repeated. The zero value means unknown: the client then guarantees not to repeat the
	// key after the acceptance window. A UUIDv7 key contains its date.
	Date time.Time
	// FirstUse is set if the client asserts that it has not sent this key before. Without
	// it a refusal is NotRun only if the log proves it.
	FirstUse bool
	// Deadline is when the client stops waiting. It is required.
	Deadline time.Time
}

func (c Call) key() record.OrderKey {
	return record.OrderKey{Workspace: c.Workspace, Service: c.Service, Key: c.Key}
}

// Response is the response of a service to one call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Execution is NotRun if nothing was written to the service or if the service's
	// protocol indicates that it refused the call.
	Execution execution.Status
}

// Result is the result of a call as returned to the client.
type Result struct {
	// Response is set if Reason is ReasonNone. It may be empty if the execution is Unknown.
	Response  Response
	Execution execution.Status
	// Replayed is set if the response was recorded by an earlier call.
	Replayed bool
	Reason   Reason
}

// Reason is why a Result contains no response.
type Reason string

// Reasons of a Result without a response.
const (
	ReasonNone                 Reason = ""
	ReasonMalformed            Reason = "key_malformed"
	ReasonKeyReused            Reason = "key_reused"
	ReasonKeyExpired           Reason = "key_expired"
	ReasonKeyFuture            Reason = "key_date_in_future"
	ReasonLogUnavailable       Reason = "log_unavailable"
	ReasonOverloaded           Reason = "overloaded"
	ReasonRunning              Reason = "still_running"
	ReasonClaimantGone         Reason = "claimant_gone"
	ReasonDispatchWindowPassed Reason = "dispatch_window_passed"
	ReasonReleased             Reason = "released"
	ReasonResponseTooLarge     Reason = "answer_too_large"
	ReasonClientGone           Reason = "caller_gone"
	ReasonVersion              Reason = "log_record_of_newer_version"
)

// Policy holds the timing of the order protocol.
type Policy struct {
	// AcceptanceWindow is how long after its date a key may be claimed.
	AcceptanceWindow time.Duration
	// Retention is the minimum time for which the log retains a record.
	Retention time.Duration
	// DispatchWindow is how long after the append of a claim its claimant may send the
	// call.
	DispatchWindow time.Duration
	// ClockSkew bounds the difference between the clocks of clients and instances.
	ClockSkew time.Duration
	// Grace is the time after a call's deadline until its claimant is considered failed.
	Grace time.Duration
}

// ErrPolicy means that keys could be claimed after the log has discarded some of their
// records.
var ErrPolicy = errors.New("acceptance window, dispatch window and clock skew must together be shorter than the log's retention")

// Validate checks that the log retains every record of a key that may be claimed.
func (p Policy) Validate() error {
	if p.AcceptanceWindow <= 0 || p.DispatchWindow <= 0 || p.horizon() >= p.Retention {
		return ErrPolicy
	}
	return nil
}

// horizon is how long the state of a key is kept after its last record; by then no instance
// claims the key any more.
func (p Policy) horizon() time.Duration { return p.AcceptanceWindow + p.DispatchWindow + 2*p.ClockSkew }

// Shard returns the shard of a call's key, from 0 to n-1.
func Shard(key record.OrderKey, n int) int {
	h := xxhash.New()
	for _, part := range []string{key.Workspace, key.Service, key.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return int(h.Sum64() % uint64(n))
}
