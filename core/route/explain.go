package route

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Status is the status of one replica in a choice.
type Status int

const (
	// Eligible means that PolicyCost may pick the replica.
	Eligible Status = iota
	// TooSlow means that the cost of every path through the replica exceeds the
	// lowest cost by more than the tolerance.
	TooSlow
	// NoPath means that no path leads through the replica.
	NoPath
	// AtLimit means that the replica has reached its limit of requests in
	// flight.
	AtLimit
	// Excluded means that the request excludes the replica.
	Excluded
	// ZeroWeight means that the replica's weight is 0.
	ZeroWeight
)

// String returns the status's name.
func (s Status) String() string {
	names := [...]string{"drawable", "too_slow", "no_chain", "no_room", "excluded", "out_of_use"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// ReplicaView describes one replica in an Explanation.
type ReplicaView struct {
	Replica
	Status Status
	Terms  CostTerms
	// CachedFraction is the fraction of the prompt, 0 to 1, expected in the prefix
	// cache.
	CachedFraction float64
	Weight         float64
	Limit          int
	InFlight       int
	// Occupancy is the estimated number of sequences held, of all instances.
	Occupancy int
	// ReportAge is the age of the last load report; negative if there is none.
	ReportAge time.Duration
}

// Explanation holds a decision with the estimates that led to it.
type Explanation struct {
	Decision Decision
	// Lowest is the lowest expected time of all paths; 0 if there is no path.
	Lowest time.Duration
	// Tolerance bounds the paths that PolicyCost may pick: their expected time is at
	// most 1+Tolerance times Lowest.
	Tolerance float64
	// Replicas are sorted by first layer, last layer and ID.
	Replicas []ReplicaView
}

// Explain makes the same choice as Choose and returns it with its estimates.
// Under PolicyRoundRobin it advances the turn.
func (t *Table) Explain(now time.Time, req Request, random uint64) Explanation {
	rate := t.choiceRate
	e := Explanation{Decision: t.Choose(now, req, random), Tolerance: t.tolerance}
	t.choiceRate = rate
	if e.Decision.Outcome == Chosen {
		e.Lowest = durationOf(t.lowestCost[0])
	}
	at := now.UnixNano()
	t.computeReachability(func(r *replica) bool { return t.usable(r) && !t.atLimit(at, r) })
	for _, r := range t.replicas {
		e.Replicas = append(e.Replicas, t.view(at, &req, r))
	}
	slices.SortFunc(e.Replicas, func(a, b ReplicaView) int {
		if a.First != b.First {
			return a.First - b.First
		}
		if a.Last != b.Last {
			return a.Last - b.Last
		}
		return strings.Compare(a.ID, b.ID)
	})
	return e
}

func (t *Table) view(now int64, req *Request, r *replica) ReplicaView {
	v := ReplicaView{
		Replica:        r.Replica,
		Status:         t.status(now, r),
		CachedFraction: t.cachedFraction(r),
		Weight:         r.weight,
		Limit:          r.limit,
		InFlight:       r.inFlight,
		Occupancy:      r.occupancy(now),
		ReportAge:      -1,
	}
	v.Terms = t.costTerms(now, req, r, v.CachedFraction)
	if r.reported {
		v.ReportAge = time.Duration(now - r.reportedAt)
	}
	return v
}

// status returns the replica's status in the current choice. It reads what
// computeReachability has set.
func (t *Table) status(now int64, r *replica) Status {
	switch {
	case r.weight == 0:
		return ZeroWeight
	case r.excludedStamp == t.stamp:
		return Excluded
	case t.atLimit(now, r):
		return AtLimit
	case !t.reachableFromStart[r.First] || !t.reachesEnd[r.Last+1]:
		return NoPath
	}
	c := candidate{replica: r, excessCost: r.cost + t.lowestCost[r.Last+1] - t.lowestCost[r.First]}
	if math.IsInf(r.cost, 1) || c.drawWeight(t.tolerance) == 0 {
		return TooSlow
	}
	return Eligible
}
