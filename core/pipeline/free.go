package pipeline

// FreeShare returns the share of the KV cache of all listed replicas that is not reserved, from 0 to 1;
// 1 if there are none.
func (f *Fleet) FreeShare() float64 {
	capacity, used := 0.0, 0.0
	for _, m := range f.ordered {
		capacity += m.cacheCapacity
		used += min(m.cacheCapacity, m.reserved+m.remoteReserved)
	}
	if capacity <= 0 {
		return 1
	}
	return 1 - used/capacity
}
