package placement

import (
	"cmp"
	"maps"
	"slices"
)

// maxSearches bounds the paths tried for one model in one decision.
const maxSearches = 16

// placeholder is the units of a range of a path whose engine is not known yet.
const placeholder = 1

// step is one load of a path that adds capacity.
type step struct {
	engine int
	target Assignment
	// inPlace is true when only the version changes.
	inPlace bool
}

// extend finds the fewest loads that raise the planned capacity of the wanted
// version. It returns nil when the engines for no path can be spared.
func (v *view) extend(m *Model) []step {
	banned := map[Assignment]bool{}
	for range maxSearches {
		path := v.search(m, banned)
		if path == nil {
			return nil
		}
		steps, missing := v.staff(m, path)
		if steps != nil {
			return steps
		}
		banned[missing] = true
	}
	return nil
}

// staff finds an engine for every range of the path, all to be taken at once, or
// returns a range without one. It leaves the view as it was.
func (v *view) staff(m *Model, path []Assignment) (steps []step, missing Assignment) {
	before := v.plannedUnits(m)
	held, planned := maps.Clone(v.held), maps.Clone(v.planned)
	var taken []int
	defer func() {
		v.held, v.planned = held, planned
		for _, i := range taken {
			v.target[i] = v.engines[i].Held
			delete(v.changed, v.engines[i].ID)
		}
	}()
	for _, target := range path {
		v.planned.add(target, placeholder)
	}
	for _, target := range path {
		i := v.donor(m, target, before)
		if i < 0 {
			return nil, target
		}
		e := &v.engines[i]
		taken = append(taken, i)
		v.changed[e.ID] = true
		v.held.add(e.Held, -e.units())
		v.planned.add(target, -placeholder)
		v.setTarget(i, target)
		steps = append(steps, step{engine: i, target: target, inPlace: sameRange(e.Held, target)})
	}
	return steps, Assignment{}
}

func sameRange(a, b Assignment) bool {
	return a.Model == b.Model && a.First == b.First && a.Last == b.Last
}

// donor returns the engine to load target, or -1: the old version of the same
// range first, then engines without a wanted model, then the old version of
// other ranges, other ranges, and other models; of these the one in the zone that
// has fewest units of target. before is what was planned for m without the path.
func (v *view) donor(m *Model, target Assignment, before int) int {
	groups := v.groups()
	there := v.zoneUnits(target)
	slices.SortStableFunc(groups, func(a, b group) int {
		return cmp.Or(
			cmp.Compare(v.class(m, target, a), v.class(m, target, b)),
			cmp.Compare(there[v.engines[a.engine].Zone], there[v.engines[b.engine].Zone]),
		)
	})
	for _, g := range groups {
		e := &v.engines[g.engine]
		if e.Held == target || v.maxLayers(e) < target.layers() {
			continue
		}
		own := e.Held.Model == m.Name && e.Held.Version == m.Version
		if own && v.mayShift(m, e, before) || !own && v.mayTake(e) {
			return g.engine
		}
	}
	return -1
}

// zoneUnits returns the units that each zone is to have of an assignment.
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

func (v *view) class(m *Model, target Assignment, g group) int {
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

// search returns the ranges to load along a shortest augmenting path (Ford and
// Fulkerson, 1956): a range with spare units costs nothing, a version change in
// place little and an engine from elsewhere much. It returns nil when there is
// no path.
func (v *view) search(m *Model, banned map[Assignment]bool) []Assignment {
	g := v.graph(m)
	g.saturate()
	v.addCandidates(g, m, banned)
	return g.cheapest(m)
}

func (v *view) graph(m *Model) *search {
	var all []Assignment
	for i := range v.engines {
		e := &v.engines[i]
		if e.Live && !e.Leaving && v.target[i].Model == m.Name {
			all = append(all, v.target[i])
		}
	}
	cuts := split(boundaries(m.Layers, all), v.longest())
	g := newSearch(cuts)
	for a, units := range v.planned {
		if a.Model == m.Name && a.Version == m.Version {
			g.addUnits(a, units)
		}
	}
	return g
}

// longest returns the longest range that any movable engine can hold.
func (v *view) longest() int {
	longest := 1
	for i := range v.engines {
		e := &v.engines[i]
		if e.usable() && !v.changed[e.ID] {
			longest = max(longest, v.maxLayers(e))
		}
	}
	return longest
}

// addCandidates prices every range that an engine could load.
func (v *view) addCandidates(g *search, m *Model, banned map[Assignment]bool) {
	price := func(a Assignment, cost int) {
		if !banned[a] {
			g.setCost(a, cost)
		}
	}
	longest := v.longest()
	for i, first := range g.cuts {
		for _, next := range g.cuts[i+1:] {
			if next-first <= longest {
				a := Assignment{Model: m.Name, Version: m.Version, First: first, Last: next - 1}
				price(a, costMove)
			}
		}
	}
	for a := range v.held {
		if a.Model == m.Name && a.Version != m.Version {
			a.Version = m.Version
			price(a, costRoll)
		}
	}
}

// split adds boundaries where the distance is more than longest.
func split(cuts []int, longest int) []int {
	out := cuts[:1:1]
	for _, c := range cuts[1:] {
		for out[len(out)-1]+longest < c {
			out = append(out, out[len(out)-1]+longest)
		}
		out = append(out, c)
	}
	return out
}
