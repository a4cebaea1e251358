package router

import (
	"go.uber.org/zap"

	"masticbank.example/core/capacity"
	"masticbank.example/core/health"
	"masticbank.example/core/route"
	"masticbank.example/node/wire"
)

// setInstances puts the platform's list in force.
func (p *pool) setInstances(list []wire.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	p.applyList()
}

// applyList takes the engines that hold the model in the version in use. The
// caller holds p.mu.
func (p *pool) applyList() {
	engines := p.engineList()
	p.activeVersion = p.chooseVersion(engines)
	p.readOtherVersions(engines)
	listed := map[string]bool{}
	for _, in := range engines {
		if in.Version == p.activeVersion {
			listed[in.ID] = true
			p.upsert(in)
		}
	}
	for id, u := range p.upstreams {
		switch {
		case listed[id]:
		case u.instance.Version != p.activeVersion:
			p.retire(u)
		default:
			p.step(u, health.Unlisted{})
		}
	}
	p.scheduleCapacityUpdate()
}

// engineList returns the engines of the list that hold the model in any version.
func (p *pool) engineList() []wire.Instance {
	var out []wire.Instance
	for _, in := range p.list {
		if in.Role != wire.RoleEngine {
			continue
		}
		if in = p.withReportedState(in); in.Model == p.model {
			out = append(out, in)
		}
	}
	return out
}

// chooseVersion returns the configured version, or the one in use while only that
// has replicas of every layer.
func (p *pool) chooseVersion(engines []wire.Instance) string {
	if p.activeVersion == "" || p.coversAllLayers(engines, p.cfg.Version) || !p.coversAllLayers(engines, p.activeVersion) {
		return p.cfg.Version
	}
	return p.activeVersion
}

// coversAllLayers tells whether the engines of a version hold every layer of the model.
func (p *pool) coversAllLayers(engines []wire.Instance, version string) bool {
	var edges []capacity.Edge
	for _, in := range engines {
		if in.Version == version && !in.Leaving {
			edges = append(edges, capacity.Edge{First: in.FirstLayer, Last: in.LastLayer, Units: 1})
		}
	}
	return capacity.Max(p.cfg.Layers, edges) > 0
}

// retire stops new work to a replica of a version that is out of use, and
// forgets it when its attempts have ended.
func (p *pool) retire(u *upstream) {
	if u.retired {
		return
	}
	// A leaving replica no longer counts in its health group.
	p.step(u, health.Leaving{Source: health.FromList})
	u.retired = true
	p.table.SetWeight(u.instance.ID, 0)
	if u.inFlight == 0 {
		p.remove(u)
	}
}

// upsert takes one entry of the list. A replica that moved to another address
// or range begins anew.
func (p *pool) upsert(in wire.Instance) {
	u, ok := p.upstreams[in.ID]
	if ok && moved(u.instance, in) {
		u.failAttempts()
		p.step(u, health.Leaving{Source: health.FromList})
		p.step(u, health.Unlisted{})
		ok = false
	}
	r := route.Replica{ID: in.ID, First: in.FirstLayer, Last: in.LastLayer, Zone: in.Zone, Accelerator: in.Accelerator}
	if err := p.table.Upsert(r); err != nil {
		p.log.Warn("replica does not fit the model", zap.String("upstream", in.ID), zap.Error(err))
		return
	}
	if !ok {
		u = newUpstream(in, health.NewUpstream(health.DefaultConfig(), p.group(r), p.random.Uint64()))
		p.upstreams[in.ID] = u
		p.table.SetWeight(in.ID, 0)
		p.updateLimit(u)
	}
	u.instance = in
	p.step(u, health.Listed{Leaving: in.Leaving})
}

func moved(old, now wire.Instance) bool {
	return old.Address != now.Address || old.Version != now.Version || old.FirstLayer != now.FirstLayer || old.LastLayer != now.LastLayer
}

// group returns the replicas that stand in for r.
func (p *pool) group(r route.Replica) *health.Group {
	key := route.Range{First: r.First, Last: r.Last}
	g, ok := p.groups[key]
	if !ok {
		g = health.NewGroup(maxEjectedShare)
		p.groups[key] = g
	}
	return g
}
