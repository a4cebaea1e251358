package router

import (
	"masticbank.example/core/demand"
	"masticbank.example/node/peer/sharing"
)

// weightUnit is the integer that represents a weight of 1 in demand.Load.
const weightUnit = 1000

var _ sharing.Pools = (*Router)(nil)

// Pools implements sharing.Pools.
func (r *Router) Pools() []sharing.Pool {
	cfg := r.Config()
	if cfg == nil {
		return nil
	}
	shares := make([]float64, 0, len(cfg.Ranks))
	for _, rank := range cfg.Ranks {
		shares = append(shares, rank.MinShare)
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]sharing.Pool, 0, len(r.pools)+len(r.services))
	for name, p := range r.pools {
		out = append(out, sharedPool(KindModel+"/"+name, shares, p.queue))
	}
	for name, s := range r.services {
		out = append(out, sharedPool(KindService+"/"+name, shares, s.queue))
	}
	return out
}

func sharedPool(name string, shares []float64, q *queue) sharing.Pool {
	p := sharing.Pool{Pool: demand.Pool{Name: name, Capacity: q.totalCapacity(), MinShares: shares}}
	for _, l := range q.loads() {
		p.Loads = append(p.Loads, demand.Load{
			Workspace: l.Workspace,
			Rank:      int(l.Rank),
			Queued:    l.Queued,
			InFlight:  l.InFlight,
			Backlog:   int64(l.QueuedCost),
			Weight:    int64(l.Weight * weightUnit),
		})
	}
	return p
}

// SetLimit implements sharing.Pools.
func (r *Router) SetLimit(name string, slots int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for model, p := range r.pools {
		if name == KindModel+"/"+model {
			p.queue.setShare(slots)
		}
	}
	for service, s := range r.services {
		if name == KindService+"/"+service {
			s.queue.setShare(slots)
		}
	}
}

// Demand estimates how many sequences of a model all instances together want to run:
// the requests that are running or queued on this instance, multiplied by the number
// of entry instances.
func (r *Router) Demand(model string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	p, ok := r.pools[model]
	if !ok {
		return 0
	}
	s := p.queue.stats(0)
	return max(1, (s.InFlight+s.Queued)*max(len(r.entryInstances), 1))
}
