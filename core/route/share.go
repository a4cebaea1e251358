package route

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// SetMembers sets the live instances that dispatch to the replicas; self is
// this one. Each instance then has a share of each replica's limit. The shares
// differ by at most 1 and add up to the limit if all instances have the same
// list.
//
// A choice first looks for a path within this instance's own shares, whatever
// the load reports say, so that instances with equal stale reports do not fill
// the same slots. Only if there is none does it use slots that the reports show
// as free.
func (t *Table) SetMembers(self string, live []string) {
	t.self = self
	t.live = append(t.live[:0], live...)
	for _, r := range t.replicas {
		t.updatePosition(r)
	}
	t.SetInstances(len(live))
}

// updatePosition computes this instance's position among the live ones for a
// replica. Rendezvous hashing spreads the larger shares of different replicas
// over different instances.
func (t *Table) updatePosition(r *replica) {
	r.position = 0
	own := rendezvousScore(t.self, r.ID)
	for _, id := range t.live {
		if id == t.self {
			continue
		}
		other := rendezvousScore(id, r.ID)
		if cmp.Or(cmp.Compare(other, own), cmp.Compare(id, t.self)) > 0 {
			r.position++
		}
	}
}

// rendezvousScore returns the weight of an instance for a replica in rendezvous
// hashing.
func rendezvousScore(instance, replica string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + replica)
}

// limitShare returns how many requests this instance may have in flight on the
// replica whatever the others do. It is the difference of two rounded-down
// values, so that the shares of all positions add up to the weighted limit.
func (t *Table) limitShare(r *replica) int {
	n := max(len(t.live), 1)
	allowed := r.weightedLimit()
	return allowed*(r.position+1)/n - allowed*r.position/n
}

// atLimit reports whether the current choice must not use the replica because
// of its limit.
func (t *Table) atLimit(now int64, r *replica) bool {
	if r.limit == 0 {
		return false
	}
	if t.live == nil {
		return r.atLimit(now)
	}
	if r.inFlight < t.limitShare(r) {
		return false
	}
	return t.withinShares || r.atLimit(now)
}
