// Package router carries callers' requests to upstreams: it connects the
// decisions of core with the clients of engines and services.
package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/admission"
	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/core/health"
	"masticbank.example/core/route"
	"masticbank.example/node/engine"
	"masticbank.example/node/service"
	"masticbank.example/node/wire"
)

const (
	// tickPeriod is the time between two checks of the queues' deadlines.
	tickPeriod = 50 * time.Millisecond
	// loadPeriod is the time between two load reports of one upstream.
	loadPeriod = 250 * time.Millisecond
	// cachePeriod is the time between two readings of an engine's cache events.
	cachePeriod = time.Second
	// loadTimeout bounds the reading of one load report.
	loadTimeout = time.Second
	// maxParallelReads bounds the load reports read at once.
	maxParallelReads = 16
	// poisonRetention is the time for which evidence on crashes is kept until a
	// configuration is in force.
	poisonRetention = 10 * time.Minute
	poisonMessage   = "requests like this one crashed several upstreams"
	// retryAfterFailure is the hint given when upstreams failed.
	retryAfterFailure = 2 * time.Second
	// retryAfterReplaced is the hint given when a new configuration replaced the
	// pool in which a request waited.
	retryAfterReplaced = time.Second
)

// Metrics takes measurements. Implementations are safe for concurrent use.
type Metrics interface {
	// Dropped counts an answer that was not used.
	Dropped(k attempt.DropKind)
	// TokenGap records the time between two tokens of one answer.
	TokenGap(workspace string, rank config.Rank, d time.Duration)
	// Finished records the result of a request.
	Finished(r *Result)
	// ConnectionReplaced counts a silent connection to an upstream.
	ConnectionReplaced(upstream string)
	// Ejected counts an upstream that was taken out of use.
	Ejected(upstream string)
	// Leaving tells that an upstream said that it leaves. It must not block.
	Leaving(upstream string)
}

// Options configures a Router.
type Options struct {
	// ID is the ID of this instance.
	ID       string
	Engines  engine.Client
	Services *service.Client
	// Orders makes calls with an idempotency key at most once on all instances
	// together; nil refuses them.
	Orders  Orders
	Metrics Metrics
	Logger  *zap.Logger
	// RoutePolicy and FIFO select baselines for measurement.
	RoutePolicy route.Policy
	FIFO        bool
	// Wake is called when a request has to wait for a slot; nil means nothing.
	// It must not block.
	Wake func()
	// Seed makes the choices among near-equal routes differ between instances.
	Seed uint64
}

// Router serves requests under the configuration in force. It is safe for
// concurrent use.
type Router struct {
	opts    Options
	metrics Metrics
	history *history
	poison  *poisonTracker
	cfg     atomic.Pointer[config.Config]

	mu        sync.RWMutex
	pools     map[string]*pool
	services  map[string]*servicePool
	instances []wire.Instance
	// entryInstances are the live entry instances, this one included.
	entryInstances []string

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// New returns a router without configuration; Configure and SetInstances make
// it serve. Close ends it.
func New(o Options) *Router {
	r := newRouter(o)
	r.background(func() { r.runEvery(tickPeriod, r.tickOnce) })
	r.background(func() { r.runEvery(loadPeriod, r.readLoadOnce) })
	r.background(func() { r.runEvery(cachePeriod, r.readCacheOnce) })
	return r
}

// newRouter returns a router without its periodic work.
func newRouter(o Options) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	return &Router{
		opts:           o,
		metrics:        o.Metrics,
		history:        newHistory(),
		poison:         newPoisonTracker(poisonRetention),
		entryInstances: []string{o.ID},
		pools:          map[string]*pool{},
		services:       map[string]*servicePool{},
		ctx:            ctx,
		cancel:         cancel,
	}
}

// Config returns the configuration in force, or nil.
func (r *Router) Config() *config.Config {
	return r.cfg.Load()
}

// Configure puts a validated configuration in force.
func (r *Router) Configure(c *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Store(c)
	r.poison.configure(c.Limits.PoisonTTL)
	policy := admission.FromConfig(c)
	r.configurePools(c, policy)
	r.configureServices(c, policy)
}

func (r *Router) configurePools(c *config.Config, policy admission.Config) {
	for name, m := range c.Models {
		p, ok := r.pools[name]
		if ok && p.cfg.Layers == m.Layers {
			p.configure(m, c.Limits.RetryRatio, policy, r.instances)
			continue
		}
		if ok {
			p.queue.close()
		}
		p = newPool(name, m, r.opts.RoutePolicy, r.admitter(policy), poolOptions{
			reporter:   r.reporter(),
			engines:    r.opts.Engines,
			background: r.background,
			poison:     r.poison,
			onWait:     r.onWait,
			seed:       r.opts.Seed,
		})
		p.setEntryInstances(r.opts.ID, r.entryInstances)
		p.configure(m, c.Limits.RetryRatio, policy, r.instances)
		r.pools[name] = p
	}
	for name, p := range r.pools {
		if _, ok := c.Models[name]; !ok {
			p.queue.close()
			delete(r.pools, name)
		}
	}
}

