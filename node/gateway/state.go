package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
	"masticbank.example/core/retry"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
)

// Configure puts a configuration in force, with the usable replicas of each service. Versions must be
// ascending.
func (g *Gateway) Configure(t *routing.Table, usable func(service string) []roster.Entry) {
	g.mu.Lock()
	for _, s := range t.Services() {
		if s.Model == nil {
			continue
		}
		if p := g.models[s.Name]; p != nil {
			p.setModel(s.Model)
		}
	}
	g.mu.Unlock()
	// A route must not lead to a service before its replicas are known.
	g.setReplicas(t, usable)
	g.routes.Store(t)
}

// RecordListRead records that the list of replicas was read, or that another instance has sent what
// it read, whether or not anything changed.
func (g *Gateway) RecordListRead() { g.listReadAt.Store(time.Now().UnixNano()) }

// listAge returns the time since the list of replicas was last read, for log lines.
func (g *Gateway) listAge() time.Duration {
	at := g.listReadAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// SetReplicas replaces the list of usable replicas of each service.
func (g *Gateway) SetReplicas(usable func(service string) []roster.Entry) {
	if t := g.routes.Load(); t != nil {
		g.setReplicas(t, usable)
	}
}

// setReplicas replaces the list of usable replicas of each service of a configuration, and of the
// services of earlier ones, which requests in progress still use.
func (g *Gateway) setReplicas(t *routing.Table, usable func(service string) []roster.Entry) {
	for i := range t.Services() {
		s := &t.Services()[i]
		if s.Model != nil {
			g.model(s)
		} else {
			g.plain(s.Name)
		}
	}
	g.mu.Lock()
	models, plains := maps.Clone(g.models), maps.Clone(g.plains)
	g.mu.Unlock()
	for name, p := range models {
		p.setReplicas(usable(name))
	}
	for name, p := range plains {
		p.setReplicas(usable(name))
	}
}

// model returns the pool of a model service, which it creates if necessary.
func (g *Gateway) model(s *routing.Service) *modelPool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.models[s.Name]
	if p == nil {
		p = newModelPool(s, g.opts.Control, g.log)
		p.setSharing(g.sharingLocked())
		g.models[s.Name] = p
	}
	return p
}

// plain returns the pool of a plain service, which it creates if necessary.
func (g *Gateway) plain(name string) *plainPool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.plains[name]
	if p == nil {
		p = newPlainPool(g.opts.Zone)
		g.plains[name] = p
	}
	return p
}

func (g *Gateway) modelPools() []*modelPool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*modelPool, 0, len(g.models))
	for _, p := range g.models {
		out = append(out, p)
	}
	return out
}

// pruneInterval is the time between two removals of idle connections and expired crash
// data.
const pruneInterval = time.Second

// Run does the periodic work until ctx ends: it grants paths to waiting requests,
// publishes evidence, and removes idle connections and expired crash data.
func (g *Gateway) Run(ctx context.Context) {
	grants := time.NewTicker(grantInterval)
	defer grants.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { g.crashes.run(ctx) })
	tasks.Go(func() { g.publishEvidence(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-grants.C:
			for _, p := range g.modelPools() {
				p.grantNow()
			}
		case <-prune.C:
			g.opts.Client.Prune()
			g.crashes.expire()
			g.logLoans()
			g.reportRoom(time.Now())
		}
	}
}

// publishInterval is the minimum time between two messages with evidence: each of them reaches all
// other instances.
const publishInterval = 100 * time.Millisecond

// publishEvidence publishes new evidence about requests that crash replicas until ctx ends: crashes at
// once, unless the last message is too recent, and clearances with the next crash or within
// publishInterval.
func (g *Gateway) publishEvidence(ctx context.Context) {
	t := time.NewTimer(publishInterval)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.crashes.recorded:
			t.Reset(max(0, publishInterval-time.Since(last)))
		case <-t.C:
			if g.publishPending() {
				last = time.Now()
			}
			t.Reset(publishInterval)
		}
	}
}

