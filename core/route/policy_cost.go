package route

import (
	"math"
	"time"
)

const (
	// MinTolerance is how far above the lowest expected time, relative to it, a
	// chain may be that PolicyCost draws while the other instances are idle.
	MinTolerance = 0.1
	// MaxTolerance is the same while they choose often.
	MaxTolerance = 1.0
	// toleranceStep is the rise of the tolerance for each choice that another
	// instance is expected to have made since the last reports.
	toleranceStep = 0.1
	// rateWindow is the period over which own choices are counted. Load reports
	// are expected once in it.
	rateWindow = time.Second
	// farthestShare is the relative weight in the draw of a candidate at the edge
	// of the tolerance.
	farthestShare = 0.1
)

// costPolicy implements PolicyCost. A candidate takes part in the draw when its
// cost exceeds by at most the tolerance what the cheapest chain spends between the
// candidate's two ends. Those shares add up over the hops to the cost of the
// cheapest chain, so the whole chain is within the tolerance too.
//
// The draw favours low cost and free slots: instances with the same stale reports
// spread over the replicas that are nearly as good as the best one. The more
// choices the others are making, the wider the spread.
type costPolicy struct {
	// fixed is used in place of the table's tolerance unless it is negative.
	fixed float64
}

func (p costPolicy) pick(t *Table, _ int, candidates []candidate, random uint64) int {
	tolerance := t.tolerance
	if p.fixed >= 0 {
		tolerance = p.fixed
	}
	total := 0.0
	for i := range candidates {
		total += candidates[i].drawWeight(tolerance)
	}
	mark := unit(random) * total
	last := 0
	for i := range candidates {
		w := candidates[i].drawWeight(tolerance)
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

func (c *candidate) drawWeight(tolerance float64) float64 {
	allowed := tolerance * (c.replica.cost - c.excess)
	if c.excess > allowed {
		return 0
	}
	near := 1.0
	if allowed > 0 {
		near -= (1 - farthestShare) * c.excess / allowed
	}
	return near * near * c.replica.weight * c.replica.free
}

// choiceRate estimates the number of own choices within the last rateWindow, with
// exponentially falling weights.
type choiceRate struct {
	count float64
	at    int64
}

func (c *choiceRate) decay(now int64) {
	if passed := now - c.at; passed > 0 {
		c.count *= math.Exp(-float64(passed) / float64(rateWindow))
		c.at = now
	}
}

// toleranceFor returns the tolerance when the other instances choose at the same
// rate as this one.
func (t *Table) toleranceFor(now int64) float64 {
	t.rate.decay(now)
	others := t.rate.count * float64(t.instances-1)
	return min(MinTolerance+toleranceStep*others, MaxTolerance)
}
