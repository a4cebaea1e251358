// Package layout decides which replica holds which layers of a model when the replicas have
// different kinds of accelerators. A zone with enough memory holds complete pipeline replicas of
// the model, so that requests need not leave it; the zones without enough memory are laid out
// together as one group.
//
// A group with one pipeline replica is laid out by what callers pay for each layer: the time of a
// token, missing KV cache and single holders. In a group with several, the capacity of the KV cache
// is kept even over the layers.
//
// Plan depends only on which layers the replicas hold and have been assigned, not on earlier
// plans, so any instance can take over the leader task at any time.
package layout

import (
	"cmp"
	"slices"

	"masticbank.example/core/pipeline"
)

const (
	// cacheShare is the share of a group's memory that is kept for the KV cache when the
	// number of pipeline replicas is chosen. With less, requests wait for memory long before
	// the accelerators are busy.
	cacheShare = 0.3
	// minCacheShare is the minimum share of a replica's memory that is kept for the KV
	// cache.
	minCacheShare = 0.18
	// unequalSpeeds is the ratio of step times from which pipeline replicas are formed by speed.
	// Below it, a token gains less than the uneven memory of the pipeline replicas costs.
	unequalSpeeds = 2
)

// Replica is a replica that can hold layers.
type Replica struct {
	ID   string
	Zone string
	Kind string
	// From and To bound the layers held: From <= layer < To. Both are 0 for an empty replica.
	From, To int
	// PendingFrom and PendingTo bound the layers of a pending assignment; both are 0 without
	// one.
	PendingFrom, PendingTo int
}

func (r *Replica) isEmpty() bool { return r.From == r.To && r.PendingFrom == r.PendingTo }

// plannedRange returns the layers that the replica holds once a pending assignment is carried
// out.
func (r *Replica) plannedRange() (from, to int) {
	if r.PendingFrom != r.PendingTo {
		return r.PendingFrom, r.PendingTo
	}
	return r.From, r.To
}

// pending reports whether an assignment is pending.
func (r *Replica) pending() bool { return r.PendingFrom != r.PendingTo }

// Assignment is the range of layers that a replica must hold: From <= layer < To.
type Assignment struct {
	ID       string
	From, To int
	// Reason is a short reason for the log.
	Reason string
}

// Plan returns the assignments that bring the fleet closer to a layout in which each group runs
// all layers, or none if nothing needs to change.
//
// stable reports whether a zone has not changed for a while. The layers of working replicas are
// improved only if all zones of their group are stable, because a replica that releases layers
// accepts no other assignment until the requests that use them have ended. Groups with several
// pipeline replicas reinforce their weakest layers at any time.
func Plan(m *pipeline.Model, replicas []Replica, stable func(zone string) bool) []Assignment {
	var out []Assignment
	for _, group := range groups(m, replicas) {
		allStable := !slices.ContainsFunc(group, func(r Replica) bool { return !stable(r.Zone) })
		out = append(out, planGroup(m, group, allStable)...)
	}
	return out
}

