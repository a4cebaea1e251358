package route

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// SetMembers names the live instances that dispatch to the replicas; self is this
// one. Each instance then has a part of each replica's limit: parts are equal but
// for rounding, and add up to the limit when all instances name the same members.
// A choice first looks for a chain within the own parts, whatever the reports
// say, so that instances with stale reports do not fill the same slots; only when
// there is none does it use slots that the reports show as free.
func (t *Table) SetMembers(self string, live []string) {
	t.self = self
	t.live = append(t.live[:0], live...)
	for _, r := range t.replicas {
		t.place(r)
	}
	t.SetInstances(len(live))
}

// place computes the position of this instance among the live ones for a replica,
// by rendezvous hashing, so that the larger parts of different replicas go to
// different instances.
func (t *Table) place(r *replica) {
	r.position = 0
	own := score(t.self, r.ID)
	for _, id := range t.live {
		if id == t.self {
			continue
		}
		other := score(id, r.ID)
		if cmp.Or(cmp.Compare(other, own), cmp.Compare(id, t.self)) > 0 {
			r.position++
		}
	}
}

func score(instance, replica string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + replica)
}

// part returns how many requests this instance may have in flight on the replica
// without regard to the others: the difference of two roundings, so that the parts
// of all positions add up to the allowed number.
func (t *Table) part(r *replica) int {
	n := max(len(t.live), 1)
	allowed := r.allowed()
	return allowed*(r.position+1)/n - allowed*r.position/n
}

// full tells whether the choice under way may not add to the replica.
func (t *Table) full(now int64, r *replica) bool {
	if r.limit == 0 {
		return false
	}
	if t.live == nil {
		return r.full(now)
	}
	if r.inFlight < t.part(r) {
		return false
	}
	return t.withinParts || r.full(now)
}
