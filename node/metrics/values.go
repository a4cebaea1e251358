package metrics

import (
	"sync"
	"sync/atomic"
)

// Counter identifies a value that only increases.
type Counter int

// Counters of an instance.
const (
	// Attempts counts the attempts sent to upstreams.
	Attempts Counter = iota
	// Retries counts the attempts after the first one of each request.
	Retries
	// LateResponses counts the responses discarded because they were late, duplicate or
	// for another attempt.
	LateResponses
	// Ejections counts the ejections of failing upstreams.
	Ejections
	// ReplacedConnections counts the replacements of unresponsive connections.
	ReplacedConnections
	// PoisonRefusals counts the requests refused because they crash upstreams.
	PoisonRefusals
	counterCount
)

var counterNames = [counterCount]string{
	"attempts", "retries", "late_answers", "ejections", "replaced_connections",
	"poison_refusals",
}

// Gauge identifies a value that can increase and decrease.
type Gauge int

// Gauges of an instance.
const (
	// ConfigRevision is the revision of the active configuration.
	ConfigRevision Gauge = iota
	// LogLagMillis is the time in milliseconds since the configuration stream of the
	// log was last read to its end.
	LogLagMillis
	// InFlight is the number of requests in progress.
	InFlight
	// Queued is the number of queued requests.
	Queued
	// Peers is the number of other entry instances that are ready.
	Peers
	// Upstreams is the number of upstreams that get new requests.
	Upstreams
	gaugeCount
)

var gaugeNames = [gaugeCount]string{
	"config_revision", "log_lag_ms", "in_flight", "queued", "peers", "upstreams",
}

const (
	// maxReasons is the maximum number of distinct reasons of refusals.
	maxReasons = 32
	// otherReason is the reason used for refusals beyond that limit.
	otherReason = "other"
)

// values holds the counters, the gauges and the refusals by reason. It is safe for
// concurrent use.
type values struct {
	counters [counterCount]atomic.Uint64
	gauges   [gaugeCount]atomic.Int64

	mu      sync.RWMutex
	reasons map[string]*atomic.Uint64
}

func newValues() values {
	return values{reasons: make(map[string]*atomic.Uint64)}
}

// Add increases a counter by n.
func (r *Registry) Add(c Counter, n uint64) { r.values.counters[c].Add(n) }

// Set sets a gauge.
func (r *Registry) Set(g Gauge, v int64) { r.values.gauges[g].Store(v) }

// Shift changes a gauge by delta.
func (r *Registry) Shift(g Gauge, delta int64) { r.values.gauges[g].Add(delta) }

// CountRefusal counts one refusal. The reason should be one of a few fixed strings,
// such as an error code.
func (r *Registry) CountRefusal(reason string) { r.values.reason(reason).Add(1) }

// reason returns the counter of a reason, or that of otherReason if there are too many.
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
