// Package placement decides which engine holds which layers of which model. It
// performs no I/O.
//
// A Planner compares what the engines hold, as read back, with the wanted models
// and returns orders. An order carries the whole target state of one engine and
// the epoch of the duty as its fence, so that repeating it changes nothing.
//
// Invariants, for one holder of the duty:
//
//  1. At most MaxLoads engines load at once; engines that were loading before
//     the holder took over count.
//  2. The units that exact tilings of a model carry, summed over its versions,
//     never fall through an order below the smaller of what they were and the
//     floor. For a version change that is RollShare of the demand, or of what the
//     model's engines would carry with one version if that is less, so that an
//     overloaded model can change too; for any other change it is Slack times
//     the demand; and it is at least one unit. So the last replicas of a range
//     that is in use are never taken, and a model that can be served stays so.
//  3. With steady demand and engines, orders end. Every change of range or model
//     lowers the sum of the models' shortfalls; every other change lowers the
//     number of engines with an old version.
//  4. An engine that another holder's late order has changed is ordered back to
//     its target, unless that would break invariant 2; then what it holds becomes
//     its target. An engine that fences is told the epoch as soon as it is seen.
//
// Every token crosses all layers of a model, so all its ranges have the same
// demand; the range that is needed most has the smallest capacity.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Assignment is what an engine holds or is to hold.
type Assignment struct {
	Model   string
	Version string
	// First and Last are the layers, both inclusive.
	First int
	Last  int
}

func (a Assignment) layers() int { return a.Last - a.First + 1 }

// Engine is the state of one engine as read back.
type Engine struct {
	ID          string
	Zone        string
	Accelerator string
	// MaxLayers is the number of layers that the engine can hold; 0 means as many
	// as any engine with the same accelerator holds.
	MaxLayers int
	Held      Assignment
	// Loading is true while the engine fetches what it holds.
	Loading bool
	// Fence is the highest fencing number seen.
	Fence uint64
	// Fencing is true when the engine refuses orders with an old fence.
	Fencing bool
	// Live is false when the engine is down; Held and Loading are then the last
	// known ones.
	Live bool
	// Silent is true when the last reading failed, which does not prove that the
	// engine is down. Nobody counts on it, but nobody replaces it either.
	Silent bool
	// Leaving is true when the engine takes no new work.
	Leaving bool
	// Units is what the engine carries at once, in sequences; 0 means 1.
	Units int
}

// read tells whether the state is a fresh one.
func (e *Engine) read() bool { return e.Live && !e.Silent }

func (e *Engine) usable() bool { return e.read() && !e.Leaving && !e.Loading }

func (e *Engine) units() int { return max(e.Units, 1) }

// Model is a wanted model.
type Model struct {
	Name string
	// Version is the wanted version; empty means the one that is held most.
	Version string
	Layers  int
	// Demand is the number of sequences to carry at once; 0 means 1.
	Demand int
}

func (m *Model) demand() int { return max(m.Demand, 1) }

// Terms are the planner's margins.
type Terms struct {
	// RollShare is the fraction of the demand that a model carries during a
	// version change.
	RollShare float64
	// Slack times its demand is what a model keeps when it gives an engine to
	// another range or model. The gap between 1 and Slack is the hysteresis.
	Slack float64
}

// DefaultTerms returns the usual margins.
func DefaultTerms() Terms { return Terms{RollShare: 0.8, Slack: 1.25} }

// Input is what one decision is based on.
type Input struct {
	// Epoch is the fencing number of the holder.
	Epoch   uint64
	Engines []Engine
	Models  []Model
	// MaxLoads is the number of loads at once that the weight store gives.
	MaxLoads int
}

// Reason tells why an order is given.
type Reason uint8

const (
	// ReasonFence raises the fence of an engine and changes nothing else.
	ReasonFence Reason = iota
	// ReasonRepeat returns an engine to its target.
	ReasonRepeat
	// ReasonShortage adds capacity where it is smallest relative to demand.
	ReasonShortage
	// ReasonVersion replaces an old version.
	ReasonVersion
)

// Order is the target state of one engine.
type Order struct {
	Engine string
	Fence  uint64
	Target Assignment
	Reason Reason
}

// Plan is the outcome of one decision.
type Plan struct {
	Orders []Order
	// Loading is the number of engines that load, without those of Orders.
	Loading int
	// Short holds the models whose planned capacity is below their demand,
	// the most needed one first.
	Short []Shortage
	// Outdated is the number of engines with an old version of a wanted model.
	Outdated int
}

// Shortage is a model that the engines can't carry in full.
type Shortage struct {
	Model   string
	Planned int
	Demand  int
}

// Planner remembers the targets of one holder's epoch. It is not safe for
// concurrent use.
type Planner struct {
	terms   Terms
	epoch   uint64
	targets map[string]Assignment
}

// New returns a Planner without targets.
func New(terms Terms) *Planner {
	return &Planner{terms: terms, targets: map[string]Assignment{}}
}

// Target returns the target of an engine, once it has been seen live.
func (p *Planner) Target(engine string) (Assignment, bool) {
	t, ok := p.targets[engine]
	return t, ok
}

