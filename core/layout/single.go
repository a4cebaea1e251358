package layout

import (
	"cmp"
	"slices"
)

// minMoveGain is the smallest relative gain in cost for which the layers of a working replica are
// changed. Requests through released layers block the replica's next assignment for seconds.
const minMoveGain = 0.05

// planSingle plans a group with a single pipeline replica by what callers pay for each layer: the
// time of a token, missing KV cache and single holders.
func (p *plan) planSingle(stable bool) {
	p.placeEmpty()
	p.closeGaps()
	p.fillWithRedundant()
	if stable && len(p.assignments) == 0 && !p.anyPending() {
		p.improve()
	}
}

// placeEmpty assigns layers to the replicas that hold none, those with the most memory for their step
// time first: what comes last is left to hold layers a second time.
func (p *plan) placeEmpty() {
	var empty []*Replica
	for i := range p.replicas {
		if p.replicas[i].isEmpty() {
			empty = append(empty, &p.replicas[i])
		}
	}
	if len(empty) == 0 {
		return
	}
	slices.SortStableFunc(empty, func(a, b *Replica) int {
		ka, kb := p.model.Kinds[a.Kind], p.model.Kinds[b.Kind]
		return cmp.Or(cmp.Compare(kb.MemoryMB*ka.StepFactor, ka.MemoryMB*kb.StepFactor), cmp.Compare(kb.MemoryMB, ka.MemoryMB))
	})
	c := p.newCoverage()
	for _, r := range empty {
		best := c.bestPlacement(r, maxLayers(p.model, r.Kind, minCacheShare), anyRange)
		if best.replica == nil {
			continue
		}
		p.assign(r, best.from, best.to, "empty")
		c.add(r, best.from, best.to)
	}
}

func anyRange(int, int) bool { return true }

// closeGaps assigns layers that no replica holds to replicas next to them, which keep what they
// hold, or to replicas whose layers others hold too.
func (p *plan) closeGaps() {
	for loads := 0; p.model.MaxConcurrentLoads <= 0 || loads < p.model.MaxConcurrentLoads; loads++ {
		from, to := p.longestGap()
		if from == to {
			return
		}
		c := p.newCoverage()
		best := p.bestMove(c, c.cost(), func(f, t int) bool { return f < to && t > from }, false)
		if best.replica == nil {
			return
		}
		p.assign(best.replica, best.from, best.to, "replica gone")
	}
}

// improve makes the one change to working replicas that lowers the cost most, if it is worth it.
func (p *plan) improve() {
	c := p.newCoverage()
	limit := c.cost() * (1 - minMoveGain)
	if best := p.bestMove(c, limit, anyRange, true); best.replica != nil {
		p.assign(best.replica, best.from, best.to, "improves")
	}
}

// bestMove returns the change to a replica without a pending assignment that leads to the lowest
// cost below limit: a range that includes what it holds or, if others hold all of it, any range.
// With release, a replica may also give up layers that others hold. Only allowed ranges count.
func (p *plan) bestMove(c *coverage, limit float64, allowed func(from, to int) bool, release bool) placement {
	best := placement{cost: limit}
	for i := range p.replicas {
		r := &p.replicas[i]
		if r.pending() || r.To <= r.From {
			continue
		}
		redundant := c.redundant(r)
		m := c.bestPlacement(r, maxLayers(p.model, r.Kind, minCacheShare), func(from, to int) bool {
			if from == r.From && to == r.To || !allowed(from, to) {
				return false
			}
			keeps := from <= r.From && to >= r.To
			return keeps || redundant || release && c.releasable(r, from, to)
		})
		if m.replica != nil && m.cost < best.cost {
			best = m
		}
	}
	return best
}
