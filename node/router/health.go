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

// maxEjectedShare is the maximum share of the replicas of one layer range, or of one
// service, that may be ejected at the same time.
const maxEjectedShare = 0.5

// probeResultTimeout bounds the wait for the result of a probe after a step got no
// response.
const probeResultTimeout = 3 * time.Second

// beginStep registers a step on a replica. prefill is its number of prefill tokens, or
// 0 for a decode step.
func (p *pool) beginStep(id string, f poison.Fingerprint, prefill int, initial time.Duration) (call, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if !ok {
		return call{}, false
	}
	p.calls++
	u.runningSteps[p.calls] = f
	return call{number: p.calls, target: u.target(), timeout: u.stepTimes.ProgressTimeout(prefill, initial), attemptCtx: u.attemptCtx}, true
}

// lookup returns the replica at a target. It fails if the replica was removed or has
// moved to another address. The caller must hold p.mu.
func (p *pool) lookup(t engine.Target) (*upstream, bool) {
	u, ok := p.upstreams[t.ID]
	return u, ok && u.target() == t
}

// recordStep records a successful step. prefill is its number of prefill tokens, or 0
// for a decode step.
func (p *pool) recordStep(c call, prefill, cached int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(c.target)
	if !ok {
		return
	}
	delete(u.runningSteps, c.number)
	now := time.Now()
	if prefill > 0 {
		computed := max(prefill-cached, 1)
		p.table.RecordSteps(c.target.ID, computed, 0, d)
		u.stepTimes.ObservePrefill(computed, d)
		u.limit.Observe(now, limit.Prefill, u.inFlight, d/time.Duration(computed))
	} else {
		p.table.RecordSteps(c.target.ID, 0, 1, d)
		u.stepTimes.ObserveDecode(d)
		u.limit.Observe(now, limit.Decode, u.inFlight, d)
	}
	p.updateLimit(u)
	p.step(u, health.Progress{Connection: c.number})
}

// recordRefusal records a step that the replica refused or that was not sent.
func (p *pool) recordRefusal(c call, code string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(c.target)
	if !ok {
		return
	}
	delete(u.runningSteps, c.number)
	switch code {
	case wire.CodeLeaving:
		p.step(u, health.Leaving{Source: health.FromUpstream})
	case wire.CodeWrongRange:
		p.readState(c.target)
	case wire.CodeOverloaded:
		u.limit.Refused(time.Now())
		p.updateLimit(u)
	case engine.CodeConnection:
		p.step(u, health.ConnectionFailed{Connection: c.number})
	}
}

// recordInvalidResponse records a step whose response had an invalid head, and probes the replica. The
// replica responded, so this is no evidence of a crash.
func (p *pool) recordInvalidResponse(c call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.lookup(c.target); ok {
		delete(u.runningSteps, c.number)
		p.step(u, health.ConnectionFailed{Connection: c.number})
	}
}

// discardStep removes a step that ended without a response and needs no probe.
func (p *pool) discardStep(c call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.lookup(c.target); ok {
		delete(u.runningSteps, c.number)
	}
}

// updateLimit applies a changed concurrency limit of a replica. The caller must hold
// p.mu.
func (p *pool) updateLimit(u *upstream) {
	l := u.limit.Limit()
	if l == u.appliedLimit {
		return
	}
	u.appliedLimit = l
	p.table.SetLimit(u.instance.ID, l)
	p.scheduleCapacityUpdate()
}

// markLeaving records that a replica is leaving, and reports whether the pool has the
// replica.
func (p *pool) markLeaving(id string, source health.Source) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if ok {
		p.step(u, health.Leaving{Source: source})
	}
	return ok
}

// checkAlive reports whether the replica of a call without a response is alive. broken
// is true if the connection broke, and false if the step timed out. It waits for the
// result of a probe on a new connection.
func (p *pool) checkAlive(ctx context.Context, c call, broken bool) bool {
	ch := p.reportUnanswered(c, broken)
	if ch == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeResultTimeout)
	defer cancel()
	select {
	case alive := <-ch:
		return alive
	case <-ctx.Done():
		return false
	}
}

// reportUnanswered passes the event to the health state machine of the replica. It
// returns the channel that receives the result of the probe, or nil if the replica is
// no longer known.
func (p *pool) reportUnanswered(c call, broken bool) chan bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(c.target)
	if !ok {
		return nil
	}
	ch := make(chan bool, 1)
	u.probeWaiters[c.number] = ch
	if broken {
		u.lostSteps[c.number] = u.runningSteps[c.number]
		delete(u.runningSteps, c.number)
		p.step(u, health.ConnectionFailed{Connection: c.number})
		return ch
	}
	delete(u.runningSteps, c.number)
	u.stepTimes.RecordTimeout()
	p.step(u, health.Unresponsive{Connection: c.number})
	return ch
}

// tick delivers a health.Tick to every replica whose timer has expired, and applies a
// changed capacity.
func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if at, ok := u.health.Deadline(); ok && !now.Before(at) {
			p.step(u, health.Tick{})
		}
	}
	p.applyCapacity()
}

// step passes an event to the health state machine of a replica and performs the
// resulting effects. The caller must hold p.mu.
func (p *pool) step(u *upstream, e health.Event) {
	if p.reporter.step(u.instance.ID, u.health, e, &engineActions{pool: p, upstream: u}) {
		p.scheduleCapacityUpdate()
	}
}

// engineActions implements actions for an engine replica.
type engineActions struct {
	pool     *pool
	upstream *upstream
}

func (a *engineActions) probe(e health.Probe) { a.pool.probe(a.upstream, e) }

func (a *engineActions) replaceConnection(number uint64) {
	a.pool.engines.ReplaceConnections(a.upstream.target())
	delete(a.upstream.lostSteps, number)
	a.upstream.deliverProbeResult(number, true)
}

func (a *engineActions) setWeight(weight float64) {
	if !a.upstream.retired {
		a.pool.table.SetWeight(a.upstream.instance.ID, weight)
	}
}

func (a *engineActions) failAttempts() { a.pool.failAttempts(a.upstream) }

func (a *engineActions) remove() { a.pool.remove(a.upstream) }

// failAttempts cancels the open attempts on an unresponsive replica. If connections to
// it broke before, it is assumed to have crashed, and the requests that it was running
// are recorded as possible causes.
func (p *pool) failAttempts(u *upstream) {
	if len(u.lostSteps) > 0 {
		p.poison.recordCrash(u.instance.ID, u.crashCandidates())
	}
	u.failAttempts()
}

// probe checks in the background, on a new connection, whether a replica responds. A
// refusal in the engine's protocol counts as a response.
func (p *pool) probe(u *upstream, e health.Probe) {
	t := u.target()
	p.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
		defer cancel()
		err := p.engines.Probe(ctx, t)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.upstreams[t.ID] != u {
			return
		}
		if err == nil || refused(err) {
			p.step(u, health.ProbeSucceeded{Probe: e.Number})
			return
		}
		p.step(u, health.ProbeFailed{Probe: e.Number})
	})
}

// remove deletes a replica that is no longer listed. Attempts that are open on it
// continue until they end or their connections fail.
func (p *pool) remove(u *upstream) {
	for number := range u.probeWaiters {
		u.deliverProbeResult(number, false)
	}
	p.table.Remove(u.instance.ID)
	p.engines.Release(u.target())
	delete(p.upstreams, u.instance.ID)
}
