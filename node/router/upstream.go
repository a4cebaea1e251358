package router

import (
	"context"
	"time"

	"masticbank.example/core/health"
	"masticbank.example/core/limit"
	"masticbank.example/core/poison"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// upstream is the state of one engine replica. It is guarded by the lock of its pool.
type upstream struct {
	instance  wire.Instance
	health    *health.Upstream
	stepTimes health.TimeoutEstimator
	// limit estimates how many sequences the replica can run concurrently.
	limit *limit.Limiter
	// appliedLimit is the limit last passed to the route table.
	appliedLimit int
	// nextCacheEvent is the sequence number of the next cache event to read.
	nextCacheEvent uint64
	// missedReports counts consecutive missing load reports.
	missedReports int
	// retired is true if the replica gets no new work and is kept only until its open
	// attempts have ended.
	retired bool
	// inFlight counts the attempts of this instance that use the replica.
	inFlight int
	// runningSteps holds the requests of the steps in progress, by call number.
	// lostSteps holds those whose connection broke while the result of the probe is
	// pending.
	runningSteps map[uint64]poison.Fingerprint
	lostSteps    map[uint64]poison.Fingerprint
	// probeWaiters holds the result channels of steps that wait for a probe, by call
	// number.
	probeWaiters map[uint64]chan bool
	// attemptCtx is cancelled to end all open attempts on the replica.
	attemptCtx     context.Context
	cancelAttempts context.CancelFunc
}

func newUpstream(in wire.Instance, h *health.Upstream) *upstream {
	u := &upstream{
		instance:     in,
		health:       h,
		limit:        limit.New(),
		runningSteps: map[uint64]poison.Fingerprint{},
		lostSteps:    map[uint64]poison.Fingerprint{},
		probeWaiters: map[uint64]chan bool{},
	}
	u.renewAttemptContext()
	return u
}

// renewAttemptContext creates the context of the next attempts, after the previous one
// was cancelled.
func (u *upstream) renewAttemptContext() {
	u.attemptCtx, u.cancelAttempts = context.WithCancel(context.Background())
}

func (u *upstream) target() engine.Target {
	return engine.Target{ID: u.instance.ID, Address: u.instance.Address}
}

// crashCandidates returns the requests that may have caused a crash of the replica:
// those that were running and those whose connection broke. It clears the latter.
func (u *upstream) crashCandidates() []poison.Fingerprint {
	out := make([]poison.Fingerprint, 0, len(u.runningSteps)+len(u.lostSteps))
	for _, f := range u.lostSteps {
		out = append(out, f)
	}
	for _, f := range u.runningSteps {
		out = append(out, f)
	}
	clear(u.lostSteps)
	return out
}

// usable reports whether the replica gets new work.
func (u *upstream) usable() bool {
	return !u.retired && u.health.Weight() > 0
}

// deliverProbeResult sends the result of the probe to the step that waits for it under
// the given call number.
func (u *upstream) deliverProbeResult(number uint64, alive bool) {
	if ch, ok := u.probeWaiters[number]; ok {
		delete(u.probeWaiters, number)
		ch <- alive
	}
}

// failAttempts cancels all open attempts on the replica.
func (u *upstream) failAttempts() {
	for number := range u.probeWaiters {
		u.deliverProbeResult(number, false)
	}
	u.cancelAttempts()
	u.renewAttemptContext()
}

// call is one step in progress on a replica.
type call struct {
	number  uint64
	target  engine.Target
	timeout time.Duration
	// attemptCtx is cancelled to end all open attempts on the replica.
	attemptCtx context.Context
}
