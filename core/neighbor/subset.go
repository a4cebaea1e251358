package neighbor

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the k replicas that the instance serves, in the order of IDs:
// those with the highest rendezvous scores for it. A replica that comes or goes
// moves at most one place of the subset. With few replicas, k or less, the
// subset is all of them.
//
// The number of instances that serve a replica is binomial with the mean
// instances*k/replicas.
func Subset(instanceID string, replicas []string, k int) []string {
	own := xxhash.Sum64String(instanceID)
	var chosen ranking[string]
	for _, id := range replicas {
		chosen.insert(scored[string]{item: id, id: id, score: score(own, xxhash.Sum64String(id))}, k)
	}
	subset := chosen.items()
	slices.Sort(subset)
	return subset
}

// CellSubset returns the replicas that all instances of a cell serve, in the
// order of IDs. Each replica is served by copies cells out of 2^depth, so every
// replica is covered alike, and those who share a replica are neighbours or
// exchange summed digests. A replica that comes or goes changes nothing for the
// others.
func CellSubset(cell uint64, depth int, replicas []string, copies int) []string {
	var subset []string
	for _, id := range replicas {
		if servesReplica(cell, depth, id, copies) {
			subset = append(subset, id)
		}
	}
	slices.Sort(subset)
	return subset
}

// servesReplica tells whether fewer than copies cells have a higher score.
func servesReplica(cell uint64, depth int, replica string, copies int) bool {
	hash := xxhash.Sum64String(replica)
	own := score(cell, hash)
	higher := 0
	for other := range uint64(1) << uint(depth) {
		if score(other, hash) > own {
			higher++
		}
	}
	return higher < copies
}
