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

// upstream is one engine replica as its pool knows it. The pool's lock guards
// it.
type upstream struct {
	instance wire.Instance
	health   *health.Upstream
	pace     health.Pace
	// limit learns how many sequences the replica takes.
	limit *limit.Limiter
	// appliedLimit is the limit that the route table and the queue know.
	appliedLimit int
	// nextCacheEvent is the sequence number of the next cache event to read.
	nextCacheEvent uint64
	// missedReports counts the load reports in a row that did not come.
	missedReports int
	// retired is true while only open attempts keep the replica known.
	retired bool
	// inFlight counts the attempts of this instance on the replica.
	inFlight int
	// runningSteps holds the requests whose steps run now, by call number, and lost
	// those whose connection broke and whose verdict is runningSteps.
	runningSteps map[uint64]poison.Fingerprint
	lostSteps    map[uint64]poison.Fingerprint
	// probeWaiters are waited for by steps that made no progress, by call number.
	probeWaiters map[uint64]chan bool
	// attemptCtx ends when the open attempts on the replica are to end.
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

// renewAttemptContext begins a new period in which attempts may run on the replica.
func (u *upstream) renewAttemptContext() {
	u.attemptCtx, u.cancelAttempts = context.WithCancel(context.Background())
}

func (u *upstream) target() engine.Target {
	return engine.Target{ID: u.instance.ID, Address: u.instance.Address}
}

// crashCandidates returns the requests that were running when the replica crashed, and
// forgets those whose connection broke.
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

// usable tells whether the replica gets new work.
func (u *upstream) usable() bool {
	return !u.retired && u.health.Weight() > 0
}

// deliverProbeResult tells the step of one call whether the replica answers.
func (u *upstream) deliverProbeResult(number uint64, alive bool) {
	if ch, ok := u.probeWaiters[number]; ok {
		delete(u.probeWaiters, number)
		ch <- alive
	}
}

// failAttempts ends every open attempt on the replica.
func (u *upstream) failAttempts() {
	for number := range u.probeWaiters {
		u.deliverProbeResult(number, false)
	}
	u.cancelAttempts()
	u.renewAttemptContext()
}

// call is one step under way on a replica.
type call struct {
	number  uint64
	target  engine.Target
	timeout time.Duration
	// attemptCtx ends when the replica's open attempts are to end.
	attemptCtx context.Context
}
