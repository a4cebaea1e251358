package gateway

import (
	"context"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/waitlist"
)

// acquire waits for a path until it.GiveUp or the end of ctx, and then returns nil.
func (p *modelPool) acquire(ctx context.Context, it *waitlist.Item, d pipeline.Demand, limit pipeline.Constraint) *grant {
	w := &waiter{demand: d, limit: limit, granted: make(chan *grant, 1)}
	p.mu.Lock()
	p.waiting.Add(it)
	p.waiters[it] = w
	p.grantWaiting(time.Now())
	p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g
	default:
	}
	timer := time.NewTimer(time.Until(it.RefuseAt))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.withdraw(it, w)
}

// withdraw removes a waiter and returns a grant that arrived meanwhile, if any.
func (p *modelPool) withdraw(it *waitlist.Item, w *waiter) *grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.Remove(it)
	delete(p.waiters, it)
	select {
	case g := <-w.granted:
		return g
	default:
		return nil
	}
}

// maxSkippedWaiters limits how many waiters are skipped in one pass over the list.
const maxSkippedWaiters = 4

// grantWaiting grants paths to the first waiters. A waiter that gets no path only because
// it avoids the replicas with free capacity is skipped. One whose request is too large for
// the free capacity is not: smaller requests behind it would use up the capacity again and
// again. The lock is held.
func (p *modelPool) grantWaiting(now time.Time) {
	skipped := 0
	for skipped < maxSkippedWaiters {
		it := p.waiting.At(skipped)
		if it == nil {
			return
		}
		w := p.waiters[it]
		choice, ok := p.fleet.Choose(now, w.demand, w.limit)
		if !ok {
			if !p.blockedByConstraint(now, w) {
				return
			}
			skipped++
			continue
		}
		p.waiting.Remove(it)
		delete(p.waiters, it)
		w.granted <- p.reserve(choice, w.demand)
	}
}

// blockedByConstraint reports whether a waiter without a path would get one if it avoided no
// replica.
func (p *modelPool) blockedByConstraint(now time.Time, w *waiter) bool {
	if len(w.limit.Avoid) == 0 {
		return false
	}
	limit := w.limit
	limit.Avoid = nil
	_, ok := p.fleet.Choose(now, w.demand, limit)
	return ok
}
