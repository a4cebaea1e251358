package gateway

import (
	"context"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/waitlist"
)

// acquire waits for a path. It returns nil if none is granted before item.RefuseAt or the
// end of ctx.
func (p *modelPool) acquire(ctx context.Context, item *waitlist.Item, d pipeline.Demand, constraint pipeline.Constraint) *grant {
	w := &waiter{demand: d, constraint: constraint, granted: make(chan *grant, 1)}
	p.mu.Lock()
	p.waiting.Add(item)
	p.waiters[item] = w
	p.grantWaiting(time.Now())
	p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g
	default:
	}
	timer := time.NewTimer(time.Until(item.RefuseAt))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.withdraw(item, w)
}

// withdraw removes a waiter and returns a grant that arrived meanwhile, if any.
func (p *modelPool) withdraw(item *waitlist.Item, w *waiter) *grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.Remove(item)
	delete(p.waiters, item)
	select {
	case g := <-w.granted:
		return g
	default:
		return nil
	}
}

// Waiting returns the number of requests of a model service that wait for a path.
func (g *Gateway) Waiting(service string) int {
	g.mu.Lock()
	p := g.models[service]
	g.mu.Unlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting.Len()
}

// maxSkippedWaiters limits how many waiters are skipped in one pass over the list.
const maxSkippedWaiters = 4

// grantWaiting grants paths to the first waiters. A waiter that gets no path only because
// it avoids the replicas with free capacity is skipped. One whose request is too large for
// the free capacity is not: smaller requests behind it would use up the capacity again and
// again. The lock is held.
//
// A late request that will not be reached before it is refused is refused at once.
func (p *modelPool) grantWaiting(now time.Time) {
	p.waiting.Advance(now)
	p.grantInOrder(now)
	if !p.fleet.Covered(now) {
		return // the pace says nothing about when the missing layers return
	}
	for _, item := range p.waiting.RemoveHopeless(now) {
		p.hopeless++
		p.waiters[item].granted <- nil
		delete(p.waiters, item)
	}
}

func (p *modelPool) grantInOrder(now time.Time) {
	skipped := 0
	for skipped < maxSkippedWaiters {
		item := p.waiting.At(skipped)
		if item == nil {
			return
		}
		w := p.waiters[item]
		w.constraint.Late = item.Late()
		choice, ok := p.fleet.Choose(now, w.demand, w.constraint)
		if !ok {
			if !p.blockedByConstraint(now, w) {
				return
			}
			skipped++
			continue
		}
		p.waiting.Remove(item)
		delete(p.waiters, item)
		p.waiting.Granted()
		w.granted <- p.reserve(choice, w.demand)
	}
}

// blockedByConstraint reports whether a waiter without a path would get one if it avoided no
// replica.
func (p *modelPool) blockedByConstraint(now time.Time, w *waiter) bool {
	if len(w.constraint.Avoid) == 0 {
		return false
	}
	constraint := w.constraint
	constraint.Avoid = nil
	_, ok := p.fleet.Choose(now, w.demand, constraint)
	return ok
}
