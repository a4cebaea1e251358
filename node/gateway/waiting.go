package gateway

import (
	"context"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/waitlist"
)

// acquire waits for a path until giveUp or the end of ctx; it returns nil then.
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
	timer := time.NewTimer(time.Until(it.GiveUp))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.withdraw(it, w)
}

// withdraw takes a waiter out; it returns a grant that came meanwhile.
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

// mostPassedOver bounds the waiters that are passed over in one look at the list.
const mostPassedOver = 4

// grantWaiting grants paths to the first waiters. One that avoids the only replicas with
// room does not hold back those behind it; one that is too large for the room does, or
// smaller ones would take the room for ever. The caller holds the lock.
func (p *modelPool) grantWaiting(now time.Time) {
	passed := 0
	for passed < mostPassedOver {
		it := p.waiting.At(passed)
		if it == nil {
			return
		}
		w := p.waiters[it]
		choice, ok := p.fleet.Choose(now, w.demand, w.limit)
		if !ok {
			if !p.heldByAvoidance(now, w) {
				return
			}
			passed++
			continue
		}
		p.waiting.Remove(it)
		delete(p.waiters, it)
		w.granted <- p.reserve(choice, w.demand)
	}
}

// heldByAvoidance tells whether a waiter without a path would have one if it avoided no
// replica.
func (p *modelPool) heldByAvoidance(now time.Time, w *waiter) bool {
	if len(w.limit.Avoid) == 0 {
		return false
	}
	limit := w.limit
	limit.Avoid = nil
	_, ok := p.fleet.Choose(now, w.demand, limit)
	return ok
}
