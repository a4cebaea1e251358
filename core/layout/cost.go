package layout

import (
	"slices"

	"masticbank.example/core/pipeline"
)

const (
	// demandShare is the share of the even capacity for which a group with one pipeline
	// replica keeps KV cache at every layer. Usual load uses a part of it, and what fast
	// replicas hold beyond it makes every token faster.
	demandShare = 0.35
	// missingFactor is the cost of a layer without KV cache, relative to the slowest holder's
	// time. Such a layer ends the service of the group.
	missingFactor = 10
	// singleHolderFactor is the cost of a layer with a single holder, whose loss interrupts
	// every stream of the group, relative to the slowest holder's time.
	singleHolderFactor = 0.2
	// entryFactor multiplies singleHolderFactor for the first layer: streams cannot be moved off
	// the first replica of their path, they start again.
	entryFactor = 10
)

// coverage holds the holders of each layer of a group and computes what callers pay for them.
type coverage struct {
	model  *pipeline.Model
	layers [][]holder
	// demand is the number of tokens for which each layer needs KV cache.
	demand float64
	// slowestMS is the largest time of one layer on an idle replica of the group.
	slowestMS float64
	// holders and used are buffers of layerCost.
	holders []holder
	used    []float64
}

// holder is a replica's part in one layer.
type holder struct {
	replica *Replica
	// tokens is the number of tokens that fit into the replica's KV cache.
	tokens float64
	// idleMS is the time of one token on the layer while the replica runs nothing else,
	// including the layer's share of the transfer to the replica. Each token in the KV cache
	// adds tokenMS.
	idleMS, tokenMS float64
}

// ms returns the time of one token on the layer while the KV cache holds the given tokens.
func (h *holder) ms(tokens float64) float64 { return h.idleMS + h.tokenMS*tokens }

// newCoverage returns the coverage by the planned layers of the group.
func (p *plan) newCoverage() *coverage {
	c := &coverage{model: p.model, layers: make([][]holder, p.model.Layers), demand: max(1, p.evenCapacity()*demandShare)}
	for i := range p.replicas {
		c.slowestMS = max(c.slowestMS, c.layerMS(&p.replicas[i]))
	}
	if c.slowestMS == 0 {
		c.slowestMS = 1 // the speeds are not published
	}
	for i := range p.replicas {
		r := &p.replicas[i]
		from, to := r.plannedRange()
		c.add(r, from, to)
	}
	return c
}

// layerMS returns the time of one token on one layer of a replica that runs nothing else.
func (c *coverage) layerMS(r *Replica) float64 {
	return c.model.StepMS * c.model.Kinds[r.Kind].StepFactor / float64(c.model.Layers)
}

// tokenMS returns by how much a token in the KV cache of a replica prolongs the time on one layer.
func (c *coverage) tokenMS(r *Replica) float64 {
	ms := c.model.PerContextMS / 1000
	if context := c.model.MeanPromptTokens + c.model.MeanOutputTokens/2; context > 0 {
		ms += c.model.PerSequenceMS / context
	}
	return ms * c.model.Kinds[r.Kind].StepFactor / float64(c.model.Layers)
}

// holderOf returns the part of a replica that holds the given number of layers.
func (c *coverage) holderOf(r *Replica, size int) holder {
	return holder{
		replica: r,
		tokens:  c.model.CacheCapacity(r.Kind, size) / float64(size),
		idleMS:  c.layerMS(r) + pipeline.ZoneTransferMS/float64(size),
		tokenMS: c.tokenMS(r),
	}
}

// add records that a replica holds the layers from..to.
func (c *coverage) add(r *Replica, from, to int) {
	for l := from; l < min(to, len(c.layers)); l++ {
		c.layers[l] = append(c.layers[l], c.holderOf(r, to-from))
	}
}

// cost returns the cost of all layers.
func (c *coverage) cost() float64 {
	sum := 0.0
	for l := range c.layers {
		sum += c.layerCost(l, nil, holder{})
	}
	return sum
}

