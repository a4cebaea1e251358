package layout

// plannedHolders returns, for each layer, the number of replicas that hold it once pending
// assignments are carried out.
func (p *plan) plannedHolders() []int {
	holders := make([]int, p.model.Layers)
	for i := range p.replicas {
		from, to := p.replicas[i].plannedRange()
		for l := from; l < min(to, len(holders)); l++ {
			holders[l]++
		}
	}
	return holders
}

// longestGap returns the longest run of layers that no replica holds once pending assignments are
// carried out.
func (p *plan) longestGap() (from, to int) {
	holders := p.plannedHolders()
	for l := 0; l < len(holders); {
		if holders[l] > 0 {
			l++
			continue
		}
		end := l
		for end < len(holders) && holders[end] == 0 {
			end++
		}
		if end-l > to-from {
			from, to = l, end
		}
		l = end
	}
	return from, to
}

// fillWithNeighbors closes gaps with replicas that hold the adjacent layers. No layer is released
// for this: if the neighbors have too little memory, part of a gap remains until the group is
// rebalanced.
func (p *plan) fillWithNeighbors() {
	for range len(p.replicas) {
		from, to := p.longestGap()
		if to <= from || !p.closeGap(from, to) {
			return
		}
	}
}

// fillWithRedundant closes the rest of a gap with replicas whose layers are held redundantly. If
// there are none, the neighbors of one replica take over its layers, so that it is free in a later
// round.
func (p *plan) fillWithRedundant() {
	for range len(p.replicas) {
		from, to := p.longestGap()
		if to <= from {
			return
		}
		r := p.redundantReplica()
		if r == nil {
			break
		}
		p.assign(r, from, min(to, from+maxLayers(p.model, r.Kind, minCacheShare)), "held elsewhere")
	}
	from, to := p.longestGap()
	if p.anyPending() {
		return
	}
	for left := to - from; left > 0; {
		size := p.freeReplica(left)
		if size == 0 {
			return
		}
		left -= size
	}
}

// redundantReplica returns a replica without a pending assignment whose layers are all held
// redundantly, that is, by more replicas than the group has pipeline replicas. It returns nil if
// there is none. Layers that other replicas have not loaded yet do not count as held.
func (p *plan) redundantReplica() *Replica {
	holders := p.remainingHolders()
	for i := range p.replicas {
		r := &p.replicas[i]
		if r.pending() || r.To <= r.From {
			continue
		}
		redundant := true
		for l := r.From; l < min(r.To, len(holders)); l++ {
			redundant = redundant && holders[l] > p.pipelineCount
		}
		if redundant {
			return r
		}
	}
	return nil
}

// remainingHolders returns, for each layer, the number of replicas that hold it now and keep it
// after their pending assignment.
func (p *plan) remainingHolders() []int {
	holders := make([]int, p.model.Layers)
	for i := range p.replicas {
		r := &p.replicas[i]
		from, to := r.From, r.To
		if r.pending() {
			from, to = max(from, r.PendingFrom), min(to, r.PendingTo)
		}
		for l := from; l < min(to, len(holders)); l++ {
			holders[l]++
		}
	}
	return holders
}

// freeReplica chooses a replica whose two neighbors can take over all of its layers, and assigns
// these to them: the smallest replica that can hold the wanted number of layers, or else the
// largest. It returns the number of layers that this replica can hold afterwards, or 0 if there
// is none.
func (p *plan) freeReplica(layers int) int {
	var best, bestLeft, bestRight *Replica
	bestByLeft := 0
	for i := range p.replicas {
		r := &p.replicas[i]
		if r.pending() || r.To <= r.From || p.freed[r.ID] {
			continue
		}
		left, spareLeft := p.neighbor(func(_, t int) bool { return t == r.From })
		right, spareRight := p.neighbor(func(f, _ int) bool { return f == r.To })
		size := r.To - r.From
		if spareLeft+spareRight < size || (best != nil && !p.preferFreeing(r, best, layers)) {
			continue
		}
		best, bestLeft, bestRight = r, left, right
		bestByLeft = min(spareLeft, max(size/2, size-spareRight))
	}
	if best == nil {
		return 0
	}
	p.freed[best.ID] = true
	middle := best.From + bestByLeft
	if bestByLeft > 0 {
		p.assign(bestLeft, bestLeft.From, middle, "frees a replica")
	}
	if middle < best.To {
		p.assign(bestRight, middle, bestRight.To, "frees a replica")
	}
	return maxLayers(p.model, best.Kind, minCacheShare)
}

// closeGap splits a gap between one replica on each side, in proportion to the layers that they
// can take. It returns false if neither can take any.
func (p *plan) closeGap(from, to int) bool {
	left, spareLeft := p.neighbor(func(f, t int) bool { return t == from })
	right, spareRight := p.neighbor(func(f, t int) bool { return f == to })
	if spareLeft+spareRight == 0 {
		return false
	}
	size := to - from
	byLeft := size * spareLeft / (spareLeft + spareRight)
	byLeft = min(spareLeft, max(byLeft, size-spareRight))
	byRight := min(spareRight, size-byLeft)
	if byLeft > 0 {
		f, t := left.plannedRange()
		p.assign(left, f, t+byLeft, "replica gone")
	}
	if byRight > 0 {
		f, t := right.plannedRange()
		p.assign(right, f-byRight, t, "replica gone")
	}
	return true
}

// neighbor returns the replica without a pending assignment whose range fits and that can take
// the most additional layers, and that number.
func (p *plan) neighbor(fits func(from, to int) bool) (*Replica, int) {
	var best *Replica
	spare := 0
	for i := range p.replicas {
		r := &p.replicas[i]
		from, to := r.plannedRange()
		if to <= from || r.pending() || p.freed[r.ID] || !fits(from, to) {
			continue
		}
		if more := maxLayers(p.model, r.Kind, minCacheShare) - (to - from); more > spare {
			best, spare = r, more
		}
	}
	return best, spare
}

// preferFreeing reports whether a is a better replica to free than b: one that can hold the wanted
// layers, the smallest of these, or else the largest.
func (p *plan) preferFreeing(a, b *Replica, layers int) bool {
	fitsA := maxLayers(p.model, a.Kind, minCacheShare) >= layers
	fitsB := maxLayers(p.model, b.Kind, minCacheShare) >= layers
	if fitsA != fitsB {
		return fitsA
	}
	if fitsA {
		return p.memoryOf(a) < p.memoryOf(b)
	}
	return p.memoryOf(a) > p.memoryOf(b)
}
