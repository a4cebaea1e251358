package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/capacity"
	"masticbank.example/core/config"
	"masticbank.example/core/health"
	"masticbank.example/core/retry"
	"masticbank.example/core/route"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

const (
	defaultRetryRatio = 0.1
	// savedRetriesPerSlot and minSavedRetries bound the retries that the budget saves
	// up: losing several replicas ends many attempts at once, and each of them has to
	// be resumed.
	savedRetriesPerSlot = 4
	minSavedRetries     = 64
	// retryRatePerSlot is the number of retries per slot and second that are allowed
	// regardless of the number of first attempts.
	retryRatePerSlot = 0.1
)

// retryConfig returns the retry budget of a pool with the given number of slots.
func retryConfig(slots int, ratio float64) retry.BudgetConfig {
	return retry.BudgetConfig{
		Ratio:        ratio,
		MinPerSecond: max(1, retryRatePerSlot*float64(slots)),
		Burst:        float64(max(minSavedRetries, savedRetriesPerSlot*slots)),
	}
}

// poolOptions holds what a pool shares with its router.
type poolOptions struct {
	reporter
	engines engine.Client
	// background runs a function in a goroutine that Router.Close waits for.
	background func(func())
	poison     *poisonTracker
	// onWait is called when a request has to wait for a slot.
	onWait func()
	seed   uint64
}

// pool holds the replicas and the queue of one model. It is safe for concurrent use.
type pool struct {
	poolOptions
	model string
	queue *queue

	mu             sync.Mutex
	cfg            config.ModelConfig
	table          *route.Table
	upstreams      map[string]*upstream
	list           []wire.Instance               // the platform's instance list
	activeVersion  string                        // model version that requests are dispatched to
	reportedStates map[string]reportedState      // states of engines that contradict the list, by ID
	groups         map[route.Range]*health.Group // by layer range
	random         *rand.Rand
	calls          uint64 // number of the most recent call
	budget         *retry.Budget
	outputLengths  outputLengths
	slots          int // concurrent requests that the usable replicas can run
	// capacityChanged is true if slots has to be recomputed.
	capacityChanged bool
	ratio           float64
}

func newPool(model string, cfg config.ModelConfig, policy route.Policy, admitter admission.Admitter, o poolOptions) *pool {
	return &pool{
		poolOptions:    o,
		model:          model,
		queue:          newQueue(admitter, o.onWait),
		cfg:            cfg,
		table:          route.NewTable(cfg.Layers, policy),
		upstreams:      map[string]*upstream{},
		reportedStates: map[string]reportedState{},
		groups:         map[route.Range]*health.Group{},
		random:         rand.New(rand.NewPCG(o.seed, uint64(len(model)))),
		budget:         retry.NewBudget(retryConfig(0, defaultRetryRatio)),
		ratio:          defaultRetryRatio,
		outputLengths:  outputLengths{means: map[outputKey]float64{}},
	}
}

// scheduleCapacityUpdate makes the next tick recompute the capacity, so that many
// changes cost one computation. The caller must hold p.mu.
func (p *pool) scheduleCapacityUpdate() {
	p.capacityChanged = true
}

// applyCapacity recomputes the number of requests that the usable replicas can run
// concurrently, and passes it to the queue. The caller must hold p.mu.
func (p *pool) applyCapacity() {
	if !p.capacityChanged {
		return
	}
	p.capacityChanged = false
	edges := make([]capacity.Edge, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		if u.usable() {
			edges = append(edges, capacity.Edge{First: u.instance.FirstLayer, Last: u.instance.LastLayer, Units: u.limit.Limit()})
		}
	}
	slots := capacity.Max(p.cfg.Layers, edges)
	if slots == p.slots {
		return
	}
	p.slots = slots
	p.budget.Configure(time.Now(), retryConfig(slots, p.ratio))
	p.queue.setCapacity(slots)
}

// missedReportsBeforeProbe is the number of consecutive load reports that have to be
// missing before a replica is probed. One may be lost, and a replica that gets no
// requests because it was slow is checked by nothing else.
const missedReportsBeforeProbe = 4

// recordMissedReport counts a missing load report of a replica.
func (p *pool) recordMissedReport(t engine.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(t)
	if !ok {
		return
	}
	if u.missedReports++; u.missedReports < missedReportsBeforeProbe {
		return
	}
	u.missedReports = 0
	p.calls++
	p.step(u, health.Unresponsive{Connection: p.calls})
}

