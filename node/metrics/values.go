package metrics

import (
	"sync"
	"sync/atomic"
)

// Counter names a count that only rises.
type Counter int

// Counters of an instance.
const (
	// Attempts counts the attempts started on upstreams.
	Attempts Counter = iota
	// Retries counts the attempts after a request's first.
	Retries
	// LateAnswers counts the answers dropped because they came late, twice or
	// for another attempt.
	LateAnswers
	// Ejections counts the upstreams taken out of use.
	Ejections
	// ReplacedConnections counts the silent connections that were replaced.
	ReplacedConnections
	// PoisonRefusals counts the requests refused as poison.
	PoisonRefusals
	counterCount
)

var counterNames = [counterCount]string{
	"attempts", "retries", "late_answers", "ejections", "replaced_connections",
	"poison_refusals",
}

// Gauge names a value that rises and falls.
type Gauge int

// Gauges of an instance.
const (
	// ConfigRevision is the configuration revision in force.
	ConfigRevision Gauge = iota
	// LogLagMillis is the time since the log was read up to its end.
	LogLagMillis
	// InFlight is the number of requests in progress.
	InFlight
	// Queued is the number of requests that wait.
	Queued
	// Peers is the number of connected peers.
	Peers
	// Upstreams is the number of upstreams in use.
	Upstreams
	gaugeCount
)

var gaugeNames = [gaugeCount]string{
	"config_revision", "log_lag_ms", "in_flight", "queued", "peers", "upstreams",
}

const (
	// maxReasons bounds the distinct reasons of refusals.
	maxReasons = 32
	// otherReason counts the refusals over that bound.
	otherReason = "other"
)

// values holds the counters and gauges. Safe for concurrent use.
type values struct {
	counters [counterCount]atomic.Uint64
	gauges   [gaugeCount]atomic.Int64

	mu      sync.RWMutex
	reasons map[string]*atomic.Uint64
}

func newValues() values {
	return values{reasons: make(map[string]*atomic.Uint64)}
}

// Add raises a counter by n.
func (r *Registry) Add(c Counter, n uint64) { r.values.counters[c].Add(n) }

// Set sets a gauge.
func (r *Registry) Set(g Gauge, v int64) { r.values.gauges[g].Store(v) }

// Shift changes a gauge by delta.
func (r *Registry) Shift(g Gauge, delta int64) { r.values.gauges[g].Add(delta) }

// Refuse counts one refusal with a reason, a short fixed word.
func (r *Registry) Refuse(reason string) { r.values.reason(reason).Add(1) }

func (v *values) reason(name string) *atomic.Uint64 {
	v.mu.RLock()
	n := v.reasons[name]
	v.mu.RUnlock()
	if n != nil {
		return n
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.reasons) >= maxReasons-1 && v.reasons[name] == nil {
		name = otherReason
	}
	if v.reasons[name] == nil {
		v.reasons[name] = new(atomic.Uint64)
	}
	return v.reasons[name]
}

func (v *values) reasonCounts() map[string]uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make(map[string]uint64, len(v.reasons))
	for name, n := range v.reasons {
		out[name] = n.Load()
	}
	return out
}
