package router

import (
	"context"
	"time"

	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// readCacheOnce asks every engine what its prefix cache stored and evicted since
// the last time.
func (r *Router) readCacheOnce() {
	runParallel(r.engineTasks(r.readCacheOf))
}

func (r *Router) readCacheOf(p *pool, t engine.Target) {
	from, ok := p.nextCacheEvent(t.ID)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	events, err := p.engines.CacheEvents(ctx, t, from)
	if err != nil {
		return
	}
	p.applyCacheEvents(t, events)
}

func (p *pool) nextCacheEvent(id string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if !ok || !u.usable() {
		return 0, false
	}
	return u.nextCacheEvent, true
}

// applyCacheEvents takes events, which may be late and may skip numbers: what the
// table makes of them is a hint.
func (p *pool) applyCacheEvents(t engine.Target, events *wire.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(t)
	if !ok {
		return
	}
	now := time.Now()
	for _, e := range events.Events {
		p.table.CacheEvent(now, t.ID, e.Block, e.Evicted)
	}
	u.nextCacheEvent = max(u.nextCacheEvent, events.Next)
}
