package route

import (
	"math"
	"time"
)

// typicalHops is the capacity that a chain starts with.
const typicalHops = 4

// candidate is a replica that can run the next layers of the chain under way, and
// from whose end the chain can be completed.
type candidate struct {
	replica *replica
	next    int
	// excess is by how much the cheapest chain through the replica costs more
	// than the cheapest chain from the same layer, in seconds.
	excess float64
}

// Choose picks a chain for the request at time now. random is a uniformly random
// number; equal arguments on equal tables give equal choices.
//
// Under PolicyCost the chain's expected time is at most 1+MaxTolerance times the
// lowest of all chains, and at most 1+MinTolerance times while this instance is the
// only one or the others are idle.
func (t *Table) Choose(now time.Time, req Request, random uint64) Decision {
	at := now.UnixNano()
	t.begin(at, &req)
	t.withinParts = t.live != nil
	t.search(at, &req)
	if t.withinParts && math.IsInf(t.best[0], 1) {
		t.withinParts = false
		t.search(at, &req)
	}
	if math.IsInf(t.best[0], 1) {
		return t.explainFailure(at)
	}
	t.rate.count++
	return Decision{Outcome: Chosen, Chain: t.walk(random)}
}

// begin starts a choice: it marks excluded replicas and expected cache hits.
func (t *Table) begin(now int64, req *Request) {
	t.stamp++
	t.tolerance = t.toleranceFor(now)
	for _, id := range req.Exclude {
		if r, ok := t.replicas[id]; ok {
			r.excludedAt = t.stamp
		}
	}
	t.cache.mark(now, req.Blocks, t.stamp)
}

// walk builds a chain from the first layer on, one draw of the policy a hop.
func (t *Table) walk(random uint64) Chain {
	hops := make([]Hop, 0, typicalHops)
	total := 0.0
	t.source.Seed(random, 0)
	for b := 0; b < t.layers; {
		t.collect(b)
		c := t.candidates[t.rule.pick(t, b, t.candidates, t.source.Uint64())]
		hops = append(hops, Hop{ReplicaID: c.replica.ID, First: b, Last: c.next - 1})
		total += c.replica.cost
		b = c.next
	}
	return Chain{Hops: hops, Expected: seconds(total)}
}

// collect lists the candidates at layer b.
func (t *Table) collect(b int) {
	t.candidates = t.candidates[:0]
	for _, g := range t.from[b] {
		rest := t.best[g.next]
		if math.IsInf(rest, 1) {
			continue
		}
		for _, r := range g.members {
			if math.IsInf(r.cost, 1) {
				continue
			}
			excess := r.cost + rest - t.best[b]
			t.candidates = append(t.candidates, candidate{replica: r, next: g.next, excess: excess})
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// unit maps a random number to [0, 1).
func unit(random uint64) float64 {
	return float64(random>>11) / (1 << 53)
}

// below maps a random number to 0 to n-1.
func below(random uint64, n int) int {
	return int(unit(random) * float64(n))
}
