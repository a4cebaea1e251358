// Package router dispatches client requests to upstreams. It connects the decisions of
// core (admission, routing, retries, health) with the clients of engines and services.
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
	// tickPeriod is the interval at which queue deadlines and health timers are
	// checked.
	tickPeriod = 50 * time.Millisecond
	// loadPeriod is the interval at which the load report of each upstream is read.
	loadPeriod = 250 * time.Millisecond
	// cachePeriod is the interval at which the cache events of each engine are read.
	cachePeriod = time.Second
	// loadTimeout bounds one request for a load report or for cache events.
	loadTimeout = time.Second
	// maxParallelReads bounds the concurrent requests for load reports, and those for
	// cache events.
	maxParallelReads = 16
	// poisonRetention is how long crash evidence is kept until a configuration sets
	// the time.
	poisonRetention = 10 * time.Minute
	poisonMessage   = "requests like this one crashed several upstreams"
	// retryAfterFailure is the Retry-After hint when upstreams failed.
	retryAfterFailure = 2 * time.Second
	// retryAfterReplaced is the Retry-After hint when a new configuration replaced the
	// pool in which a request waited.
	retryAfterReplaced = time.Second
)

// Metrics receives measurements and events. Implementations are safe for concurrent
// use.
type Metrics interface {
	// ResponseDiscarded counts an upstream response that was discarded.
	ResponseDiscarded(k attempt.DiscardReason)
	// TokenGap records the time between two consecutive tokens of one response.
	TokenGap(workspace string, rank config.Rank, d time.Duration)
	// Finished records the result of a request.
	Finished(r *Result)
	// ConnectionReplaced counts an unresponsive connection to an upstream that was
	// replaced.
	ConnectionReplaced(upstream string)
	// Ejected counts the ejection of an upstream.
	Ejected(upstream string)
	// UpstreamLeaving is called when an upstream announced that it is leaving. It must
	// not block.
	UpstreamLeaving(upstream string)
}

// Options configures a Router.
type Options struct {
	// ID is the ID of this instance.
	ID       string
	Engines  engine.Client
	Services *service.Client
	// Orders executes calls that carry an idempotency key at most once across all
	// instances. If it is nil, such calls are refused.
	Orders  Orders
	Metrics Metrics
	Logger  *zap.Logger
	// RoutePolicy and FIFO select baseline algorithms for comparison in measurements.
	RoutePolicy route.Policy
	FIFO        bool
	// OnWait is called when a request has to wait for a slot; it may be nil. It must not
	// block.
	OnWait func()
	// OnCrash is called when there is new crash evidence to send to peers; it may be nil. It
	// must not block.
	OnCrash func()
	// Seed seeds the random choice among routes of nearly equal cost, so that
	// instances choose differently.
	Seed uint64
}

// Router serves requests under the current configuration. It is safe for concurrent
// use.
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
	// entryInstances holds the IDs of the live entry instances, including this one.
	entryInstances []string

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// New returns a router that starts serving after the first calls of Configure and
// SetInstances. It must be closed with Close.
func New(o Options) *Router {
	r := newRouter(o)
	r.background(func() { r.runEvery(tickPeriod, r.tickOnce) })
	r.background(func() { r.runEvery(loadPeriod, r.readLoadOnce) })
	r.background(func() { r.runEvery(cachePeriod, r.readCacheOnce) })
	return r
}

// newRouter returns a router without the periodic background work.
func newRouter(o Options) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	return &Router{
		opts:           o,
		metrics:        o.Metrics,
		history:        newHistory(),
		poison:         newPoisonTracker(poisonRetention, o.OnCrash),
		entryInstances: []string{o.ID},
		pools:          map[string]*pool{},
		services:       map[string]*servicePool{},
		ctx:            ctx,
		cancel:         cancel,
	}
}

// Config returns the current configuration, or nil before the first one.
func (r *Router) Config() *config.Config {
	return r.cfg.Load()
}

// Configure applies a validated configuration.
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

// SetInstances applies the platform's instance list.
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

// SetEntryInstances sets the IDs of the live entry instances, including this one.
func (r *Router) SetEntryInstances(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryInstances = ids
	for _, p := range r.pools {
		p.setEntryInstances(r.opts.ID, ids)
	}
}

// MarkLeaving stops sending new work to an upstream that a peer or an operator
// reported as leaving. It reports whether any pool has the upstream.
func (r *Router) MarkLeaving(upstream string) bool {
	known := false
	for _, p := range r.allPools() {
		known = p.markLeaving(upstream, health.FromPeer) || known
	}
	for _, s := range r.allServicePools() {
		known = s.markLeaving(upstream, health.FromPeer) || known
	}
	return known
}

// Generate serves one completion request and passes each token to sink as it arrives.
// The context is cancelled when the client disconnects.
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
	if r.opts.OnWait != nil {
		r.opts.OnWait()
	}
}

// recordResult adds the result of a request to the history and the metrics.
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

func (r *Router) allServicePools() []*servicePool {
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

// stepTimeout returns the configured timeout of one step of a stage.
func (r *Router) stepTimeout() time.Duration {
	return r.cfg.Load().Limits.StepTimeout
}

// background runs f in a goroutine that Close waits for.
func (r *Router) background(f func()) {
	r.work.Go(f)
}

// Close stops the background work and waits for it. All requests must have ended.
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
	for _, s := range r.allServicePools() {
		s.tick(now)
	}
}

// runEvery calls f once per period until the router is closed.
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