// Step decides on the engines as read and returns the orders to send now. Call
// it again with a fresh reading; orders that were lost are repeated then.
func (p *Planner) Step(in Input) Plan {
	p.adopt(in)
	v := newView(p.terms, in, p.targets)
	plan := Plan{Loading: v.loading}
	v.repeat(p.targets)
	for v.budget > 0 && v.relieveShortage() {
	}
	for v.budget > 0 && v.rollOne() {
	}
	for _, c := range v.changes {
		p.targets[c.Engine] = c.Target
	}
	plan.Orders = append(v.changes, fences(in, p.targets, v.changed)...)
	plan.Short = v.shortages()
	plan.Outdated = v.outdated()
	return plan
}

// adopt forgets the targets of an older epoch and of engines that are gone, and
// takes what a new engine holds as its target.
func (p *Planner) adopt(in Input) {
	if in.Epoch != p.epoch {
		p.targets = map[string]Assignment{}
		p.epoch = in.Epoch
	}
	seen := make(map[string]bool, len(in.Engines))
	for i := range in.Engines {
		e := &in.Engines[i]
		seen[e.ID] = true
		if _, known := p.targets[e.ID]; !known && e.read() {
			p.targets[e.ID] = e.Held
		}
	}
	maps.DeleteFunc(p.targets, func(id string, _ Assignment) bool { return !seen[id] })
}

// fences returns the orders that only raise fences.
func fences(in Input, targets map[string]Assignment, changed map[string]bool) []Order {
	var orders []Order
	for i := range in.Engines {
		e := &in.Engines[i]
		behind := e.read() && e.Fencing && e.Fence < in.Epoch
		if behind && !changed[e.ID] && targets[e.ID] == e.Held {
			orders = append(orders, Order{Engine: e.ID, Fence: in.Epoch, Target: e.Held, Reason: ReasonFence})
		}
	}
	return orders
}

// repeat orders engines back to their targets.
func (v *view) repeat(targets map[string]Assignment) {
	for i := range v.engines {
		e := &v.engines[i]
		target, known := targets[e.ID]
		if !e.read() || !known || target == e.Held {
			continue
		}
		switch {
		case e.Leaving || !v.mayRepeat(e):
			targets[e.ID] = e.Held
			v.setTarget(i, e.Held)
		case v.budget > 0 || e.Loading:
			v.order(i, target, ReasonRepeat)
		}
	}
}

// mayRepeat tells whether the model that the engine holds can do without it.
func (v *view) mayRepeat(e *Engine) bool {
	m, wanted := v.models[e.Held.Model]
	if !wanted || !e.usable() {
		return true
	}
	return v.usableWithout(e) >= min(v.usable(m), v.rollFloor(m))
}

// relieveShortage plans loads for the model whose planned capacity is smallest
// relative to its demand and for which engines can be found.
func (v *view) relieveShortage() bool {
	for _, s := range v.shortages() {
		m := v.models[s.Model]
		if steps := v.extend(m); len(steps) > 0 {
			v.take(m, steps)
			return true
		}
	}
	return false
}

// take orders the steps with the smallest capacity first, as many as the budget
// has. The next decision plans the rest again from what then is held.
func (v *view) take(m *Model, steps []step) {
	slices.SortStableFunc(steps, func(a, b step) int {
		return cmp.Compare(v.coverage(m, a.target), v.coverage(m, b.target))
	})
	for _, s := range steps {
		if v.budget == 0 {
			return
		}
		reason := ReasonShortage
		if s.inPlace {
			reason = ReasonVersion
		}
		v.order(s.engine, s.target, reason)
	}
}

// rollOne replaces the old version on one engine of the range that has the
// smallest capacity in the wanted version.
func (v *view) rollOne() bool {
	best, bestCoverage := -1, math.MaxInt
	var target Assignment
	for _, g := range v.groups() {
		e := &v.engines[g.engine]
		m, wanted := v.models[e.Held.Model]
		if !wanted || e.Held.Version == m.Version || e.Held.Last >= m.Layers {
			continue
		}
		next := e.Held
		next.Version = m.Version
		coverage := v.coverage(m, next)
		if coverage < bestCoverage && v.mayTake(e) {
			best, bestCoverage, target = g.engine, coverage, next
		}
	}
	if best < 0 {
		return false
	}
	v.order(best, target, ReasonVersion)
	return true
}

// shortages returns the models below their demand, the most needed one first.
func (v *view) shortages() []Shortage {
	var out []Shortage
	for _, name := range v.names {
		m := v.models[name]
		if planned := v.plannedUnits(m); planned < m.demand() {
			out = append(out, Shortage{Model: name, Planned: planned, Demand: m.demand()})
		}
	}
	slices.SortStableFunc(out, func(a, b Shortage) int {
		return cmp.Compare(a.Planned*b.Demand, b.Planned*a.Demand)
	})
	return out
}

func (v *view) outdated() int {
	n := 0
	for i := range v.engines {
		e := &v.engines[i]
		m, wanted := v.models[v.target[i].Model]
		if wanted && e.Live && !e.Leaving && v.target[i].Version != m.Version {
			n++
		}
	}
	return n
}
