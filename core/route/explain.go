package route

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Standing tells what a choice makes of one replica.
type Standing int

const (
	// Drawable means that PolicyCost draws the replica with a probability above
	// zero.
	Drawable Standing = iota
	// TooSlow means that chains through the replica are not near the lowest cost.
	TooSlow
	// NoChain means that no chain leads through the replica.
	NoChain
	// NoRoom means that the replica holds as many requests as it takes.
	NoRoom
	// IsExcluded means that the request excludes the replica.
	IsExcluded
	// OutOfUse means that the replica's weight is 0.
	OutOfUse
)

// String returns the name of the standing.
func (s Standing) String() string {
	names := [...]string{"drawable", "too_slow", "no_chain", "no_room", "excluded", "out_of_use"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// ReplicaView is one replica in an Explanation.
type ReplicaView struct {
	Replica
	Standing Standing
	Terms    Terms
	// CachedPart is the part of the prompt, 0 to 1, expected in the prefix cache.
	CachedPart float64
	Weight     float64
	Limit      int
	InFlight   int
	// Occupancy is the estimate of the sequences held for all instances.
	Occupancy int
	// ReportAge is the age of the last load report; negative when there is none.
	ReportAge time.Duration
}

// Explanation gives the grounds of a choice.
type Explanation struct {
	Decision Decision
	// Lowest is the lowest expected time of all chains, when there is one.
	Lowest time.Duration
	// Tolerance is how far above Lowest, relative to it, PolicyCost draws.
	Tolerance float64
	// Replicas are sorted by first layer, last layer and ID.
	Replicas []ReplicaView
}

// Explain makes the choice that Choose would make and returns its grounds. Under
// PolicyRoundRobin it counts as a turn.
func (t *Table) Explain(now time.Time, req Request, random uint64) Explanation {
	rate := t.rate
	e := Explanation{Decision: t.Choose(now, req, random), Tolerance: t.tolerance}
	t.rate = rate
	if e.Decision.Outcome == Chosen {
		e.Lowest = seconds(t.best[0])
	}
	at := now.UnixNano()
	t.reach(func(r *replica) bool { return t.usable(r) && !t.full(at, r) })
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
		Replica:    r.Replica,
		Standing:   t.standing(now, r),
		CachedPart: t.cachedPart(r),
		Weight:     r.weight,
		Limit:      r.limit,
		InFlight:   r.inFlight,
		Occupancy:  r.occupancy(now),
		ReportAge:  -1,
	}
	v.Terms = t.terms(now, req, r, v.CachedPart)
	if r.reported {
		v.ReportAge = time.Duration(now - r.reportedAt)
	}
	return v
}

// standing must follow a call of reach.
func (t *Table) standing(now int64, r *replica) Standing {
	switch {
	case r.weight == 0:
		return OutOfUse
	case r.excludedAt == t.stamp:
		return IsExcluded
	case t.full(now, r):
		return NoRoom
	case !t.forward[r.First] || !t.backward[r.Last+1]:
		return NoChain
	}
	c := candidate{replica: r, excess: r.cost + t.best[r.Last+1] - t.best[r.First]}
	if math.IsInf(r.cost, 1) || c.drawWeight(t.tolerance) == 0 {
		return TooSlow
	}
	return Drawable
}
