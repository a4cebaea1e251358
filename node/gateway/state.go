package gateway

import (
	"context"
	"sync"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
)

// Configure puts a configuration in force. Versions come in order.
func (g *Gateway) Configure(t *routing.Table) {
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
	g.table.Store(t)
}

// SetReplicas replaces the list of usable replicas of each service.
func (g *Gateway) SetReplicas(usable func(service string) []roster.Entry) {
	t := g.table.Load()
	if t == nil {
		return
	}
	for i := range t.Services() {
		s := &t.Services()[i]
		entries := usable(s.Name)
		if s.Model != nil {
			g.model(s).set(entries)
			continue
		}
		g.plain(s.Name).set(entries)
	}
}

// model returns the pool of a model service.
func (g *Gateway) model(s *routing.Service) *modelPool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.models[s.Name]
	if p == nil {
		p = newModelPool(s, g.opts.Control, g.log)
		p.share(g.sharing())
		g.models[s.Name] = p
	}
	return p
}

// plain returns the pool of a plain service.
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

// pruneInterval is how often idle connections are looked at.
const pruneInterval = time.Second

// Run looks at waiting requests and idle connections until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	grants := time.NewTicker(grantInterval)
	defer grants.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { g.crashes.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-grants.C:
			for _, p := range g.modelPools() {
				p.tick()
			}
			g.tellEvidence()
		case <-prune.C:
			g.opts.Client.Prune()
			g.crashes.tidy()
		}
	}
}

// tellEvidence passes on what is new about requests that crash replicas.
func (g *Gateway) tellEvidence() {
	news, recurring := g.crashes.news()
	if !news.Empty() && g.opts.OnEvidence != nil {
		g.opts.OnEvidence(news, recurring)
	}
}

// LearnEvidence takes what other instances know about requests that crash replicas.
func (g *Gateway) LearnEvidence(s poison.State) { g.crashes.learn(s) }

// Evidence returns all that is known about requests that crash replicas.
func (g *Gateway) Evidence() poison.State { return g.crashes.state() }

// EvidenceDigest is equal for two instances that know the same of such requests.
func (g *Gateway) EvidenceDigest() uint64 { return g.crashes.digest() }

// ReplicaEnded takes a process of a replica that ended without being asked to.
// Restarted is true when a later process of it is listed, false when it is listed no
// more.
func (g *Gateway) ReplicaEnded(r poison.Incarnation, restarted bool) {
	sign := signRemoved
	if restarted {
		sign = signRestarted
	}
	g.crashes.ended(r, sign)
}

// Loads returns the work of this instance by service and replica.
func (g *Gateway) Loads() map[string]map[string]pipeline.Load {
	out := map[string]map[string]pipeline.Load{}
	for _, p := range g.modelPools() {
		p.mu.Lock()
		out[p.name] = p.fleet.Own()
		p.mu.Unlock()
	}
	return out
}

// Rejected takes a replica out of use that rejected a request of another instance, for
// the count-th time in a row.
func (g *Gateway) Rejected(replica string, count int) {
	for _, p := range g.modelPools() {
		p.toldRejected(replica, count)
	}
}

// Layers returns the layers that a replica reported lately.
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

// Links returns what this instance sends between zones, in prompt tokens a second.
func (g *Gateway) Links() map[pipeline.Link]float64 {
	out := map[pipeline.Link]float64{}
	for _, p := range g.modelPools() {
		p.mu.Lock()
		for k, rate := range p.fleet.OwnLinks(time.Now()) {
			out[k] += rate
		}
		p.mu.Unlock()
	}
	return out
}

// SetForeign takes the work of all other instances by replica and by link.
func (g *Gateway) SetForeign(of func(replica string) pipeline.Load, link func(pipeline.Link) float64) {
	for _, p := range g.modelPools() {
		p.mu.Lock()
		p.fleet.SetForeign(of, link)
		p.grantWaiting(time.Now())
		p.mu.Unlock()
	}
}

// suspectBlock is how long a replica is out of use that another instance found
// silent.
const suspectBlock = 2 * time.Second

// Suspect takes a replica out of use that another instance found silent.
func (g *Gateway) Suspect(replica string) {
	for _, p := range g.modelPools() {
		p.mu.Lock()
		_, known := p.fleet.Replica(replica)
		p.mu.Unlock()
		if known {
			p.block(replica, suspectBlock, "silent for another instance")
		}
	}
}

// SetRetryBound changes the bound on repeats.
func (g *Gateway) SetRetryBound(b RetryBound) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opts.Retries = b
	now := time.Now()
	for _, budget := range g.budgets {
		budget.Configure(now, g.budgetConfig())
	}
}

// Drain refuses streams that come after the time: they could not end before the
// process does.
func (g *Gateway) Drain(after time.Time) { g.drainAfter.Store(after.UnixNano()) }

// draining tells whether new streams are refused.
func (g *Gateway) draining() bool {
	at := g.drainAfter.Load()
	return at != 0 && time.Now().UnixNano() > at
}
