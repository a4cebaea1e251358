// Package placement decides which engine holds which layers of which model. It performs no I/O.
//
// A Planner compares the assignments that the engines report with the wanted models and returns
// orders. An order contains the complete target state of one engine and the epoch of the leader as
// its fencing number, so repeating it changes nothing.
//
// Invariants during one leader's epoch:
//
//  1. At most MaxLoads engines load at the same time. Engines that were loading before the leader
//     took over count.
//  2. No order lowers the units that exact tilings of a model carry, summed over its versions,
//     below a floor of at least one unit; if they are below the floor already, no order lowers
//     them further. For a version change the floor is RollShare times the demand, or times what
//     the model's engines would carry with a single version if that is less, so that an
//     overloaded model can change its version too. For any other change it is Slack times the
//     demand. So the last replicas of a range that is in use are never reassigned, and a model
//     that can be served remains so.
//  3. With constant demand and engines, orders end. Every change of range or model lowers the sum
//     of the models' shortages; every other change lowers the number of engines with an old
//     version.
//  4. An engine that a late order of another leader has changed is ordered back to its target,
//     unless that would violate invariant 2; in that case what it holds becomes its target. An
//     engine that checks fencing numbers receives the current epoch as soon as it is seen.
//
// Every token passes through all layers of a model, so all its ranges have the same demand; the
// range that needs capacity most is the one with the smallest capacity.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Assignment is what an engine holds or should hold.
type Assignment struct {
	Model   string
	Version string
	// First and Last are the layers, both inclusive.
	First int
	Last  int
}

func (a Assignment) layers() int { return a.Last - a.First + 1 }

// Engine is the state of one engine as last read.
type Engine struct {
	ID          string
	Zone        string
	Accelerator string
	// MaxLayers is the number of layers that the engine can hold; 0 means as many as any
	// engine with the same accelerator holds.
	MaxLayers int
	Held      Assignment
	// Loading is true while the engine loads the weights of Held.
	Loading bool
	// Fence is the highest fencing number that the engine has received.
	Fence uint64
	// ChecksFence is true if the engine refuses orders with a lower fencing number than Fence.
	ChecksFence bool
	// Live is false if the engine is down; Held and Loading are then the last known values.
	Live bool
	// Unresponsive is true if the last attempt to read the state failed, which does not prove
	// that the engine is down: its capacity is not relied on, and it is not replaced either.
	Unresponsive bool
	// Leaving is true if the engine accepts no new work.
	Leaving bool
	// Units is the number of sequences that the engine runs concurrently; 0 means 1.
	Units int
}

// isCurrent reports whether the state is current.
func (e *Engine) isCurrent() bool { return e.Live && !e.Unresponsive }

func (e *Engine) usable() bool { return e.isCurrent() && !e.Leaving && !e.Loading }

func (e *Engine) units() int { return max(e.Units, 1) }

// Model is a wanted model.
type Model struct {
	Name string
	// Version is the wanted version; empty means the version that most of the capacity is
	// planned for.
	Version string
	Layers  int
	// Demand is the number of sequences to run concurrently; 0 means 1.
	Demand int
}

func (m *Model) demand() int { return max(m.Demand, 1) }

// Margins holds the shares of its demand that a model keeps serving while its engines change.
type Margins struct {
	// RollShare is the share of its demand that a model still carries during a version
	// change.
	RollShare float64
	// Slack times its demand is the capacity that a model keeps when one of its engines is
	// reassigned to another range or model. The distance between 1 and Slack is the
	// hysteresis.
	Slack float64
}

// DefaultMargins returns a RollShare of 0.8 and a Slack of 1.25.
func DefaultMargins() Margins { return Margins{RollShare: 0.8, Slack: 1.25} }

// Input holds the state on which one planning step is based.
type Input struct {
	// Epoch is the fencing number of the leader.
	Epoch   uint64
	Engines []Engine
	Models  []Model
	// MaxLoads is the number of concurrent loads that the weight store allows.
	MaxLoads int
}

// Reason is the reason for an order.
type Reason uint8

