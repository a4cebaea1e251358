// Package loader orders engines to load models. It queries the states of the engines,
// passes them to the planner in core/placement, sends the resulting orders as layer
// assignments and verifies their effect with the next queries. Only the leader of this
// task does so.
package loader

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/core/config"
	"masticbank.example/core/placement"
	"masticbank.example/node/engine"
)

// LeaderTask is the name of the leader task that orders engines to load models.
const LeaderTask = "loading"

const (
	defaultPeriod   = 5 * time.Second
	defaultMaxLoads = 2
	// callTimeout is the timeout of one call to an engine.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls to engines.
	maxConcurrentCalls = 64
	// activeRoundsPerPeriod is the number of rounds in a period while engines are
	// loading.
	activeRoundsPerPeriod = 10
	// downAfterPeriods is the number of periods after which an unresponsive engine
	// counts as down.
	downAfterPeriods = 3
	// stateExpiry is the time after which the last state of an unresponsive engine
	// expires; until then its loads count towards the limit.
	stateExpiry = 30 * time.Second
	// defaultQueriesPerPeriod is the default number of states queried in a period.
	defaultQueriesPerPeriod = 64
)

// Keeper reports whether this instance is currently the leader of a task, and in which
// epoch. Implementations are safe for concurrent use.
type Keeper interface {
	Valid(task string) (epoch uint64, ok bool)
}

// Engine is one engine of the platform's instance list.
type Engine struct {
	Target      engine.Target
	Zone        string
	Accelerator string
	// MaxLayers is the number of layers that fit on the engine; 0 means the largest
	// number that any engine with the same accelerator holds.
	MaxLayers int
	// Leaving is true when the engine accepts no new requests.
	Leaving bool
	// Down is true when requests and probes have shown that the engine is down.
	Down bool
	// Sequences is the number of sequences that the engine serves concurrently; 0 means
	// 1.
	Sequences int
}

// Options configures a Loader. Engines, Keeper, Targets and Wanted are required. Run
// calls the functions, never concurrently.
type Options struct {
	Engines engine.Client
	Keeper  Keeper
	// LeaderTask is the name of the leader task; empty means the constant of the same
	// name.
	LeaderTask string
	// Targets returns the engines to manage.
	Targets func() []Engine
	// Models returns the configured models by name.
	Models func() map[string]config.ModelConfig
	// Demand returns the number of sequences that a model has to serve concurrently;
	// nil means one for each model.
	Demand func(model string) int
	// MaxLoads is the number of concurrent loads that the weight store allows; 0 means
	// 2.
	MaxLoads int
	// Period is the interval between decisions; 0 means 5 s.
	Period time.Duration
	// QueriesPerPeriod is the number of states queried in a period; 0 means 64. It does
	// not limit the queries of all engines when this instance becomes the leader, of
	// changing engines in every round, and of unresponsive ones in every period.
	QueriesPerPeriod int
	// Margins are those of the planner; zero means placement.DefaultMargins.
	Margins placement.Margins
	Logger  *zap.Logger
}

// Status is the state of a Loader after its last decision.
type Status struct {
	// Leader is true while this instance is the leader, in the given epoch.
	Leader bool
	Epoch  uint64
	// Engines is the number of engines with a known state.
	Engines int
	// Unresponsive is the number of these that are unresponsive or down.
	Unresponsive int
	// Loading is the number of these that are loading.
	Loading int
	// MaxLoads is the current limit on concurrent loads, as adapted to refusals of the
	// weight store.
	MaxLoads int
	// Outdated is the number of engines with an old version of a configured model.
	Outdated int
	// Shortages lists the models whose demand the engines cannot serve in full.
	Shortages []placement.Shortage
	// Sent is the number of orders sent since the start.
	Sent int
	// Failed is the number of these that had no response or were refused.
	Failed int
}

// Loader brings engines to their target states while its instance is the leader of
// the task. Status is safe for concurrent use.
type Loader struct {
	opts     Options
	planner  *placement.Planner
	limit    *placement.LoadLimit
	observed map[string]observedState
	// epoch is the leader epoch in which the states were queried. It began at
	// leaderSince.
	epoch       uint64
	leaderSince time.Time
	// active is true while engines are loading or were ordered to load. Rounds are
	// more frequent then.
	active bool
	// lastDecision is the time of the last decision.
	lastDecision time.Time

	mu     sync.Mutex
	status Status
}

