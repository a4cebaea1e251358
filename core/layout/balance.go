package layout

import (
	"cmp"
	"slices"
)

// groupPipelines groups the replicas with layers into pipeline replicas, so that their ranges
// follow each other as closely as they do now.
func (p *plan) groupPipelines() [][]*Replica {
	var loaded []*Replica
	for i := range p.replicas {
		if !p.replicas[i].isEmpty() {
			loaded = append(loaded, &p.replicas[i])
		}
	}
	slices.SortStableFunc(loaded, func(a, b *Replica) int {
		return cmp.Compare(middle(a), middle(b))
	})
	pipelines := make([][]*Replica, p.pipelineCount)
	ends := make([]int, p.pipelineCount)
	for _, r := range loaded {
		from, to := r.plannedRange()
		best := 0
		for i := range pipelines {
			if distance(ends[i], from) < distance(ends[best], from) {
				best = i
			}
		}
		pipelines[best] = append(pipelines[best], r)
		ends[best] = to
	}
	return pipelines
}

func middle(r *Replica) int {
	from, to := r.plannedRange()
	return from + to
}

func distance(a, b int) int { return max(a-b, b-a) }

// fillPipeline inserts the empty replicas where the others need to change least, and assigns them
// their share of the layers. The others release these layers later.
func (p *plan) fillPipeline() {
	pipelines := p.groupPipelines()
	for i := range p.replicas {
		r := &p.replicas[i]
		if !r.isEmpty() {
			continue
		}
		smallest := 0
		for j := range pipelines {
			if p.memoryOfAll(pipelines[j]) < p.memoryOfAll(pipelines[smallest]) {
				smallest = j
			}
		}
		pipelines[smallest] = p.insertReplica(pipelines[smallest], r)
	}
}

func (p *plan) memoryOfAll(replicas []*Replica) float64 {
	sum := 0.0
	for _, r := range replicas {
		sum += p.memoryOf(r)
	}
	return sum
}

// insertReplica assigns layers to an empty replica at the position in the pipeline replica that
// leaves the others closest to what they hold. It returns the members of the pipeline replica
// with the new one.
func (p *plan) insertReplica(members []*Replica, r *Replica) []*Replica {
	best, bestMoved := -1, 0
	var bestFrom, bestTo int
	for at := 0; at <= len(members); at++ {
		with := slices.Insert(slices.Clone(members), at, r)
		sizes, ok := p.splitLayers(with, p.model.Layers, minCacheShare)
		if !ok {
			continue
		}
		moved, from, start := 0, 0, 0
		for i, other := range with {
			if other == r {
				start = from
			} else {
				moved += p.missing(other, from, from+sizes[i])
			}
			from += sizes[i]
		}
		if best < 0 || moved < bestMoved {
			best, bestMoved = at, moved
			bestFrom, bestTo = start, start+sizes[at]
		}
	}
	if best < 0 {
		return p.insertIntoGap(members, r)
	}
	p.assign(r, bestFrom, bestTo, "empty")
	return slices.Insert(slices.Clone(members), best, r)
}

// insertIntoGap handles groups that cannot hold the model: the replica is assigned as much as it
// can hold of the longest gap.
func (p *plan) insertIntoGap(members []*Replica, r *Replica) []*Replica {
	from, to := p.longestGap()
	if to == from {
		return members
	}
	p.assign(r, from, min(to, from+maxLayers(p.model, r.Kind, minCacheShare)), "gap")
	return append(slices.Clone(members), r)
}

// missing returns how many of the layers from..to the replica does not hold.
func (p *plan) missing(r *Replica, from, to int) int {
	heldFrom, heldTo := r.plannedRange()
	common := max(0, min(to, heldTo)-max(from, heldFrom))
	return to - from - common
}

// anyPending reports whether an assignment is pending.
func (p *plan) anyPending() bool {
	return slices.ContainsFunc(p.replicas, func(r Replica) bool { return r.pending() })
}

// weakestCapacity returns the number of tokens that fit at the layer with the least KV cache.
func (p *plan) weakestCapacity() float64 { return slices.Min(p.tokenCapacity()) }

// balance moves layers between working replicas if this raises the capacity of the weakest layer
// or removes redundant layers. First the replicas load the layers of their target; once this is
// done, others release the layers that are held redundantly.
func (p *plan) balance() {
	target, ok := p.balanceTarget()
	if !ok {
		return
	}
	if target.weakestCapacity() < p.weakestCapacity()*minBalanceGain && !p.hasRedundantLayers(target) {
		return
	}
	if p.loadTarget(target) {
		return
	}
	p.releaseRedundant(target)
}

// balanceTarget returns the target: a plan in which each pipeline replica is split in proportion to
// memory.
func (p *plan) balanceTarget() (*plan, bool) {
	target := &plan{model: p.model, replicas: slices.Clone(p.replicas), pipelineCount: p.pipelineCount, memory: p.memory}
	for _, members := range target.groupPipelines() {
		if len(members) == 0 {
			continue
		}
		sizes, ok := target.splitLayers(members, p.model.Layers, minCacheShare)
		if !ok {
			return nil, false
		}
		at := 0
		for i, r := range members {
			r.From, r.To = at, at+sizes[i]
			at += sizes[i]
		}
	}
	return target, true
}

// hasRedundantLayers reports whether a replica holds its target and at least two layers more, so
// that its KV cache is smaller than necessary.
func (p *plan) hasRedundantLayers(target *plan) bool {
	for i := range p.replicas {
		r, t := &p.replicas[i], &target.replicas[i]
		if r.From <= t.From && r.To >= t.To && r.To-r.From > t.To-t.From+1 {
			return true
		}
	}
	return false
}

// loadTarget assigns replicas the missing layers of their target in addition to what they hold,
// for as many replicas as may load concurrently. It returns false if there is nothing left to
// load.
func (p *plan) loadTarget(target *plan) bool {
	before := len(p.assignments)
	for i := range p.replicas {
		r, t := &p.replicas[i], &target.replicas[i]
		if p.missing(r, t.From, t.To) == 0 {
			continue
		}
		if p.model.MaxConcurrentLoads > 0 && len(p.assignments)-before >= p.model.MaxConcurrentLoads {
			break
		}
		from, to := p.extendToward(r, t)
		p.assign(r, from, to, "balance")
	}
	return len(p.assignments) > before
}

// extendToward returns the layers held, extended by as much of the target as the replica's memory
// allows. No layer is released.
func (p *plan) extendToward(r, t *Replica) (from, to int) {
	spare := max(0, maxLayers(p.model, r.Kind, balanceCacheShare)-(r.To-r.From))
	if t.To > r.To {
		return r.From, min(t.To, r.To+spare)
	}
	return max(t.From, r.From-spare), r.To
}

// releaseRedundant lets replicas release the layers at the ends of their range that are outside
// their target and that enough other replicas hold.
func (p *plan) releaseRedundant(target *plan) {
	holders := p.remainingHolders()
	for i := range p.replicas {
		r, t := &p.replicas[i], &target.replicas[i]
		from, to := r.From, r.To
		for from < min(t.From, to-1) && holders[from] > p.pipelineCount {
			holders[from]--
			from++
		}
		for to > max(t.To, from+1) && holders[to-1] > p.pipelineCount {
			holders[to-1]--
			to--
		}
		p.assign(r, from, to, "held twice")
	}
}
