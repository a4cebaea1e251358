package placement

import (
	"cmp"
	"maps"
	"slices"
)

// maxPaths is the maximum number of paths tried for one model in one planning step.
const maxPaths = 16

// placeholderUnits is the number of units assumed for a range of a path while its engine is not
// chosen yet.
const placeholderUnits = 1

// step is one load that is part of a path that adds capacity.
type step struct {
	engine int
	target Assignment
	// inPlace is true when only the version changes.
	inPlace bool
}

// extend returns the smallest set of loads that raises the planned capacity of the wanted
// version. It returns nil if there is no path for which engines are available.
func (v *view) extend(m *Model) []step {
	banned := map[Assignment]bool{}
	for range maxPaths {
		path := v.cheapestPath(m, banned)
		if path == nil {
			return nil
		}
		steps, missing := v.assignEngines(m, path)
		if steps != nil {
			return steps
		}
		banned[missing] = true
	}
	return nil
}

// assignEngines chooses an engine for every range of the path, all of them together, or returns a
// range for which there is none. It leaves the view unchanged.
func (v *view) assignEngines(m *Model, path []Assignment) (steps []step, missing Assignment) {
	before := v.plannedUnits(m)
	held, planned := maps.Clone(v.held), maps.Clone(v.planned)
	var chosen []int
	defer func() {
		v.held, v.planned = held, planned
		for _, i := range chosen {
			v.target[i] = v.engines[i].Held
			delete(v.reassigned, v.engines[i].ID)
		}
	}()
	for _, target := range path {
		v.planned.add(target, placeholderUnits)
	}
	for _, target := range path {
		i := v.chooseEngine(m, target, before)
		if i < 0 {
			return nil, target
		}
		e := &v.engines[i]
		chosen = append(chosen, i)
		v.reassigned[e.ID] = true
		v.held.add(e.Held, -e.units())
		v.planned.add(target, -placeholderUnits)
		v.setTarget(i, target)
		steps = append(steps, step{engine: i, target: target, inPlace: sameRange(e.Held, target)})
	}
	return steps, Assignment{}
}

func sameRange(a, b Assignment) bool {
	return a.Model == b.Model && a.First == b.First && a.Last == b.Last
}

// chooseEngine returns the engine that should load target, or -1. It prefers, in this order, the
// old version of the same range, engines without a wanted model, the old version of other ranges,
// other ranges of the model, and other models; among equal ones the zone with the fewest units of
// target. before is the number of units planned for m without the path.
func (v *view) chooseEngine(m *Model, target Assignment, before int) int {
	groups := v.groups()
	unitsByZone := v.zoneUnits(target)
	slices.SortStableFunc(groups, func(a, b group) int {
		return cmp.Or(
			cmp.Compare(v.preference(m, target, a), v.preference(m, target, b)),
			cmp.Compare(unitsByZone[v.engines[a.engine].Zone], unitsByZone[v.engines[b.engine].Zone]),
		)
	})
	for _, g := range groups {
		e := &v.engines[g.engine]
		if e.Held == target || v.maxLayers(e) < target.layers() {
			continue
		}
		sameVersion := e.Held.Model == m.Name && e.Held.Version == m.Version
		if sameVersion && v.mayChangeRange(m, e, before) || !sameVersion && v.mayReassign(e) {
			return g.engine
		}
	}
	return -1
}

// zoneUnits returns the units of an assignment that are planned in each zone.
func (v *view) zoneUnits(a Assignment) map[string]int {
	units := map[string]int{}
	for i := range v.engines {
		e := &v.engines[i]
		if e.Live && !e.Leaving && v.target[i] == a {
			units[e.Zone] += e.units()
		}
	}
	return units
}

// preference returns the position of a group in the order of preference of chooseEngine; lower is
// better.
func (v *view) preference(m *Model, target Assignment, g group) int {
	held := v.engines[g.engine].Held
	other, wanted := v.models[held.Model]
	switch {
	case sameRange(held, target):
		return 0
	case !wanted:
		return 1
	case held.Version != other.Version && other == m:
		return 2
	case other == m:
		return 3
	default:
		return 4
	}
}

// cheapestPath returns the ranges to load along a shortest augmenting path (Ford and Fulkerson,
// 1956), or nil if there is no path. A range with spare units costs nothing, a version change in
// place has a low cost, and moving an engine from elsewhere a high one.
func (v *view) cheapestPath(m *Model, banned map[Assignment]bool) []Assignment {
	g := v.graph(m)
	g.saturate()
	v.addCandidates(g, m, banned)
	return g.cheapestLoads(m)
}

func (v *view) graph(m *Model) *search {
	var all []Assignment
	for i := range v.engines {
		e := &v.engines[i]
		if e.Live && !e.Leaving && v.target[i].Model == m.Name {
			all = append(all, v.target[i])
		}
	}
	bounds := splitLongRanges(boundaries(m.Layers, all), v.longestRange())
	g := newSearch(bounds)
	for a, units := range v.planned {
		if a.Model == m.Name && a.Version == m.Version {
			g.addUnits(a, units)
		}
	}
	return g
}

// longestRange returns the largest number of layers that any reassignable engine can hold.
func (v *view) longestRange() int {
	longest := 1
	for i := range v.engines {
		e := &v.engines[i]
		if e.usable() && !v.reassigned[e.ID] {
			longest = max(longest, v.maxLayers(e))
		}
	}
	return longest
}

// addCandidates sets the cost of every range that an engine could load.
func (v *view) addCandidates(g *search, m *Model, banned map[Assignment]bool) {
	setCost := func(a Assignment, cost int) {
		if !banned[a] {
			g.setCost(a, cost)
		}
	}
	longest := v.longestRange()
	for i, first := range g.boundaries {
		for _, next := range g.boundaries[i+1:] {
			if next-first <= longest {
				a := Assignment{Model: m.Name, Version: m.Version, First: first, Last: next - 1}
				setCost(a, costMove)
			}
		}
	}
	for a := range v.held {
		if a.Model == m.Name && a.Version != m.Version {
			a.Version = m.Version
			setCost(a, costRoll)
		}
	}
}

// splitLongRanges adds boundaries where two of them are more than longest layers apart.
func splitLongRanges(bounds []int, longest int) []int {
	out := bounds[:1:1]
	for _, b := range bounds[1:] {
		for out[len(out)-1]+longest < b {
			out = append(out, out[len(out)-1]+longest)
		}
		out = append(out, b)
	}
	return out
}