// New returns a Loader. It is active only while Run is running.
func New(o Options) *Loader {
	if o.LeaderTask == "" {
		o.LeaderTask = LeaderTask
	}
	if o.Period <= 0 {
		o.Period = defaultPeriod
	}
	if o.QueriesPerPeriod <= 0 {
		o.QueriesPerPeriod = defaultQueriesPerPeriod
	}
	if o.MaxLoads <= 0 {
		o.MaxLoads = defaultMaxLoads
	}
	if o.Margins == (placement.Margins{}) {
		o.Margins = placement.DefaultMargins()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Loader{
		opts:     o,
		planner:  placement.New(o.Margins),
		limit:    placement.NewLoadLimit(o.MaxLoads),
		observed: map[string]observedState{},
	}
}

// Status returns the state after the last decision.
func (l *Loader) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// Run decides once a period, and additionally when a state changes while engines are
// loading. It runs until ctx ends and returns its error after all calls have ended.
func (l *Loader) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-timer.C:
			l.round(ctx)
			timer.Reset(l.roundInterval())
		}
	}
}

// roundInterval returns the interval until the next round.
func (l *Loader) roundInterval() time.Duration {
	if l.active {
		return l.opts.Period / activeRoundsPerPeriod
	}
	return l.opts.Period
}

// round queries the engines and, if necessary, decides and sends the orders. The
// effects of the orders are observed by the queries of the next rounds.
func (l *Loader) round(ctx context.Context) {
	epoch, ok := l.opts.Keeper.Valid(l.opts.LeaderTask)
	if !ok {
		l.active = false
		l.updateStatus(func(s *Status) { *s = Status{Sent: s.Sent, Failed: s.Failed} })
		return
	}
	if epoch != l.epoch {
		l.epoch, l.leaderSince = epoch, time.Now()
		clear(l.observed)
	}
	targets := l.opts.Targets()
	changed := l.queryDueEngines(ctx, targets)
	if ctx.Err() != nil || l.awaitsFirstStates(targets) {
		return
	}
	if changed || time.Since(l.lastDecision) >= l.opts.Period {
		l.decide(ctx, epoch, targets)
	}
}

// awaitsFirstStates reports whether engines that may just be slow have not responded
// since this instance became the leader. A decision without them would replace them.
func (l *Loader) awaitsFirstStates(targets []Engine) bool {
	if time.Since(l.leaderSince) >= l.downAfter() {
		return false
	}
	for _, t := range targets {
		if !l.observed[t.Target.ID].valid && !t.Down {
			return true
		}
	}
	return false
}

// downAfter returns the time after which an unresponsive engine counts as down.
func (l *Loader) downAfter() time.Duration { return downAfterPeriods * l.opts.Period }

// decide lets the planner compute the orders, sends them and updates the status.
func (l *Loader) decide(ctx context.Context, epoch uint64, targets []Engine) {
	l.lastDecision = time.Now()
	engines := l.plannerEngines(targets)
	plan := l.planner.Step(placement.Input{
		Epoch:    epoch,
		Engines:  engines,
		Models:   l.plannerModels(),
		MaxLoads: l.limit.Value(),
	})
	l.active = plan.Loading > 0 || len(plan.Orders) > 0
	sent, failed := l.sendOrders(ctx, epoch, targets, plan)
	l.updateStatus(func(s *Status) {
		*s = Status{
			Leader: true, Epoch: epoch,
			Engines: len(engines), Unresponsive: countUnresponsive(engines), Loading: plan.Loading,
			MaxLoads: l.limit.Value(), Outdated: plan.Outdated, Shortages: plan.Shortages,
			Sent: s.Sent + sent, Failed: s.Failed + failed,
		}
	})
}

func (l *Loader) updateStatus(change func(*Status)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.status)
}

// plannerModels returns the configured models with their demand as input for the
// planner.
func (l *Loader) plannerModels() []placement.Model {
	var models []placement.Model
	for name, m := range l.opts.Models() {
		demand := 0
		if l.opts.Demand != nil {
			demand = l.opts.Demand(name)
		}
		models = append(models, placement.Model{Name: name, Version: m.Version, Layers: m.Layers, Demand: demand})
	}
	return models
}

// countUnresponsive counts the engines that are unresponsive or down.
func countUnresponsive(engines []placement.Engine) int {
	n := 0
	for i := range engines {
		if engines[i].Unresponsive || !engines[i].Live {
			n++
		}
	}
	return n
}
