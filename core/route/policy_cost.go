package route

// Tolerance is how far above the lowest expected time, relative to it, a chain
// may be that PolicyCost draws.
const Tolerance = 0.1

// farthestShare is the relative weight in the draw of a candidate at the edge of
// the tolerance.
const farthestShare = 0.1

// costPolicy implements PolicyCost. A candidate takes part in the draw when its
// cost exceeds by at most Tolerance what the cheapest chain spends between the
// candidate's two ends. Those shares add up over the hops to the cost of the
// cheapest chain, so the whole chain is within the tolerance too.
//
// The draw favours low cost and free slots: instances with the same stale reports
// spread over the replicas that are nearly as good as the best one.
type costPolicy struct{}

func (costPolicy) pick(_ *Table, _ int, candidates []candidate, random uint64) int {
	total := 0.0
	for i := range candidates {
		total += candidates[i].drawWeight()
	}
	mark := unit(random) * total
	last := 0
	for i := range candidates {
		w := candidates[i].drawWeight()
		if w == 0 {
			continue
		}
		last = i
		mark -= w
		if mark < 0 {
			return i
		}
	}
	return last
}

func (c *candidate) drawWeight() float64 {
	allowed := Tolerance * (c.replica.cost - c.excess)
	if c.excess > allowed {
		return 0
	}
	near := 1.0
	if allowed > 0 {
		near -= (1 - farthestShare) * c.excess / allowed
	}
	return near * c.replica.weight * c.replica.free
}
