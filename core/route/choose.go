package route

import (
	"math"
	"time"
)

// typicalStages is the initial capacity of a path's list of stages.
const typicalStages = 4

// candidate is a replica that can run the next layers of the path being built
// and from whose end the path can be completed.
type candidate struct {
	replica   *replica
	nextLayer int
	// excessCost is the cost of the cheapest path through the replica minus that of
	// the cheapest path from the same layer, in seconds.
	excessCost float64
}

// Choose picks a path for the request at time now. random is a uniformly
// distributed random number; equal arguments on equal tables give equal
// results.
//
// Under PolicyCost the expected time of the path is at most 1+MaxTolerance
// times the lowest of all paths, and at most 1+MinTolerance times if this is
// the only instance or the others are idle.
func (t *Table) Choose(now time.Time, req Request, random uint64) Decision {
	at := now.UnixNano()
	t.beginChoice(at, &req)
	t.withinShares = t.live != nil
	t.search(at, &req)
	if t.withinShares && math.IsInf(t.lowestCost[0], 1) {
		t.withinShares = false
		t.search(at, &req)
	}
	if math.IsInf(t.lowestCost[0], 1) {
		return t.explainFailure(at)
	}
	t.choiceRate.count++
	return Decision{Outcome: Chosen, Path: t.drawPath(random)}
}

// beginChoice starts a choice: it marks the excluded replicas and the expected
// cache hits.
func (t *Table) beginChoice(now int64, req *Request) {
	t.stamp++
	t.tolerance = t.currentTolerance(now)
	for _, id := range req.Exclude {
		if r, ok := t.replicas[id]; ok {
			r.excludedStamp = t.stamp
		}
	}
	t.cache.markCached(now, req.Blocks, t.stamp)
}

// drawPath builds a path from the first layer on. The policy picks the replica
// of each stage.
func (t *Table) drawPath(random uint64) Path {
	stages := make([]Stage, 0, typicalStages)
	total := 0.0
	t.source.Seed(random, 0)
	for b := 0; b < t.layers; {
		t.collectCandidates(b)
		c := t.candidates[t.policy.pick(t, b, t.candidates, t.source.Uint64())]
		stages = append(stages, Stage{ReplicaID: c.replica.ID, First: b, Last: c.nextLayer - 1})
		total += c.replica.cost
		b = c.nextLayer
	}
	return Path{Stages: stages, Expected: durationOf(total)}
}

// collectCandidates lists the candidates at layer boundary b.
func (t *Table) collectCandidates(b int) {
	t.candidates = t.candidates[:0]
	for _, g := range t.groupsFrom[b] {
		rest := t.lowestCost[g.nextLayer]
		if math.IsInf(rest, 1) {
			continue
		}
		for _, r := range g.members {
			if math.IsInf(r.cost, 1) {
				continue
			}
			excess := r.cost + rest - t.lowestCost[b]
			t.candidates = append(t.candidates, candidate{replica: r, nextLayer: g.nextLayer, excessCost: excess})
		}
	}
}

// durationOf converts seconds to a duration.
func durationOf(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// unitFloat maps a random number to [0, 1).
func unitFloat(random uint64) float64 {
	return float64(random>>11) / (1 << 53)
}

// intBelow maps a random number to [0, n).
func intBelow(random uint64, n int) int {
	return int(unitFloat(random) * float64(n))
}
