package router

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/route"
)

// topWorkspaces bounds the workspaces listed for each pool.
const topWorkspaces = 10

// Kinds of pools.
const (
	KindModel   = "model"
	KindService = "service"
)

// PoolStatus describes one pool.
type PoolStatus struct {
	Name      string
	Kind      string
	Queue     admission.Stats
	Upstreams []UpstreamStatus
}

// UpstreamStatus describes one upstream of a pool.
type UpstreamStatus struct {
	ID      string
	Address string
	Zone    string
	// Layers is the layer range, or empty for services.
	Layers  string
	Leaving bool
	// Ejected is true while the upstream gets no work because it is unresponsive. It is
	// set only for engines.
	Ejected  bool
	Slots    int
	InFlight int
	// Weight is the upstream's share of new work, from 0 to 1.
	Weight float64
}

// Status returns the status of every pool, sorted by kind and name.
func (r *Router) Status() []PoolStatus {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []PoolStatus
	for _, p := range r.pools {
		out = append(out, p.status())
	}
	for _, s := range r.services {
		out = append(out, s.status())
	}
	slices.SortFunc(out, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (p *pool) status() PoolStatus {
	s := PoolStatus{Name: p.model, Kind: KindModel, Queue: p.queue.stats(topWorkspaces)}
	p.mu.Lock()
	defer p.mu.Unlock()
	views := map[string]route.ReplicaView{}
	for _, v := range p.table.Explain(time.Now(), route.Request{PromptTokens: 1, OutputTokens: 1}, 0).Replicas {
		views[v.ID] = v
	}
	for id, u := range p.upstreams {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{
			ID:       id,
			Address:  u.instance.Address,
			Zone:     u.instance.Zone,
			Layers:   fmt.Sprintf("%d-%d", u.instance.FirstLayer, u.instance.LastLayer),
			Leaving:  u.health.Leaving(),
			Ejected:  u.health.Weight() == 0 && !u.health.Leaving(),
			Slots:    u.limit.Limit(),
			InFlight: views[id].InFlight,
			Weight:   views[id].Weight,
		})
	}
	sortUpstreams(s.Upstreams)
	return s
}

func (s *servicePool) status() PoolStatus {
	out := PoolStatus{Name: s.name, Kind: KindService, Queue: s.queue.stats(topWorkspaces)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, rep := range s.replicas {
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID:       id,
			Address:  rep.instance.Address,
			Zone:     rep.instance.Zone,
			Leaving:  rep.health.Leaving(),
			Slots:    serviceSlots,
			InFlight: rep.inFlight,
			Weight:   rep.health.Weight(),
		})
	}
	sortUpstreams(out.Upstreams)
	return out
}

func sortUpstreams(list []UpstreamStatus) {
	slices.SortFunc(list, func(a, b UpstreamStatus) int { return cmp.Compare(a.ID, b.ID) })
}
