package route

import "math"

// search computes, for each layer boundary, the lowest cost from there to the
// end over the replicas below their limit. It is a dynamic program over the
// acyclic graph whose nodes are the boundaries and whose edges are the
// replicas.
func (t *Table) search(now int64, req *Request) {
	for b := range t.lowestCost {
		t.lowestCost[b] = math.Inf(1)
	}
	t.lowestCost[t.layers] = 0
	for b := t.layers - 1; b >= 0; b-- {
		for _, g := range t.groupsFrom[b] {
			rest := t.lowestCost[g.nextLayer]
			if math.IsInf(rest, 1) {
				continue
			}
			t.lowestCost[b] = min(t.lowestCost[b], t.computeCosts(now, req, g)+rest)
		}
	}
}

// computeCosts sets the cost of each member and returns the lowest.
func (t *Table) computeCosts(now int64, req *Request, g *group) float64 {
	lowest := math.Inf(1)
	for _, r := range g.members {
		r.cost = math.Inf(1)
		if !t.usable(r) || t.atLimit(now, r) {
			continue
		}
		r.cost = t.costTerms(now, req, r, t.cachedFraction(r)).Total()
		r.freeSlots = max(r.slots()-float64(r.expectedOccupancy(now, t.instances)), 1)
		lowest = min(lowest, r.cost)
	}
	return lowest
}

// usable reports whether the current choice may use the replica, apart from its
// limit.
func (t *Table) usable(r *replica) bool {
	return r.weight > 0 && r.excludedStamp != t.stamp
}

// cachedFraction returns the fraction of the prompt, 0 to 1, expected in the
// replica's prefix cache.
func (t *Table) cachedFraction(r *replica) float64 {
	if r.cachedStamp != t.stamp {
		return 0
	}
	return r.cachedFraction
}

// explainFailure returns the reason why no path was found.
func (t *Table) explainFailure(now int64) Decision {
	missing, lacking := t.missingRange(t.usable)
	if !lacking {
		missing, _ = t.missingRange(func(r *replica) bool { return t.usable(r) && !t.atLimit(now, r) })
		return Decision{Outcome: AllAtLimit, Missing: missing}
	}
	inUse := func(r *replica) bool { return r.weight > 0 }
	if _, still := t.missingRange(inUse); !still {
		return Decision{Outcome: OnlyExcluded, Missing: missing}
	}
	missing, _ = t.missingRange(inUse)
	return Decision{Outcome: NoTiling, Missing: missing}
}

// missingRange returns the smallest range of layers for which one more replica
// would complete a path of allowed replicas. It returns false if they complete
// one already.
func (t *Table) missingRange(allowed func(*replica) bool) (Range, bool) {
	t.computeReachability(allowed)
	if t.reachableFromStart[t.layers] {
		return Range{}, false
	}
	found := Range{First: 0, Last: t.layers - 1}
	start := 0
	for b := 1; b <= t.layers; b++ {
		if t.reachesEnd[b] && b-1-start < found.Last-found.First {
			found = Range{First: start, Last: b - 1}
		}
		if t.reachableFromStart[b] {
			start = b
		}
	}
	return found, true
}

// computeReachability sets reachableFromStart for the boundaries that allowed
// replicas can reach from the first layer, and reachesEnd for those from which
// they can reach the end.
func (t *Table) computeReachability(allowed func(*replica) bool) {
	clear(t.reachableFromStart)
	clear(t.reachesEnd)
	t.reachableFromStart[0] = true
	t.reachesEnd[t.layers] = true
	for b := range t.layers {
		for _, g := range t.groupsFrom[b] {
			if t.reachableFromStart[b] && g.anyMember(allowed) {
				t.reachableFromStart[g.nextLayer] = true
			}
		}
	}
	for b := t.layers - 1; b >= 0; b-- {
		for _, g := range t.groupsFrom[b] {
			if t.reachesEnd[g.nextLayer] && g.anyMember(allowed) {
				t.reachesEnd[b] = true
			}
		}
	}
}

func (g *group) anyMember(allowed func(*replica) bool) bool {
	for _, r := range g.members {
		if allowed(r) {
			return true
		}
	}
	return false
}
