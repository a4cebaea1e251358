package route

import "math"

// search computes, for each layer boundary, the lowest cost from there to the
// end, over replicas that have room. It is a dynamic program over the acyclic
// graph whose nodes are boundaries and whose edges are replicas.
func (t *Table) search(now int64, req *Request) {
	for b := range t.best {
		t.best[b] = math.Inf(1)
	}
	t.best[t.layers] = 0
	for b := t.layers - 1; b >= 0; b-- {
		for _, g := range t.from[b] {
			rest := t.best[g.next]
			if math.IsInf(rest, 1) {
				continue
			}
			t.best[b] = min(t.best[b], t.priceGroup(now, req, g)+rest)
		}
	}
}

// priceGroup sets the cost of each member and returns the lowest.
func (t *Table) priceGroup(now int64, req *Request, g *group) float64 {
	lowest := math.Inf(1)
	for _, r := range g.members {
		r.cost = math.Inf(1)
		if !t.usable(r) || t.full(now, r) {
			continue
		}
		r.cost = t.terms(now, req, r, t.cachedPart(r)).Total()
		r.free = max(r.slots()-float64(r.expected(now, t.instances)), 1)
		lowest = min(lowest, r.cost)
	}
	return lowest
}

// usable tells whether the choice under way may use the replica, leaving aside
// whether it has room.
func (t *Table) usable(r *replica) bool {
	return r.weight > 0 && r.excludedAt != t.stamp
}

func (t *Table) cachedPart(r *replica) float64 {
	if r.cachedAt != t.stamp {
		return 0
	}
	return r.cached
}

// explainFailure returns why no chain was found.
func (t *Table) explainFailure(now int64) Decision {
	missing, lacking := t.gap(t.usable)
	if !lacking {
		missing, _ = t.gap(func(r *replica) bool { return t.usable(r) && !t.full(now, r) })
		return Decision{Outcome: Full, Missing: missing}
	}
	inUse := func(r *replica) bool { return r.weight > 0 }
	if _, still := t.gap(inUse); !still {
		return Decision{Outcome: OnlyExcluded, Missing: missing}
	}
	missing, _ = t.gap(inUse)
	return Decision{Outcome: NoTiling, Missing: missing}
}

// gap returns the smallest range of layers that, were a replica of it allowed,
// would complete a chain of allowed replicas. It returns false when they complete
// one already.
func (t *Table) gap(allowed func(*replica) bool) (Range, bool) {
	t.reach(allowed)
	if t.forward[t.layers] {
		return Range{}, false
	}
	found := Range{First: 0, Last: t.layers - 1}
	begin := 0
	for b := 1; b <= t.layers; b++ {
		if t.backward[b] && b-1-begin < found.Last-found.First {
			found = Range{First: begin, Last: b - 1}
		}
		if t.forward[b] {
			begin = b
		}
	}
	return found, true
}

// reach sets forward to the boundaries that allowed replicas reach from the first
// layer, and backward to those from which they reach the end.
func (t *Table) reach(allowed func(*replica) bool) {
	clear(t.forward)
	clear(t.backward)
	t.forward[0] = true
	t.backward[t.layers] = true
	for b := range t.layers {
		for _, g := range t.from[b] {
			if t.forward[b] && g.any(allowed) {
				t.forward[g.next] = true
			}
		}
	}
	for b := t.layers - 1; b >= 0; b-- {
		for _, g := range t.from[b] {
			if t.backward[g.next] && g.any(allowed) {
				t.backward[b] = true
			}
		}
	}
}

func (g *group) any(allowed func(*replica) bool) bool {
	for _, r := range g.members {
		if allowed(r) {
			return true
		}
	}
	return false
}