// placement is a range of layers for a replica, with the cost of all layers that results.
type placement struct {
	replica  *Replica
	from, to int
	cost     float64
}

// rounding is the relative difference up to which two costs count as equal.
const rounding = 1e-9

// bestPlacement returns the cheapest range for a replica among those that are allowed, the last one of
// equally cheap ranges, or one without a replica if there is none.
func (c *coverage) bestPlacement(r *Replica, maxSize int, allowed func(from, to int) bool) placement {
	n := len(c.layers)
	without := make([]float64, n)
	base := 0.0
	for l := range n {
		without[l] = c.layerCost(l, r, holder{})
		base += without[l]
	}
	best := placement{}
	sums := make([]float64, n+1) // sums[l] is the change in cost if the layers below l are held
	for size := 1; size <= min(maxSize, n); size++ {
		h := c.holderOf(r, size)
		for l := range n {
			sums[l+1] = sums[l] + c.layerCost(l, r, h) - without[l]
		}
		for from := n - size; from >= 0; from-- {
			cost := base + sums[from+size] - sums[from]
			if (best.replica == nil || cost < best.cost*(1-rounding)) && allowed(from, from+size) {
				best = placement{replica: r, from: from, to: from + size, cost: cost}
			}
		}
	}
	return best
}

// demandParts is the number of equal parts in which the demand is given to the holders of a layer.
const demandParts = 8

// layerCost returns the cost of one layer: the mean time of a token when each part of the demand
// goes to the holder that is then the fastest and has KV cache for it, plus the costs of missing KV
// cache and of a single holder. The holder of the replica without is left out and extra, if it has
// a replica, is added.
func (c *coverage) layerCost(layer int, without *Replica, extra holder) float64 {
	c.holders = c.holders[:0]
	for _, h := range c.layers[layer] {
		if h.replica != without {
			c.holders = append(c.holders, h)
		}
	}
	if extra.replica != nil {
		c.holders = append(c.holders, extra)
	}
	ms := c.servedCost(c.holders)
	switch {
	case len(c.holders) == 1 && layer == 0:
		ms += entryFactor * singleHolderFactor * c.slowestMS
	case len(c.holders) == 1:
		ms += singleHolderFactor * c.slowestMS
	}
	return ms
}

// servedCost gives the demand to the holders of a layer and returns the mean time of a token.
func (c *coverage) servedCost(holders []holder) float64 {
	part := c.demand / demandParts
	c.used = append(c.used[:0], make([]float64, len(holders))...)
	missing := 0
	for range demandParts {
		fastest := -1
		for i := range holders {
			if c.used[i]+part > holders[i].tokens {
				continue
			}
			if fastest < 0 || holders[i].ms(c.used[i]+part) < holders[fastest].ms(c.used[fastest]+part) {
				fastest = i
			}
		}
		if fastest < 0 {
			missing++
			continue
		}
		c.used[fastest] += part
	}
	ms := float64(missing) * missingFactor * c.slowestMS
	for i := range holders {
		ms += c.used[i] / part * holders[i].ms(c.used[i])
	}
	return ms / demandParts
}

// redundant reports whether other replicas hold all layers of a replica, now and after their
// pending assignments.
func (c *coverage) redundant(r *Replica) bool {
	for l := r.From; l < min(r.To, len(c.layers)); l++ {
		if !c.heldByOther(r, l) {
			return false
		}
	}
	return true
}

// releasable reports whether a replica can change to a part of what it holds because others hold
// the rest.
func (c *coverage) releasable(r *Replica, from, to int) bool {
	if from < r.From || to > r.To {
		return false
	}
	for l := r.From; l < min(r.To, len(c.layers)); l++ {
		if (l < from || l >= to) && !c.heldByOther(r, l) {
			return false
		}
	}
	return true
}

// heldByOther reports whether another replica holds a layer now and after its pending assignment.
func (c *coverage) heldByOther(r *Replica, layer int) bool {
	return slices.ContainsFunc(c.layers[layer], func(h holder) bool {
		return h.replica != r && h.replica.From <= layer && layer < h.replica.To
	})
}
