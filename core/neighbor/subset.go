package neighbor

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the sorted IDs of the k replicas that the instance serves: those with the
// highest rendezvous scores for it. Adding or removing a replica replaces at most one
// element of the subset. If there are at most k replicas, the subset contains all of them.
//
// The number of instances that serve a replica has a binomial distribution with the mean
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

// CellSubset returns the sorted IDs of the replicas that all instances of a cell serve.
// Of the 2^depth cells, cellsPerReplica serve each replica, so all replicas are covered
// equally, and instances that share a replica are neighbors or exchange summed digests.
// Adding or removing a replica does not affect the others.
func CellSubset(cell uint64, depth int, replicas []string, cellsPerReplica int) []string {
	var subset []string
	for _, id := range replicas {
		if servesReplica(cell, depth, id, cellsPerReplica) {
			subset = append(subset, id)
		}
	}
	slices.Sort(subset)
	return subset
}

// servesReplica reports whether fewer than cellsPerReplica cells have a higher score for
// the replica.
func servesReplica(cell uint64, depth int, replica string, cellsPerReplica int) bool {
	hash := xxhash.Sum64String(replica)
	own := score(cell, hash)
	higher := 0
	for other := range uint64(1) << uint(depth) {
		if score(other, hash) > own {
			higher++
		}
	}
	return higher < cellsPerReplica
}
