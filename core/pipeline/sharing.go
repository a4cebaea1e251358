package pipeline

import "math"

// Sharing describes the other instances that choose paths over the same replicas.
type Sharing struct {
	// Random returns numbers from 0 to 1; it is nil if there are no other instances.
	Random func() float64
	// Instances is the number of instances, this one included.
	Instances int
	// Uninformed is true while the load of other instances is unknown, for example after all
	// instances started together.
	Uninformed bool
}

const (
	// skipWidthPerPeer sets the range of utilization, directly below maxReservedShare, in
	// which the probability of skipping a replica rises from 0 to 1: its width is this share
	// of the KV cache for each other instance. It grows with the number of instances because
	// the more there are, the later each receives the load of the others.
	skipWidthPerPeer = 0.01
	// maxSkipWidth is the upper bound of that width, so that a nearly empty replica is never
	// skipped.
	maxSkipWidth = 0.9
	// maxSkippedCostFactor is the upper bound of the factor for the cost of a skipped replica.
	maxSkippedCostFactor = 50
)

// uninformedLinkFactor multiplies the cost of a transfer between zones while the load of other
// instances is unknown. It outweighs the random costs of replicas, which would otherwise send paths over
// the links between zones. These are the first to be overloaded when all clients reconnect at once.
const uninformedLinkFactor = 5

// uninformed reports whether the load of other instances is unknown.
func (f *Fleet) uninformed() bool { return f.sharing.Uninformed && f.sharing.Random != nil }

// uninformedCost returns the cost of a replica while the load of other instances is unknown: typical is
// that of the same layers on a typical replica. When all instances start together, the clients of
// broken streams reconnect to all of them at once, and each instance assumes an empty fleet; by the cost
// of empty replicas all would choose the fastest ones. The smallest of exponentially distributed costs
// belongs to each holder of a layer with a probability in proportion to its KV cache.
func (f *Fleet) uninformedCost(m *member, typical float64) float64 {
	held := float64(max(1, m.To-m.From))
	if m.cacheCapacity <= 0 {
		return typical * maxSkippedCostFactor
	}
	return typical * f.meanCacheTokens() / (m.cacheCapacity / held) * -math.Log(1-f.sharing.Random())
}

// meanCacheTokens returns the mean KV cache of the replicas in tokens.
func (f *Fleet) meanCacheTokens() float64 {
	sum, n := 0.0, 0.0
	for _, m := range f.ordered {
		if m.To > m.From {
			sum += m.cacheCapacity / float64(m.To-m.From)
			n++
		}
	}
	return sum / max(1, n)
}

// SetSharing sets the information about other instances.
func (f *Fleet) SetSharing(s Sharing) { f.sharing = s }

// skippedCostFactor returns the factor for the cost of a skipped replica whose KV cache is used to the
// given share. It is small while the replica has room, so that a path uses it rather than links
// between zones, and large when it may be full before the request arrives.
func skippedCostFactor(utilization float64) float64 {
	free := 1 - utilization/maxReservedShare
	return 1 / max(free, 1.0/maxSkippedCostFactor)
}

// skip reports whether a choice avoids, where others cost little more, a replica that has capacity
// and whose KV cache is used to the given share. The fastest replicas are the cheapest ones until
// they are full, and the requests that other instances have placed there become known a few tenths
// of a second late.
// Without skipping, all instances would together reserve far more than the capacity of such a
// replica, and requests would wait there for memory. As with random early detection, the replica
// fills ever more slowly.
func (f *Fleet) skip(utilization float64) bool {
	peers := f.sharing.Instances - 1
	if f.sharing.Random == nil || peers < 1 {
		return false
	}
	width := min(maxSkipWidth, skipWidthPerPeer*float64(peers))
	return f.sharing.Random() > (maxReservedShare-utilization)/width
}
