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
	// savedRetriesPerSlot and minBank bound the retries saved up: the loss of several
	// replicas ends many attempts at once, and each is to be resumed.
	savedRetriesPerSlot = 4
	minSavedRetries     = 64
	// retryRatePerSlot is the rate of retries, per slot and second, that needs no
	// first attempts.
	retryRatePerSlot = 0.1
)

// retryConfig returns the retry budget of a pool with the given slots.
func retryConfig(slots int, ratio float64) retry.BudgetConfig {
	return retry.BudgetConfig{
		Ratio:        ratio,
		MinPerSecond: max(1, retryRatePerSlot*float64(slots)),
		Bank:         float64(max(minSavedRetries, savedRetriesPerSlot*slots)),
	}
}

// poolOptions is what a pool shares with its router.
type poolOptions struct {
	reporter
	engines engine.Client
	// background runs a function that the router's Close waits for.
	background func(func())
	poison     *poisonTracker
	// onWait is called when a request has to wait.
	onWait func()
	seed   uint64
}

// pool holds the replicas and the queue of one model. It is safe for
// concurrent use.
type pool struct {
	poolOptions
	model string
	queue *queue

	mu             sync.Mutex
	cfg            config.ModelConfig
	table          *route.Table
	upstreams      map[string]*upstream
	list           []wire.Instance               // the platform's list
	activeVersion  string                        // model version that requests run on
	reportedStates map[string]reportedState      // what engines said against the list
	groups         map[route.Range]*health.Group // by layer range
	random         *rand.Rand
	calls          uint64 // number of the last call
	budget         *retry.Budget
	outputLengths  outputLengths
	slots          int // what the replicas in use carry at once
	// capacityChanged is true when slots is to be computed again.
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

// scheduleCapacityUpdate asks for a new computation of the capacity at the next tick, so
// that many changes at once cost one. The caller holds p.mu.
func (p *pool) scheduleCapacityUpdate() {
	p.capacityChanged = true
}

// applyCapacity tells the queue how many requests the replicas in use carry at
// once. The caller holds p.mu.
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

// missedReportsBeforeProbe is the number of load reports in a row that must not come before a
// replica is asked whether it answers: one may be lost, and requests may not be sent to
// it because it was slow.
const missedReportsBeforeProbe = 4

// recordMissedReport notes that a replica gave no load report.
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
	p.step(u, health.Silent{Connection: p.calls})
}

// applyLoadReport takes the load applyLoadReport of one replica.
func (p *pool) applyLoadReport(t engine.Target, r *wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.lookup(t)
	if !ok {
		return
	}
	u.missedReports = 0
	p.table.Report(time.Now(), t.ID, route.Load{
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

// targets returns the replicas to ask for load reports.
func (p *pool) targets() []engine.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]engine.Target, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		out = append(out, u.target())
	}
	return out
}

// target returns the address of a replica.
func (p *pool) target(id string) (engine.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	if !ok {
		return engine.Target{}, false
	}
	return u.target(), true
}

// choose picks a chain and counts it as dispatched.
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
	for _, h := range d.Chain.Hops {
		p.table.Begin(h.ReplicaID, req.PromptTokens)
		if u, ok := p.upstreams[h.ReplicaID]; ok {
			u.inFlight++
		}
	}
	return d
}

// endAttempt takes back what choose counted for one replica.
func (p *pool) endAttempt(id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.End(id, tokens)
	u, ok := p.upstreams[id]
	if !ok || u.inFlight == 0 {
		return
	}
	u.inFlight--
	if u.retired && u.inFlight == 0 {
		p.remove(u)
	}
}

// release ends an attempt on its replicas and then frees their places.
func (p *pool) release(requestID string, attemptNumber int, stages []route.Hop, tokens int) {
	var wg sync.WaitGroup
	for _, h := range stages {
		wg.Go(func() {
			p.cancelAttempt(requestID, attemptNumber, h.ReplicaID)
			p.endAttempt(h.ReplicaID, tokens)
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
	// The engine drops idle attempts by itself when the message is lost.
	_ = p.engines.Cancel(ctx, t, &wire.CancelRequest{RequestID: requestID, Attempt: attemptNumber})
}

// configure puts a changed configuration in force; the layers stay the same.
// A new version comes into use when its replicas hold every layer.
func (p *pool) configure(cfg config.ModelConfig, ratio float64, policy admission.Config, list []wire.Instance) {
	p.mu.Lock()
	p.cfg = cfg
	p.ratio = ratio
	p.budget.Configure(time.Now(), retryConfig(p.slots, ratio))
	p.mu.Unlock()
	p.queue.configure(policy)
	p.setInstances(list)
}

// version returns the model version that the replicas in use hold.
func (p *pool) version() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeVersion
}

// recordFirstAttempt pays a recordFirstAttempt attempt into the retry budget.
func (p *pool) recordFirstAttempt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.First(time.Now())
}

// spendRetry spends one retry, or returns false when the budget is used up.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Take(time.Now())
}

// setEntryInstances names the entry instances that dispatch to the pool.
func (p *pool) setEntryInstances(self string, live []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetMembers(self, live)
}

// expectedOutput estimates the number of tokens that a request generates.
func (p *pool) expectedOutput(r *Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outputLengths.estimate(outputKey{workspace: r.Workspace, rank: r.Rank}, r.MaxTokens)
}

// observeOutput learns from a complete answer.
func (p *pool) observeOutput(r *Request, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outputLengths.observe(outputKey{workspace: r.Workspace, rank: r.Rank}, tokens)
}