// applyLoadReport applies the load report of one replica.
func (p *pool) applyLoadReport(t engine.Target, r *wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(t)
	if !ok {
		return
	}
	u.missedReports = 0
	p.table.ApplyLoad(time.Now(), t.ID, route.Load{
		Running:                r.Running,
		Waiting:                r.Waiting,
		Slots:                  r.Slots,
		Step:                   time.Duration(r.StepMillis * float64(time.Millisecond)),
		PrefillTokensPerSecond: r.PrefillTokensPerSecond,
	})
	if r.Leaving {
		p.step(u, health.Leaving{Source: health.FromUpstream})
	}
	u.limit.Report(time.Now(), r.Running, r.Waiting, r.Slots)
	p.updateLimit(u)
}

// targets returns the replicas whose load reports have to be read.
func (p *pool) targets() []engine.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]engine.Target, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		out = append(out, u.target())
	}
	return out
}

// target returns the target for calls to a replica.
func (p *pool) target(id string) (engine.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if !ok {
		return engine.Target{}, false
	}
	return u.target(), true
}

// choose selects a route and counts the request as in flight on its replicas. It falls
// back to excluded replicas if no others can serve the request.
func (p *pool) choose(req route.Request) route.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	d := p.table.Choose(now, req, p.random.Uint64())
	if d.Outcome == route.OnlyExcluded {
		req.Exclude = nil
		d = p.table.Choose(now, req, p.random.Uint64())
	}
	if d.Outcome != route.Chosen {
		return d
	}
	for _, stage := range d.Path.Stages {
		p.table.RecordDispatch(stage.ReplicaID, req.PromptTokens)
		if u, ok := p.upstreams[stage.ReplicaID]; ok {
			u.inFlight++
		}
	}
	return d
}

// endAttempt undoes for one replica what choose counted.
func (p *pool) endAttempt(id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.RecordEnd(id, tokens)
	u, ok := p.upstreams[id]
	if !ok || u.inFlight == 0 {
		return
	}
	u.inFlight--
	if u.retired && u.inFlight == 0 {
		p.remove(u)
	}
}

// release cancels an attempt on its replicas and then frees its slots there.
func (p *pool) release(requestID string, attemptNumber int, stages []route.Stage, tokens int) {
	var wg sync.WaitGroup
	for _, stage := range stages {
		wg.Go(func() {
			p.cancelAttempt(requestID, attemptNumber, stage.ReplicaID)
			p.endAttempt(stage.ReplicaID, tokens)
		})
	}
	wg.Wait()
}

func (p *pool) cancelAttempt(requestID string, attemptNumber int, replica string) {
	t, ok := p.target(replica)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If the message is lost, the engine discards the idle attempt by itself.
	_ = p.engines.Cancel(ctx, t, &wire.CancelRequest{RequestID: requestID, Attempt: attemptNumber})
}

// configure applies a changed configuration with the same number of layers. A new
// model version is used once its replicas cover all layers.
func (p *pool) configure(cfg config.ModelConfig, ratio float64, policy admission.Config, list []wire.Instance) {
	p.mu.Lock()
	p.cfg = cfg
	p.ratio = ratio
	p.budget.Configure(time.Now(), retryConfig(p.slots, ratio))
	p.mu.Unlock()
	p.queue.configure(policy)
	p.setInstances(list)
}

// version returns the model version that requests are dispatched to.
func (p *pool) version() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeVersion
}

// recordFirstAttempt credits a first attempt to the retry budget.
func (p *pool) recordFirstAttempt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordFirst(time.Now())
}

// spendRetry takes one retry from the budget. It returns false if the budget is
// exhausted.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TrySpend(time.Now())
}

// setEntryInstances sets the IDs of the entry instances that dispatch to the pool.
func (p *pool) setEntryInstances(self string, live []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetMembers(self, live)
}

// expectedOutput estimates the number of tokens that a request will generate.
func (p *pool) expectedOutput(r *Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outputLengths.estimate(outputKey{workspace: r.Workspace, rank: r.Rank}, r.MaxTokens)
}

// observeOutput records the length of a complete response for later estimates.
func (p *pool) observeOutput(r *Request, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outputLengths.observe(outputKey{workspace: r.Workspace, rank: r.Rank}, tokens)
}