const (
	// ReasonFence raises the fencing number of an engine and changes nothing else.
	ReasonFence Reason = iota
	// ReasonRepeat restores the target of an engine.
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

// Plan is the result of one planning step.
type Plan struct {
	Orders []Order
	// Loading is the number of engines that were loading before Orders.
	Loading int
	// Shortages holds the models whose planned capacity is below their demand, the one with
	// the smallest ratio first.
	Shortages []Shortage
	// Outdated is the number of engines with an old version of a wanted model.
	Outdated int
}

// Shortage is a model whose planned capacity is below its demand.
type Shortage struct {
	Model   string
	Planned int
	Demand  int
}

// Planner holds the targets of the engines during one leader's epoch. It is not safe for
// concurrent use.
type Planner struct {
	margins Margins
	epoch   uint64
	targets map[string]Assignment
}

// New returns a Planner without targets.
func New(margins Margins) *Planner {
	return &Planner{margins: margins, targets: map[string]Assignment{}}
}

// Target returns the target of an engine, or false before its state has been read.
func (p *Planner) Target(engine string) (Assignment, bool) {
	t, ok := p.targets[engine]
	return t, ok
}

// Step returns the orders to send now, given the state of the engines. It must be called again
// with the state read afterwards, and then repeats orders that were lost.
func (p *Planner) Step(in Input) Plan {
	p.syncTargets(in)
	v := newView(p.margins, in, p.targets)
	plan := Plan{Loading: v.loading}
	v.restoreTargets(p.targets)
	for v.loadBudget > 0 && v.relieveShortage() {
	}
	for v.loadBudget > 0 && v.rollOneEngine() {
	}
	for _, o := range v.orders {
		p.targets[o.Engine] = o.Target
	}
	plan.Orders = append(v.orders, fenceOrders(in, p.targets, v.reassigned)...)
	plan.Shortages = v.shortages()
	plan.Outdated = v.outdated()
	return plan
}

// syncTargets deletes the targets of an earlier epoch and of engines that are no longer listed. The
// target of a new engine is what it holds.
func (p *Planner) syncTargets(in Input) {
	if in.Epoch != p.epoch {
		p.targets = map[string]Assignment{}
		p.epoch = in.Epoch
	}
	seen := make(map[string]bool, len(in.Engines))
	for i := range in.Engines {
		e := &in.Engines[i]
		seen[e.ID] = true
		if _, known := p.targets[e.ID]; !known && e.isCurrent() {
			p.targets[e.ID] = e.Held
		}
	}
	maps.DeleteFunc(p.targets, func(id string, _ Assignment) bool { return !seen[id] })
}

// fenceOrders returns the orders that only raise fencing numbers.
func fenceOrders(in Input, targets map[string]Assignment, reassigned map[string]bool) []Order {
	var orders []Order
	for i := range in.Engines {
		e := &in.Engines[i]
		behind := e.isCurrent() && e.ChecksFence && e.Fence < in.Epoch
		if behind && !reassigned[e.ID] && targets[e.ID] == e.Held {
			orders = append(orders, Order{Engine: e.ID, Fence: in.Epoch, Target: e.Held, Reason: ReasonFence})
		}
	}
	return orders
}

// restoreTargets orders engines back to their targets. If an engine is leaving, or its model
// cannot do without what it holds now, that becomes its target instead.
func (v *view) restoreTargets(targets map[string]Assignment) {
	for i := range v.engines {
		e := &v.engines[i]
		target, known := targets[e.ID]
		if !e.isCurrent() || !known || target == e.Held {
			continue
		}
		switch {
		case e.Leaving || !v.mayRestore(e):
			targets[e.ID] = e.Held
			v.setTarget(i, e.Held)
		case v.loadBudget > 0 || e.Loading:
			v.addOrder(i, target, ReasonRepeat)
		}
	}
}

// mayRestore reports whether the model that the engine holds can do without it.
func (v *view) mayRestore(e *Engine) bool {
	m, wanted := v.models[e.Held.Model]
	if !wanted || !e.usable() {
		return true
	}
	return v.usableWithout(e) >= min(v.usable(m), v.rollFloor(m))
}

// relieveShortage orders loads for the model with the smallest ratio of planned capacity to
// demand for which engines are available.
func (v *view) relieveShortage() bool {
	for _, s := range v.shortages() {
		m := v.models[s.Model]
		if steps := v.extend(m); len(steps) > 0 {
			v.orderSteps(m, steps)
			return true
		}
	}
	return false
}

// orderSteps orders as many of the steps as the budget allows, those with the smallest capacity
// first. The next planning step plans the rest again from the state at that time.
func (v *view) orderSteps(m *Model, steps []step) {
	slices.SortStableFunc(steps, func(a, b step) int {
		return cmp.Compare(v.coverage(m, a.target), v.coverage(m, b.target))
	})
	for _, s := range steps {
		if v.loadBudget == 0 {
			return
		}
		reason := ReasonShortage
		if s.inPlace {
			reason = ReasonVersion
		}
		v.addOrder(s.engine, s.target, reason)
	}
}

// rollOneEngine orders a version change for one engine of the range with the smallest capacity in
// the wanted version.
func (v *view) rollOneEngine() bool {
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
		if coverage < bestCoverage && v.mayReassign(e) {
			best, bestCoverage, target = g.engine, coverage, next
		}
	}
	if best < 0 {
		return false
	}
	v.addOrder(best, target, ReasonVersion)
	return true
}

// shortages returns the models below their demand, the one with the smallest ratio first.
func (v *view) shortages() []Shortage {
	var out []Shortage
	for _, name := range v.modelNames {
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
