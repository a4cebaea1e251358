package layout

import (
	"cmp"
	"slices"
)

// sameSpeedFactor is the largest ratio between the step times of two kinds of accelerators that
// count as equally fast.
const sameSpeedFactor = 1.5

// splitLayers returns how many of the layers each replica gets, while each keeps the given share of
// its memory free. It returns false if the layers do not fit.
//
// The fastest replicas get as many layers as fit, because each token passes through all layers one
// after another. Equally fast ones share theirs in proportion to memory, so that their KV caches
// are full at the same load. Every replica gets a layer as long as there are enough.
//
// In a group with several pipeline replicas, all count as equally fast: reinforce moves layers
// there as soon as one has far less KV cache than the others.
func (p *plan) splitLayers(replicas []*Replica, layers int, freeShare float64) ([]int, bool) {
	limit := make([]int, len(replicas))
	capacity, slower := 0, 0
	for i, r := range replicas {
		limit[i] = maxLayers(p.model, r.Kind, freeShare)
		capacity += limit[i]
		slower += min(1, limit[i])
	}
	if capacity < layers {
		return nil, false
	}
	sizes := make([]int, len(replicas))
	for _, tier := range p.speedTiers(replicas) {
		tierLimit := 0
		for _, i := range tier {
			tierLimit += limit[i]
			slower -= min(1, limit[i])
		}
		share := min(tierLimit, max(0, layers-slower))
		p.splitByMemory(replicas, tier, limit, sizes, share)
		layers -= share
	}
	return sizes, true
}

// speedTiers groups the indexes of the replicas by speed, the fastest group first. A group holds
// the replicas whose step time is at most sameSpeedFactor times that of its fastest one.
func (p *plan) speedTiers(replicas []*Replica) [][]int {
	order := make([]int, len(replicas))
	for i := range order {
		order[i] = i
	}
	stepFactor := func(i int) float64 { return p.model.Kinds[replicas[i].Kind].StepFactor }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(stepFactor(a), stepFactor(b)) })
	var tiers [][]int
	for _, i := range order {
		last := len(tiers) - 1
		if last >= 0 && (p.pipelineCount > 1 || stepFactor(i) <= sameSpeedFactor*stepFactor(tiers[last][0])) {
			tiers[last] = append(tiers[last], i)
			continue
		}
		tiers = append(tiers, []int{i})
	}
	return tiers
}

// splitByMemory adds layers to the sizes of the replicas with the given indexes, in proportion to
// memory by the largest remainder method and up to their limits.
func (p *plan) splitByMemory(replicas []*Replica, indexes, limit, sizes []int, layers int) {
	total := 0.0
	for _, i := range indexes {
		total += p.memoryOf(replicas[i])
	}
	left := layers
	for _, i := range indexes {
		sizes[i] = min(limit[i], int(float64(layers)*p.memoryOf(replicas[i])/total))
		left -= sizes[i]
	}
	for ; left > 0; left-- {
		best := -1
		for _, i := range indexes {
			if sizes[i] >= limit[i] {
				continue
			}
			if best < 0 || p.memoryOf(replicas[i])/float64(sizes[i]+1) > p.memoryOf(replicas[best])/float64(sizes[best]+1) {
				best = i
			}
		}
		sizes[best]++
	}
}
