package router

import (
	"context"
	"time"

	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// readCacheOnce reads from every engine which prefix blocks its cache stored or
// evicted since the last call.
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

// applyCacheEvents applies cache events to the route table. Events may be late or
// missing, so the table uses them only as hints.
func (p *pool) applyCacheEvents(t engine.Target, events *wire.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(t)
	if !ok {
		return
	}
	now := time.Now()
	for _, e := range events.Events {
		p.table.ApplyCacheEvent(now, t.ID, e.Block, e.Evicted)
	}
	u.nextCacheEvent = max(u.nextCacheEvent, events.Next)
}
