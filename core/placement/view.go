package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"masticbank.example/core/capacity"
)

// view is the state of one planning step: what the engines hold, and their targets including the
// changes decided so far.
type view struct {
	margins    Margins
	epoch      uint64
	engines    []Engine
	models     map[string]*Model
	modelNames []string
	target     []Assignment // by engine index
	// held holds the units that can serve now, planned those of the targets.
	held    unitCounts
	planned unitCounts
	// longestHeld is the length of the longest range held or targeted, by kind of
	// accelerator.
	longestHeld map[string]int

	loading    int
	loadBudget int
	orders     []Order
	reassigned map[string]bool
}

// unitCounts holds the number of units of each assignment.
type unitCounts map[Assignment]int

func (c unitCounts) add(a Assignment, units int) {
	c[a] += units
	if c[a] == 0 {
		delete(c, a)
	}
}

func newView(margins Margins, in Input, targets map[string]Assignment) *view {
	v := &view{
		margins: margins, epoch: in.Epoch, engines: in.Engines,
		models: map[string]*Model{}, target: make([]Assignment, len(in.Engines)),
		held: unitCounts{}, planned: unitCounts{}, longestHeld: map[string]int{}, reassigned: map[string]bool{},
	}
	for i := range in.Engines {
		v.addEngine(i, targets)
	}
	for _, m := range in.Models {
		if m.Version == "" {
			m.Version = v.commonVersion(m.Name)
		}
		if m.Version != "" && m.Layers > 0 {
			v.models[m.Name] = &m
		}
	}
	v.modelNames = slices.Sorted(maps.Keys(v.models))
	v.loadBudget = max(0, in.MaxLoads-v.loading)
	return v
}

func (v *view) addEngine(i int, targets map[string]Assignment) {
	e := &v.engines[i]
	v.target[i] = e.Held
	if t, known := targets[e.ID]; known {
		v.target[i] = t
	}
	pending := !e.isCurrent() && v.target[i] != e.Held
	if e.Loading || pending {
		v.loading++
	}
	v.longestHeld[e.Accelerator] = max(v.longestHeld[e.Accelerator], e.Held.layers(), v.target[i].layers())
	if e.usable() {
		v.held.add(e.Held, e.units())
	}
	if e.Live && !e.Leaving {
		v.planned.add(v.target[i], e.units())
	}
}

// maxLayers returns the number of layers that the engine can hold.
func (v *view) maxLayers(e *Engine) int {
	if e.MaxLayers > 0 {
		return e.MaxLayers
	}
	return v.longestHeld[e.Accelerator]
}

// commonVersion returns the version of the model with the most planned units, the highest one if
// several are equal.
func (v *view) commonVersion(model string) string {
	units := map[string]int{}
	for a, n := range v.planned {
		if a.Model == model {
			units[a.Version] += n
		}
	}
	best := ""
	for _, version := range slices.Sorted(maps.Keys(units)) {
		if best == "" || units[version] >= units[best] {
			best = version
		}
	}
	return best
}

func (v *view) setTarget(i int, a Assignment) {
	e := &v.engines[i]
	if e.Live && !e.Leaving {
		v.planned.add(v.target[i], -e.units())
		v.planned.add(a, e.units())
	}
	v.target[i] = a
}

// addOrder sets the engine's target, records the order and counts its load.
func (v *view) addOrder(i int, target Assignment, reason Reason) {
	e := &v.engines[i]
	if e.usable() {
		v.held.add(e.Held, -e.units())
	}
	if !e.Loading {
		v.loadBudget--
	}
	v.setTarget(i, target)
	v.reassigned[e.ID] = true
	v.orders = append(v.orders, Order{Engine: e.ID, Fence: v.epoch, Target: target, Reason: reason})
}

// usable returns the units that the model can serve now, summed over all versions.
func (v *view) usable(m *Model) int {
	versions := map[string]unitCounts{}
	for a, units := range v.held {
		if a.Model != m.Name {
			continue
		}
		if versions[a.Version] == nil {
			versions[a.Version] = unitCounts{}
		}
		versions[a.Version][a] = units
	}
	total := 0
	for _, counts := range versions {
		total += maxFlow(m.Layers, slices.Collect(maps.Keys(counts)), counts)
	}
	return total
}

// plannedUnits returns the planned units of the wanted version.
func (v *view) plannedUnits(m *Model) int {
	var ranges []Assignment
	for a := range v.planned {
		if a.Model == m.Name && a.Version == m.Version {
			ranges = append(ranges, a)
		}
	}
	return maxFlow(m.Layers, ranges, v.planned)
}

// allVersions returns the units that the model would serve if all its engines had the same
// version.
func (v *view) allVersions(m *Model) int {
	var ranges []Assignment
	for a := range v.planned {
		if a.Model == m.Name {
			ranges = append(ranges, a)
		}
	}
	return maxFlow(m.Layers, ranges, v.planned)
}

