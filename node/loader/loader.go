// Package loader orders engines to load models. Package core/placement decides;
// this one reads the engines' states, sends the orders and reads back.
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

// Duty is the duty of ordering engines to load models.
const Duty = "loading"

const (
	defaultPeriod   = 5 * time.Second
	defaultMaxLoads = 2
	// callTimeout bounds one call to an engine.
	callTimeout = 2 * time.Second
	// callsAtOnce bounds the calls in progress.
	callsAtOnce = 64
	// activeRounds is the number of rounds in a period while engines load.
	activeRounds = 10
	// downRounds is the number of periods after which a silent engine is down.
	downRounds = 3
	// forgetAfter is how long the loads of a silent engine count.
	forgetAfter = 30 * time.Second
	// defaultReads is the usual number of states read in a period.
	defaultReads = 64
)

// Keeper tells whether this instance may act for a duty now, and with which
// epoch. Implementations are safe for concurrent use.
type Keeper interface {
	Valid(duty string) (epoch uint64, ok bool)
}

// Engine is one engine that the platform lists.
type Engine struct {
	Target      engine.Target
	Zone        string
	Accelerator string
	// MaxLayers is the number of layers that it can hold; 0 means as many as any
	// engine with the same accelerator holds.
	MaxLayers int
	// Leaving is true when the engine takes no new work.
	Leaving bool
	// Down is true when the engine is known to be down, from traffic and probes.
	Down bool
	// Units is the number of sequences carried at once; 0 means 1.
	Units int
}

// Options sets up a Loader. Engines, Keeper, Targets and Wanted are required.
// The functions are called by Run, one at a time.
type Options struct {
	Engines engine.Client
	Keeper  Keeper
	// Duty names the duty; empty means Duty.
	Duty string
	// Targets returns the engines to look after.
	Targets func() []Engine
	// Wanted returns the configured models by name.
	Wanted func() map[string]config.ModelConfig
	// Demand returns the sequences that a model is to carry at once; nil means
	// one for each model.
	Demand func(model string) int
	// MaxLoads is the number of loads at once that the weight store gives; 0
	// means 2.
	MaxLoads int
	// Period is the time between decisions; 0 means 5 s.
	Period time.Duration
	// Reads is the number of states read in a period; 0 means 64. All engines are
	// read when the duty begins; engines that load or were ordered to change are
	// read in every round, and silent ones in every period.
	Reads int
	// Terms are the planner's margins; zero means the usual ones.
	Terms  placement.Terms
	Logger *zap.Logger
}

// Status is what the last decision found.
type Status struct {
	// Holding is true while this instance holds the duty with Epoch.
	Holding bool
	Epoch   uint64
	// Engines is the number of engines decided on, Silent of those that do not
	// answer, Loading of those that load.
	Engines int
	Silent  int
	Loading int
	// MaxLoads is the number of loads at once as learnt from refusals.
	MaxLoads int
	// Outdated is the number of engines with an old version of a wanted model.
	Outdated int
	Short    []placement.Shortage
	// Sent is the number of orders sent since the start, Failed of those
	// without an answer or refused.
	Sent   int
	Failed int
}

// Loader keeps engines at their target states while its instance holds the duty.
// Status is safe for concurrent use.
type Loader struct {
	opts    Options
	planner *placement.Planner
	limit   *placement.Limit
	known   map[string]reading
	// epoch is that of the readings, which began at since.
	epoch uint64
	since time.Time
	// active is true while engines load or are ordered to.
	active bool
	// decided is the time of the last decision.
	decided time.Time

	mu     sync.Mutex
	status Status
}

// New returns a Loader; Run must be running for it to do anything.
func New(o Options) *Loader {
	if o.Duty == "" {
		o.Duty = Duty
	}
	if o.Period <= 0 {
		o.Period = defaultPeriod
	}
	if o.Reads <= 0 {
		o.Reads = defaultReads
	}
	if o.MaxLoads <= 0 {
		o.MaxLoads = defaultMaxLoads
	}
	if o.Terms == (placement.Terms{}) {
		o.Terms = placement.DefaultTerms()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Loader{
		opts:    o,
		planner: placement.New(o.Terms),
		limit:   placement.NewLimit(o.MaxLoads),
		known:   map[string]reading{},
	}
}

// Status returns what the last decision found.
func (l *Loader) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// Run decides once a period, and when a state has changed while engines load,
// until ctx ends, and returns its error. All calls have ended when it returns.
func (l *Loader) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-timer.C:
			l.round(ctx)
			timer.Reset(l.wait())
		}
	}
}

// wait returns the time to the next round.
func (l *Loader) wait() time.Duration {
	if l.active {
		return l.opts.Period / activeRounds
	}
	return l.opts.Period
}

// round reads engines, decides and sends the orders. What an order has done is
// seen by the next round's reading.
func (l *Loader) round(ctx context.Context) {
	epoch, ok := l.opts.Keeper.Valid(l.opts.Duty)
	if !ok {
		l.active = false
		l.note(func(s *Status) { *s = Status{Sent: s.Sent, Failed: s.Failed} })
		return
	}
	if epoch != l.epoch {
		l.epoch, l.since = epoch, time.Now()
		clear(l.known)
	}
	targets := l.opts.Targets()
	changed := l.read(ctx, targets)
	if ctx.Err() != nil || l.incomplete(targets) {
		return
	}
	if changed || time.Since(l.decided) >= l.opts.Period {
		l.decide(ctx, epoch, targets)
	}
}

// incomplete tells whether engines have not answered since the duty began, while
// they may just be slow. A decision without them would replace them.
func (l *Loader) incomplete(targets []Engine) bool {
	if time.Since(l.since) >= l.downAfter() {
		return false
	}
	for _, t := range targets {
		if !l.known[t.Target.ID].answered && !t.Down {
			return true
		}
	}
	return false
}

func (l *Loader) downAfter() time.Duration { return downRounds * l.opts.Period }

func (l *Loader) decide(ctx context.Context, epoch uint64, targets []Engine) {
	l.decided = time.Now()
	engines := l.engines(targets)
	plan := l.planner.Step(placement.Input{
		Epoch:    epoch,
		Engines:  engines,
		Models:   l.models(),
		MaxLoads: l.limit.Value(),
	})
	l.active = plan.Loading > 0 || len(plan.Orders) > 0
	sent, failed := l.send(ctx, epoch, targets, plan)
	l.note(func(s *Status) {
		*s = Status{
			Holding: true, Epoch: epoch,
			Engines: len(engines), Silent: silent(engines), Loading: plan.Loading,
			MaxLoads: l.limit.Value(), Outdated: plan.Outdated, Short: plan.Short,
			Sent: s.Sent + sent, Failed: s.Failed + failed,
		}
	})
}

func (l *Loader) note(change func(*Status)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.status)
}

func (l *Loader) models() []placement.Model {
	var models []placement.Model
	for name, m := range l.opts.Wanted() {
		demand := 0
		if l.opts.Demand != nil {
			demand = l.opts.Demand(name)
		}
		models = append(models, placement.Model{Name: name, Version: m.Version, Layers: m.Layers, Demand: demand})
	}
	return models
}

func silent(engines []placement.Engine) int {
	n := 0
	for i := range engines {
		if engines[i].Silent || !engines[i].Live {
			n++
		}
	}
	return n
}