func (r *Router) configureServices(c *config.Config, policy admission.Config) {
	for name, s := range c.Services {
		sp, ok := r.services[name]
		if !ok {
			sp = newServicePool(name, s, r.admitter(policy), serviceOptions{
				reporter:   r.reporter(),
				client:     r.opts.Services,
				poison:     r.poison,
				background: r.background,
				onWait:     r.onWait,
				seed:       r.opts.Seed,
			})
			sp.setInstances(r.instances)
			r.services[name] = sp
		}
		sp.configure(s, policy)
	}
	for name, s := range r.services {
		if _, ok := c.Services[name]; !ok {
			s.queue.close()
			delete(r.services, name)
		}
	}
}

func (r *Router) admitter(policy admission.Config) admission.Admitter {
	if r.opts.FIFO {
		return admission.NewFIFO(policy.MaxQueued)
	}
	return admission.New(policy)
}

// SetInstances puts the platform's list of instances in force.
func (r *Router) SetInstances(list []wire.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = list
	for _, p := range r.pools {
		p.setInstances(list)
	}
	for _, s := range r.services {
		s.setInstances(list)
	}
}

// SetEntries names the live entry instances, this one included.
func (r *Router) SetEntries(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryInstances = ids
	for _, p := range r.pools {
		p.setEntryInstances(r.opts.ID, ids)
	}
}

// MarkLeaving stops new work to an upstream on the word of a peer or operator,
// and tells whether a pool knows it.
func (r *Router) MarkLeaving(upstream string) bool {
	known := false
	for _, p := range r.allPools() {
		known = p.markLeaving(upstream, health.FromPeer) || known
	}
	for _, s := range r.allServices() {
		known = s.markLeaving(upstream, health.FromPeer) || known
	}
	return known
}

// Generate serves one completion request. Tokens go to sink as they come. The
// context ends when the caller leaves.
func (r *Router) Generate(ctx context.Context, req *Request, sink Sink) Result {
	p := r.pool(req.Model)
	if p == nil {
		return Result{RequestID: req.ID, Workspace: req.Workspace, Rank: req.Rank, Code: CodeUnknownModel, Message: "unknown model " + req.Model}
	}
	f := fingerprintOf(req)
	if r.poison.blocked(f) {
		res := Result{RequestID: req.ID, Workspace: req.Workspace, Rank: req.Rank, Model: req.Model, Code: CodePoison, Message: poisonMessage}
		r.recordResult(res)
		return res
	}
	x := &requestRun{
		router:      r,
		pool:        p,
		req:         req,
		fingerprint: f,
		sink:        sink,
		machine: attempt.New(attempt.Config{
			RequestID:   req.ID,
			MaxFailures: maxFailures,
			MaxRefusals: maxRefusals,
			MaxTokens:   req.MaxTokens,
		}),
	}
	result := x.serve(ctx)
	r.recordResult(result)
	return result
}

func (r *Router) onWait() {
	if r.opts.Wake != nil {
		r.opts.Wake()
	}
}

// recordResult records the result of a request.
func (r *Router) recordResult(res Result) {
	r.history.add(res)
	r.metrics.Finished(&res)
}

func (r *Router) pool(model string) *pool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pools[model]
}

func (r *Router) allPools() []*pool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*pool, 0, len(r.pools))
	for _, p := range r.pools {
		out = append(out, p)
	}
	return out
}

func (r *Router) allServices() []*servicePool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*servicePool, 0, len(r.services))
	for _, s := range r.services {
		out = append(out, s)
	}
	return out
}

func (r *Router) reporter() reporter {
	return reporter{log: r.opts.Logger, metrics: r.metrics}
}

func (r *Router) queues() []*queue {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*queue, 0, len(r.pools)+len(r.services))
	for _, p := range r.pools {
		out = append(out, p.queue)
	}
	for _, s := range r.services {
		out = append(out, s.queue)
	}
	return out
}

// stepTimeout bounds one step of a stage.
func (r *Router) stepTimeout() time.Duration {
	return r.cfg.Load().Limits.StepTimeout
}

// background runs f in a goroutine that Close waits for.
func (r *Router) background(f func()) {
	r.work.Go(f)
}

// Close ends background work. Requests must have ended before.
func (r *Router) Close() {
	r.cancel()
	r.work.Wait()
}

func (r *Router) tickOnce() {
	now := time.Now()
	for _, q := range r.queues() {
		q.tick()
	}
	for _, p := range r.allPools() {
		p.tick(now)
	}
	for _, s := range r.allServices() {
		s.tick(now)
	}
}

// runEvery calls f at each period until Close.
func (r *Router) runEvery(period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
