package demand

// PacedLimit returns how many requests self may have in flight now while it approaches its
// allocation. Slots that other instances use beyond their allocations become free only when their
// requests end, so using a larger allocation at once would commit those slots twice. PacedLimit
// allows the in-flight requests that self last published, plus its part of the slots that no
// instance uses; these are divided by max-min fairness among all instances below their
// allocations.
//
// The arguments are those of Shares. Only the allocation of self depends on current, so instances
// with the same published digests together get no more than the capacity or, if that is more,
// what was in flight already. An instance without a digest counts as using its whole allocation.
func PacedLimit(pool Pool, live []string, published []Digest, self string, current PoolDemand) int {
	own := Shares(pool, live, published, self, current).Total()
	inUse, share := unusedShare(pool, withSelf(live, self), published, self)
	return min(own, inUse+share)
}

// unusedShare returns the number of in-flight requests that self last published, and its part of
// the slots that no instance uses.
func unusedShare(pool Pool, live []string, published []Digest, self string) (inUse, share int) {
	allocations := Allocations(pool, live, published)
	byID := newestByInstance(published)
	key := KeyOf(pool.Name)
	free := clampSlots(pool.Capacity)
	claims := make([]int, len(allocations))
	weights := make([]int64, len(allocations))
	own := -1
	for i := range allocations {
		inFlight := allocations[i].Total()
		weights[i] = 1
		if digest := byID[allocations[i].Instance]; digest != nil {
			demand := digest.Pool(key)
			inFlight = demand.InFlight()
			weights[i] = int64(digest.members())
		}
		free -= inFlight
		claims[i] = allocations[i].Total() - inFlight
		if allocations[i].Instance == self {
			own, inUse = i, inFlight
		}
	}
	return inUse, maxMinFill(free, claims, weights)[own]
}

// Limit returns how many requests self may run concurrently: the result of PacedLimit, raised,
// within its allocation, to what lets the queued requests of the most urgent rank start now. A
// queue with strict ranks starts those first, and engines run them before the excess requests.
func Limit(pool Pool, live []string, published []Digest, self string, current PoolDemand) int {
	allocation := Shares(pool, live, published, self, current).Total()
	inUse, share := unusedShare(pool, withSelf(live, self), published, self)
	urgent := current.rankDemand(0)
	return max(min(allocation, inUse+share), min(allocation, current.InFlight()+clampSlots(urgent.Queued)))
}
