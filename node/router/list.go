package router

import (
	"go.uber.org/zap"

	"masticbank.example/core/capacity"
	"masticbank.example/core/health"
	"masticbank.example/core/route"
	"masticbank.example/node/wire"
)

// setInstances applies the platform's instance list.
func (p *pool) setInstances(list []wire.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	p.applyList()
}

// applyList updates the replicas of the pool from the list. Only engines that hold the
// active version of the model are used. The caller must hold p.mu.
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

// engineList returns the listed engines that hold any version of the model.
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

// chooseVersion returns the configured version. It keeps the active version as long as
// that one covers all layers and the configured one does not.
func (p *pool) chooseVersion(engines []wire.Instance) string {
	if p.activeVersion == "" || p.coversAllLayers(engines, p.cfg.Version) || !p.coversAllLayers(engines, p.activeVersion) {
		return p.cfg.Version
	}
	return p.activeVersion
}

// coversAllLayers reports whether the engines of a version that are not leaving hold
// every layer of the model.
func (p *pool) coversAllLayers(engines []wire.Instance, version string) bool {
	var edges []capacity.Edge
	for _, in := range engines {
		if in.Version == version && !in.Leaving {
			edges = append(edges, capacity.Edge{First: in.FirstLayer, Last: in.LastLayer, Units: 1})
		}
	}
	return capacity.Max(p.cfg.Layers, edges) > 0
}

// retire stops sending new work to a replica of an inactive version, and removes it
// when its attempts have ended.
func (p *pool) retire(u *upstream) {
	if u.retired {
		return
	}
	// A leaving replica is not counted in its health group.
	p.step(u, health.Leaving{Source: health.FromList})
	u.retired = true
	p.table.SetWeight(u.instance.ID, 0)
	if u.inFlight == 0 {
		p.remove(u)
	}
}

// upsert adds or updates the replica of one list entry. A replica that moved to
// another address, version or layer range is replaced, and its state starts from
// scratch.
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
		p.log.Warn("ignoring replica whose layer range does not fit the model", zap.String("upstream", in.ID), zap.Error(err))
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

// group returns the health group of the replicas that hold the same layer range as r
// and can replace it.
func (p *pool) group(r route.Replica) *health.Group {
	key := route.Range{First: r.First, Last: r.Last}
	g, ok := p.groups[key]
	if !ok {
		g = health.NewGroup(maxEjectedShare)
		p.groups[key] = g
	}
	return g
}
