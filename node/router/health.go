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

// verdictTimeout bounds the wait for a verdict on a silent connection.
const verdictTimeout = 3 * time.Second

// begin prepares a step of prefill tokens, 0 for a decode step, on a replica.
func (p *pool) begin(id string, f poison.Fingerprint, prefill int, initial time.Duration) (call, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if !ok {
		return call{}, false
	}
	p.calls++
	u.open[p.calls] = f
	return call{number: p.calls, target: u.target(), timeout: u.pace.ProgressTimeout(prefill, initial), live: u.live}, true
}

// at returns the replica at a target; it is not known any more when the replica
// moved to another address. The caller holds p.mu.
func (p *pool) at(t engine.Target) (*upstream, bool) {
	u, ok := p.upstreams[t.ID]
	return u, ok && u.target() == t
}

// progressed records an answered step of prefill tokens, 0 for a decode step.
func (p *pool) progressed(c call, prefill, cached int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.at(c.target)
	if !ok {
		return
	}
	delete(u.open, c.number)
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

// refused records a step that the replica refused or that was not sent.
func (p *pool) refused(c call, code string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.at(c.target)
	if !ok {
		return
	}
	delete(u.open, c.number)
	switch code {
	case wire.CodeLeaving:
		p.step(u, health.Leaving{Source: health.FromUpstream})
	case wire.CodeWrongRange:
		p.readHolding(c.target)
	case wire.CodeOverloaded:
		u.limit.Refused(time.Now())
		p.updateLimit(u)
	case engine.CodeConnection:
		p.step(u, health.Lost{Connection: c.number})
	}
}

// ended records a step that ended without an answer and without a verdict.
func (p *pool) ended(c call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.at(c.target); ok {
		delete(u.open, c.number)
	}
}

// updateLimit puts the learnt limit of a replica in force. The caller holds
// p.mu.
func (p *pool) updateLimit(u *upstream) {
	l := u.limit.Limit()
	if l == u.inForce {
		return
	}
	u.inForce = l
	p.table.SetLimit(u.instance.ID, l)
	p.updateCapacity()
}

// leaving records a sign that a replica leaves, and tells whether the pool
// knows it.
func (p *pool) leaving(id string, source health.Source) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if ok {
		p.step(u, health.Leaving{Source: source})
	}
	return ok
}

// suspect reports that a call got no answer, because it made no progress or, if
// broken, because its connection broke. It waits until a probe on a new
// connection has told whether the replica answers.
func (p *pool) suspect(ctx context.Context, c call, broken bool) bool {
	ch := p.accuse(c, broken)
	if ch == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	select {
	case alive := <-ch:
		return alive
	case <-ctx.Done():
		return false
	}
}

// accuse feeds the event to the replica's state machine and returns the channel
// of the verdict, or nil when the replica is not known any more.
func (p *pool) accuse(c call, broken bool) chan bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.at(c.target)
	if !ok {
		return nil
	}
	ch := make(chan bool, 1)
	u.verdicts[c.number] = ch
	if broken {
		u.lost[c.number] = u.open[c.number]
		delete(u.open, c.number)
		p.step(u, health.Lost{Connection: c.number})
		return ch
	}
	delete(u.open, c.number)
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
		p.updateCapacity()
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
	delete(a.upstream.lost, number)
	a.upstream.decide(number, true)
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
	if len(u.lost) > 0 {
		p.poisons.crashed(u.instance.ID, u.suspects())
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
	for number := range u.verdicts {
		u.decide(number, false)
	}
	p.table.Remove(u.instance.ID)
	p.engines.Forget(u.target())
	delete(p.upstreams, u.instance.ID)
}