// groups returns one group of replicas for each zone that can hold the model on its own. The
// replicas of all other zones form one group together. Their ranges are clipped to the model.
func groups(m *pipeline.Model, replicas []Replica) [][]Replica {
	byZone := map[string][]Replica{}
	var zones []string
	for _, r := range replicas {
		if m.MaxLayers(r.Kind) == 0 {
			continue
		}
		r.From, r.To = clip(m, r.From, r.To)
		r.PendingFrom, r.PendingTo = clip(m, r.PendingFrom, r.PendingTo)
		if byZone[r.Zone] == nil {
			zones = append(zones, r.Zone)
		}
		byZone[r.Zone] = append(byZone[r.Zone], r)
	}
	slices.Sort(zones)
	var out [][]Replica
	var rest []Replica
	for _, z := range zones {
		if totalLayers(m, byZone[z], minCacheShare) >= m.Layers {
			out = append(out, byZone[z])
		} else {
			rest = append(rest, byZone[z]...)
		}
	}
	if len(rest) > 0 {
		out = append(out, rest)
	}
	for _, group := range out {
		slices.SortFunc(group, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// clip returns the part of a range that lies within the model's layers, or 0 and 0 if there is none.
// Entries and reports name ranges without regard to the model, which may also have changed since.
func clip(m *pipeline.Model, from, to int) (clippedFrom, clippedTo int) {
	from, to = max(0, from), min(to, m.Layers)
	if from >= to {
		return 0, 0
	}
	return from, to
}

// maxLayers returns the largest number of layers that a replica of the kind can hold while the
// given share of its memory stays free.
func maxLayers(m *pipeline.Model, kind string, freeShare float64) int {
	return min(m.MaxLayers(kind), m.LayersIn(m.Kinds[kind].MemoryMB*(1-freeShare)))
}

// totalLayers returns the number of layers that the replicas can hold together.
func totalLayers(m *pipeline.Model, replicas []Replica, freeShare float64) int {
	sum := 0
	for _, r := range replicas {
		sum += maxLayers(m, r.Kind, freeShare)
	}
	return sum
}

// countPipelines returns the number of pipeline replicas that the group holds, at least 1.
func countPipelines(m *pipeline.Model, group []Replica) int {
	return max(1, totalLayers(m, group, cacheShare)/m.Layers)
}

func planGroup(m *pipeline.Model, group []Replica, stable bool) []Assignment {
	p := &plan{model: m, replicas: group, pipelineCount: countPipelines(m, group), freed: map[string]bool{}}
	for _, r := range group {
		p.memory += m.Kinds[r.Kind].MemoryMB
	}
	switch {
	case p.pipelineCount == 1:
		p.planSingle(stable)
	case p.allEmpty():
		p.layOut()
	default:
		p.planSeveral()
	}
	return p.assignments
}

// planSeveral plans a group with several pipeline replicas. After failures their stages may no
// longer line up, so each layer is considered on its own.
func (p *plan) planSeveral() {
	p.fillWeakest()
	p.fillWithNeighbors()
	p.fillWithRedundant()
	p.reinforce()
}

// plan collects the assignments for one group.
type plan struct {
	model         *pipeline.Model
	replicas      []Replica
	pipelineCount int
	// memory is the total memory of the group in MB.
	memory      float64
	assignments []Assignment
	// freed holds the IDs of the replicas whose layers this plan assigns to others, so that
	// they become free.
	freed map[string]bool
}

func (p *plan) allEmpty() bool {
	for i := range p.replicas {
		if !p.replicas[i].isEmpty() {
			return false
		}
	}
	return true
}

// assign records an assignment, unless the replica holds or was assigned these layers already.
func (p *plan) assign(r *Replica, from, to int, reason string) {
	if f, t := r.plannedRange(); f == from && t == to {
		return
	}
	r.PendingFrom, r.PendingTo = from, to
	p.assignments = append(p.assignments, Assignment{ID: r.ID, From: from, To: to, Reason: reason})
}

// layOut lays out a group with several pipeline replicas that holds no layers: it forms pipeline
// replicas of about equal memory, and within each the layers are split in proportion to memory.
func (p *plan) layOut() {
	pipelines := p.pipelinesBySpeed()
	if pipelines == nil {
		pipelines = p.mixedPipelines()
	}
	for _, members := range pipelines {
		// The smallest replicas come first: the first replica of a path serves a
		// limited number of requests, and a small stage can be provided twice.
		slices.SortStableFunc(members, func(a, b *Replica) int {
			return cmp.Compare(p.memoryOf(a), p.memoryOf(b))
		})
		p.assignInOrder(members, 0, p.model.Layers, "first layout")
	}
}

// byMemory returns the replicas of the group, the largest first.
func (p *plan) byMemory() []*Replica {
	sorted := make([]*Replica, len(p.replicas))
	for i := range p.replicas {
		sorted[i] = &p.replicas[i]
	}
	slices.SortStableFunc(sorted, func(a, b *Replica) int {
		return cmp.Compare(p.memoryOf(b), p.memoryOf(a))
	})
	return sorted
}

// mixedPipelines spreads all kinds over the pipeline replicas.
func (p *plan) mixedPipelines() [][]*Replica {
	pipelines := make([][]*Replica, p.pipelineCount)
	sums := make([]float64, p.pipelineCount)
	for _, r := range p.byMemory() {
		smallest := 0
		for i := range sums {
			if sums[i] < sums[smallest] {
				smallest = i
			}
		}
		pipelines[smallest] = append(pipelines[smallest], r)
		sums[smallest] += p.memoryOf(r)
	}
	return pipelines
}

// pipelinesBySpeed groups replicas of similar speed into the same pipeline replica, so that a token
// passes through slow replicas only when the fast ones are full. A pipeline replica with a few slow
// stages is about as slow as one that has no others. It returns nil if the kinds are about equally
// fast, or if a pipeline replica formed in this way could not hold all layers.
func (p *plan) pipelinesBySpeed() [][]*Replica {
	sorted := p.byMemory()
	slices.SortStableFunc(sorted, func(a, b *Replica) int {
		return cmp.Compare(p.stepFactorOf(a), p.stepFactorOf(b))
	})
	if p.stepFactorOf(sorted[len(sorted)-1]) < unequalSpeeds*p.stepFactorOf(sorted[0]) || p.stepFactorOf(sorted[0]) <= 0 {
		return nil
	}
	var pipelines [][]*Replica
	var members []*Replica
	sum := 0.0
	for i, r := range sorted {
		members = append(members, r)
		sum += p.memoryOf(r)
		left := p.pipelineCount - len(pipelines)
		next := p.memory * float64(len(pipelines)+1) / float64(p.pipelineCount)
		if i < len(sorted)-1 && (left == 1 || sum+p.memoryOf(sorted[i+1])/2 < next) {
			continue
		}
		if _, ok := p.splitLayers(members, p.model.Layers, minCacheShare); !ok {
			return nil
		}
		pipelines = append(pipelines, members)
		members = nil
	}
	return pipelines
}

func (p *plan) stepFactorOf(r *Replica) float64 { return p.model.Kinds[r.Kind].StepFactor }

func (p *plan) memoryOf(r *Replica) float64 { return p.model.Kinds[r.Kind].MemoryMB }

// assignInOrder assigns the layers from..to to the replicas in order, in proportion to their
// memory. It returns false if they do not fit.
func (p *plan) assignInOrder(replicas []*Replica, from, to int, reason string) bool {
	sizes, ok := p.splitLayers(replicas, to-from, minCacheShare)
	if !ok {
		return false
	}
	at := from
	for i, r := range replicas {
		if sizes[i] > 0 {
			p.assign(r, at, at+sizes[i], reason)
		}
		at += sizes[i]
	}
	return true
}

// splitLayers splits a number of layers in proportion to memory by the largest remainder method,
// limited by what each replica can hold.
func (p *plan) splitLayers(replicas []*Replica, layers int, freeShare float64) ([]int, bool) {
	total := 0.0
	limit := make([]int, len(replicas))
	capacity := 0
	for i, r := range replicas {
		total += p.memoryOf(r)
		limit[i] = maxLayers(p.model, r.Kind, freeShare)
		capacity += limit[i]
	}
	if capacity < layers {
		return nil, false
	}
	sizes := make([]int, len(replicas))
	left := layers
	for i, r := range replicas {
		sizes[i] = min(limit[i], int(float64(layers)*p.memoryOf(r)/total))
		left -= sizes[i]
	}
	for ; left > 0; left-- {
		best := -1
		for i, r := range replicas {
			if sizes[i] >= limit[i] {
				continue
			}
			if best < 0 || p.memoryOf(r)/float64(sizes[i]+1) > p.memoryOf(replicas[best])/float64(sizes[best]+1) {
				best = i
			}
		}
		sizes[best]++
	}
	return sizes, true
}

// tokenCapacity returns, for each layer, the number of tokens that fit into the KV caches of all
// replicas that hold it.
func (p *plan) tokenCapacity() []float64 {
	out := make([]float64, p.model.Layers)
	for i := range p.replicas {
		r := &p.replicas[i]
		from, to := r.plannedRange()
		if to <= from {
			continue
		}
		each := p.model.CacheCapacity(r.Kind, to-from) / float64(to-from)
		for l := from; l < min(to, len(out)); l++ {
			out[l] += each
		}
	}
	return out
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
