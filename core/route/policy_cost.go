package route

import (
	"math"
	"time"
)

const (
	// MinTolerance is the tolerance while the other instances are idle. The
	// expected time of a path picked by PolicyCost is at most 1+tolerance times
	// the lowest.
	MinTolerance = 0.1
	// MaxTolerance is the upper bound of the tolerance, reached when the other
	// instances choose often.
	MaxTolerance = 1.0
	// toleranceStep is the increase of the tolerance for each choice that
	// another instance is expected to have made since the last load reports.
	toleranceStep = 0.1
	// rateWindow is the time constant over which own choices are counted. Load
	// reports are expected once per window.
	rateWindow = time.Second
	// edgeCloseness is the closeness of a candidate at the limit of the
	// tolerance; the cheapest candidate has 1. The weight in the draw is
	// proportional to its square.
	edgeCloseness = 0.1
)

// costPolicy implements PolicyCost. A candidate can be drawn if its excess cost
// is at most the tolerance times the cost of the cheapest path between the
// candidate's two ends. Those costs add up over the stages to that of the
// cheapest path, so the whole path is within the tolerance too.
//
// The draw favors low cost and free slots: instances with the same stale
// reports spread over the replicas that are nearly as good as the best one. The
// tolerance, and with it the spread, grows with the rate of choices of the
// other instances.
type costPolicy struct {
	// fixedTolerance replaces the table's tolerance unless it is negative.
	fixedTolerance float64
}

func (p costPolicy) pick(t *Table, _ int, candidates []candidate, random uint64) int {
	tolerance := t.tolerance
	if p.fixedTolerance >= 0 {
		tolerance = p.fixedTolerance
	}
	total := 0.0
	for i := range candidates {
		total += candidates[i].drawWeight(tolerance)
	}
	remaining := unitFloat(random) * total
	last := 0
	for i := range candidates {
		w := candidates[i].drawWeight(tolerance)
		if w == 0 {
			continue
		}
		last = i
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return last
}

// drawWeight returns the candidate's relative weight in the draw; 0 means that
// it is out of tolerance.
func (c *candidate) drawWeight(tolerance float64) float64 {
	allowed := tolerance * (c.replica.cost - c.excessCost)
	if c.excessCost > allowed {
		return 0
	}
	closeness := 1.0
	if allowed > 0 {
		closeness -= (1 - edgeCloseness) * c.excessCost / allowed
	}
	return closeness * closeness * c.replica.weight * c.replica.freeSlots
}

// choiceRate estimates the number of own choices within the last rateWindow,
// with exponential decay.
type choiceRate struct {
	count     float64
	updatedAt int64
}

func (c *choiceRate) decay(now int64) {
	if elapsed := now - c.updatedAt; elapsed > 0 {
		c.count *= math.Exp(-float64(elapsed) / float64(rateWindow))
		c.updatedAt = now
	}
}

// currentTolerance returns the tolerance, assuming that each other instance
// chooses at the same rate as this one.
func (t *Table) currentTolerance(now int64) float64 {
	t.choiceRate.decay(now)
	others := t.choiceRate.count * float64(t.instances-1)
	return min(MinTolerance+toleranceStep*others, MaxTolerance)
}
