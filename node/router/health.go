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

// maxEjectedShare is the largest part of the replicas of one layer range that
// is ejected at once.
const maxEjectedShare = 0.5

// probeResultTimeout bounds the wait for a verdict on a silent connection.
const probeResultTimeout = 3 * time.Second

// beginStep prepares a step of prefill tokens, 0 for a decode step, on a replica.
func (p *pool) beginStep(id string, f poison.Fingerprint, prefill int, initial time.Duration) (call, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if !ok {
		return call{}, false
	}
	p.calls++
	u.runningSteps[p.calls] = f
	return call{number: p.calls, target: u.target(), timeout: u.pace.ProgressTimeout(prefill, initial), attemptCtx: u.attemptCtx}, true
}

// lookup returns the replica lookup a target; it is not known any more when the replica
// moved to another address. The caller holds p.mu.
func (p *pool) lookup(t engine.Target) (*upstream, bool) {
	u, ok := p.upstreams[t.ID]
	return u, ok && u.target() == t
}

// recordStep records an answered step of prefill tokens, 0 for a decode step.
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
		p.table.Observe(c.target.ID, computed, 0, d)
		u.pace.ObservePrefill(computed, d)
		u.limit.Observe(now, limit.Prefill, u.inFlight, d/time.Duration(computed))
	} else {
		p.table.Observe(c.target.ID, 0, 1, d)
		u.pace.ObserveDecode(d)
		u.limit.Observe(now, limit.Decode, u.inFlight, d)
	}
	p.updateLimit(u)
	p.step(u, health.Progress{Connection: c.number})
}

// recordRefusal records a step that the replica recordRefusal or that was not sent.
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
		p.step(u, health.Lost{Connection: c.number})
	}
}

// discardStep records a step that discardStep without an answer and without a verdict.
func (p *pool) discardStep(c call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.lookup(c.target); ok {
		delete(u.runningSteps, c.number)
	}
}

// updateLimit puts the learnt limit of a replica in force. The caller holds
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

// markLeaving records a sign that a replica leaves, and tells whether the pool
// knows it.
func (p *pool) markLeaving(id string, source health.Source) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if ok {
		p.step(u, health.Leaving{Source: source})
	}
	return ok
}

// checkAlive reports that a call got no answer, because it made no progress or, if
// broken, because its connection broke. It waits until a probe on a new
// connection has told whether the replica answers.
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

// reportUnanswered feeds the event to the replica's state machine and returns the channel
// of the verdict, or nil when the replica is not known any more.
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
		p.step(u, health.Lost{Connection: c.number})
		return ch
	}
	delete(u.runningSteps, c.number)
	u.pace.Expired()
	p.step(u, health.Silent{Connection: c.number})
	return ch
}

// tick gives every replica whose time has come its event.
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

// step feeds one event to a replica's state machine and carries out its effects.
// The caller holds p.mu.
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

// failAttempts ends the open attempts on a replica that does not answer. When
// connections broke before, it crashed, and what it was running is suspect.
func (p *pool) failAttempts(u *upstream) {
	if len(u.lostSteps) > 0 {
		p.poison.recordCrash(u.instance.ID, u.crashCandidates())
	}
	u.failAttempts()
}

// probe asks a replica on a new connection in the background whether it answers.
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
			p.step(u, health.ProbeAnswered{Probe: e.Number})
			return
		}
		p.step(u, health.ProbeFailed{Probe: e.Number})
	})
}

// remove forgets a replica that is no longer listed. Attempts still open on it
// go on until they end or their connections fail.
func (p *pool) remove(u *upstream) {
	for number := range u.probeWaiters {
		u.deliverProbeResult(number, false)
	}
	p.table.Remove(u.instance.ID)
	p.engines.Forget(u.target())
	delete(p.upstreams, u.instance.ID)
}