// usableWithout returns the units that the model of a usable engine can serve without it.
func (v *view) usableWithout(e *Engine) int {
	v.held.add(e.Held, -e.units())
	defer v.held.add(e.Held, e.units())
	return v.usable(v.models[e.Held.Model])
}

// rollFloor returns the units that the model must keep during a version change.
func (v *view) rollFloor(m *Model) int {
	need := min(m.demand(), v.allVersions(m))
	return max(1, int(math.Ceil(v.margins.RollShare*float64(need))))
}

// moveFloor returns the units that the model must keep when an engine is reassigned.
func (v *view) moveFloor(m *Model) int {
	return max(1, int(math.Ceil(v.margins.Slack*float64(m.demand()))))
}

// mayReassign reports whether the engine may be reassigned.
func (v *view) mayReassign(e *Engine) bool {
	m, wanted := v.models[e.Held.Model]
	if !wanted {
		return true
	}
	if e.Held.Version != m.Version {
		return v.usableWithout(e) >= min(v.usable(m), v.rollFloor(m))
	}
	floor := v.moveFloor(m)
	return v.keepsServing(m, e) && v.plannedWithout(e) >= min(v.plannedUnits(m), floor)
}

// mayChangeRange reports whether an engine with the wanted version of m may change to another
// range: the planned units, including the rest of the path, must then exceed before.
func (v *view) mayChangeRange(m *Model, e *Engine, before int) bool {
	return v.keepsServing(m, e) && v.plannedWithout(e) > before
}

// keepsServing reports whether the model can do without the engine while it loads.
func (v *view) keepsServing(m *Model, e *Engine) bool {
	return v.usableWithout(e) >= min(v.usable(m), v.moveFloor(m))
}

// plannedWithout returns the planned units of an engine's model without that engine.
func (v *view) plannedWithout(e *Engine) int {
	v.planned.add(e.Held, -e.units())
	defer v.planned.add(e.Held, e.units())
	return v.plannedUnits(v.models[e.Held.Model])
}

// coverage returns the smallest number of planned units of any layer of the range.
func (v *view) coverage(m *Model, r Assignment) int {
	least := math.MaxInt
	for layer := r.First; layer <= r.Last; layer++ {
		units := 0
		for a, n := range v.planned {
			if a.Model == m.Name && a.Version == m.Version && a.First <= layer && layer <= a.Last {
				units += n
			}
		}
		least = min(least, units)
	}
	return least
}

// group is a set of interchangeable engines: they have the same assignment, zone, units and maximum
// number of layers.
type group struct {
	// engine is the index of the engine with the lowest ID.
	engine int
	size   int
}

type groupKey struct {
	held      Assignment
	units     int
	maxLayers int
	zone      string
}

// groups returns the engines that may be reassigned, the largest groups first.
func (v *view) groups() []group {
	byKey := map[groupKey]*group{}
	for i := range v.engines {
		e := &v.engines[i]
		if !e.usable() || v.reassigned[e.ID] || v.target[i] != e.Held {
			continue
		}
		key := groupKey{held: e.Held, units: e.units(), maxLayers: v.maxLayers(e), zone: e.Zone}
		g := byKey[key]
		if g == nil {
			byKey[key] = &group{engine: i, size: 1}
			continue
		}
		g.size++
		if e.ID < v.engines[g.engine].ID {
			g.engine = i
		}
	}
	out := make([]group, 0, len(byKey))
	for _, g := range byKey {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b group) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(v.engines[a.engine].ID, v.engines[b.engine].ID))
	})
	return out
}

// maxFlow returns the units that exact tilings of the ranges carry. Adjacent layers without a
// boundary of a range between them are counted as one.
func maxFlow(layers int, ranges []Assignment, units unitCounts) int {
	bounds := boundaries(layers, ranges)
	edges := make([]capacity.Edge, 0, len(ranges))
	for _, a := range ranges {
		first, ok1 := slices.BinarySearch(bounds, a.First)
		next, ok2 := slices.BinarySearch(bounds, a.Last+1)
		if ok1 && ok2 {
			edges = append(edges, capacity.Edge{First: first, Last: next - 1, Units: units[a]})
		}
	}
	return capacity.Max(len(bounds)-1, edges)
}

// boundaries returns the sorted boundaries of the ranges, including 0 and layers.
func boundaries(layers int, ranges []Assignment) []int {
	bounds := []int{0, layers}
	for _, a := range ranges {
		if a.First >= 0 && a.First < layers {
			bounds = append(bounds, a.First)
		}
		if a.Last >= 0 && a.Last+1 < layers {
			bounds = append(bounds, a.Last+1)
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}