// publishPending publishes the evidence that was not published yet, and reports whether there was any.
func (g *Gateway) publishPending() bool {
	delta, recurring := g.crashes.pending()
	if delta.Empty() || g.opts.OnEvidence == nil {
		return false
	}
	g.opts.Metrics.CountEvidence(evidenceSent)
	g.opts.OnEvidence(delta, recurring)
	return true
}

// MergeEvidence merges another instance's evidence about requests that crash replicas.
func (g *Gateway) MergeEvidence(evidence poison.Evidence) { g.crashes.merge(evidence) }

// Evidence returns all evidence about requests that crash replicas.
func (g *Gateway) Evidence() poison.Evidence { return g.crashes.state() }

// EvidenceDigest returns a hash of the evidence, equal for two instances with the same
// evidence.
func (g *Gateway) EvidenceDigest() uint64 { return g.crashes.digest() }

// ReplicaEnded records that a process of a replica ended without an orderly shutdown.
func (g *Gateway) ReplicaEnded(e roster.EndedProcess) {
	r := poison.Process{Replica: e.ID, StartTime: e.StartTime}
	switch {
	case e.NextStart != 0:
		g.crashes.recordRestart(r, e.NextStart)
	case e.Restarted:
		g.crashes.recordEnd(r, endRestarted)
	default:
		g.crashes.recordEnd(r, endRemoved)
	}
}

// Loads returns the load that this instance causes, by service and replica.
func (g *Gateway) Loads() map[string]map[string]pipeline.Load {
	out := map[string]map[string]pipeline.Load{}
	for _, p := range g.modelPools() {
		p.mu.Lock()
		out[p.name] = p.fleet.OwnLoads()
		p.mu.Unlock()
	}
	return out
}

// ApplyPeerRejection blocks a replica that rejected a request of another instance; count is
// the number of rejections in a row.
func (g *Gateway) ApplyPeerRejection(replica string, count int) {
	for _, p := range g.modelPools() {
		p.recordPeerRejection(replica, count)
	}
}

// Layers returns the layers that a replica recently reported.
func (g *Gateway) Layers(service, replica string) (from, to int, ok bool) {
	g.mu.Lock()
	p := g.models[service]
	g.mu.Unlock()
	if p == nil {
		return 0, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Layers(time.Now(), replica)
}

// Links returns what this instance sends between zones, in prompt tokens per second.
func (g *Gateway) Links() map[pipeline.Link]float64 {
	out := map[pipeline.Link]float64{}
	for _, p := range g.modelPools() {
		p.mu.Lock()
		for k, rate := range p.fleet.OwnLinkRates(time.Now()) {
			out[k] += rate
		}
		p.mu.Unlock()
	}
	return out
}

// SetRemoteLoad sets the total load of all other instances, by replica, and the rate of
// what they send, by link. included is the number of instances whose load it contains.
func (g *Gateway) SetRemoteLoad(loadOf func(replica string) pipeline.Load, rateOf func(pipeline.Link) float64, included int) {
	g.setInformed(included)
	for _, p := range g.modelPools() {
		p.mu.Lock()
		p.fleet.SetRemoteLoad(loadOf, rateOf)
		p.grantWaiting(time.Now())
		p.mu.Unlock()
	}
}

// reportedBlock is how long a replica is blocked that another instance found unresponsive.
const reportedBlock = 2 * time.Second

// ApplyPeerUnresponsive blocks a replica that another instance found unresponsive.
func (g *Gateway) ApplyPeerUnresponsive(replica string) {
	for _, p := range g.modelPools() {
		p.mu.Lock()
		_, known := p.fleet.Replica(replica)
		p.mu.Unlock()
		if known {
			p.block(replica, reportedBlock, "unresponsive for another instance")
			p.markFailed(pipeline.Stage{ID: replica}, reportedBlock)
		}
	}
}

// SetRetryBound changes the limit on retries.
func (g *Gateway) SetRetryBound(b retry.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.SetLimit(b)
	g.configureBudgets()
}
