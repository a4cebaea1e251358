package layout

// depth counts the nodes that hold or will hold each layer.
func (p *plan) depth() []int {
	d := make([]int, p.model.Layers)
	for i := range p.nodes {
		from, to := p.nodes[i].span()
		for l := from; l < min(to, len(d)); l++ {
			d[l]++
		}
	}
	return d
}

// gap returns the longest run of layers that nobody holds.
func (p *plan) gap() (from, to int) {
	d := p.depth()
	for l := 0; l < len(d); {
		if d[l] > 0 {
			l++
			continue
		}
		end := l
		for end < len(d) && d[end] == 0 {
			end++
		}
		if end-l > to-from {
			from, to = l, end
		}
		l = end
	}
	return from, to
}

// fillWithNeighbors closes gaps by nodes that hold the layers beside them. Nobody
// gives anything up for it: where the neighbours have too little memory, part of
// a gap stays until the group is balanced.
func (p *plan) fillWithNeighbors() {
	for range len(p.nodes) {
		from, to := p.gap()
		if to <= from || !p.closeGap(from, to) {
			return
		}
	}
}

// fillWithFreed closes what is left of a gap by nodes whose layers others hold.
// If there is none, it lets the neighbours of one take its layers over, so that
// it is free the next time.
func (p *plan) fillWithFreed() {
	for range len(p.nodes) {
		from, to := p.gap()
		if to <= from {
			return
		}
		n := p.freeNode()
		if n == nil {
			break
		}
		p.order(n, from, min(to, from+most(p.model, n.Kind, leastCacheShare)), "held elsewhere")
	}
	from, to := p.gap()
	if p.underWay() {
		return
	}
	for left := to - from; left > 0; {
		size := p.relieveOne(left)
		if size == 0 {
			return
		}
		left -= size
	}
}

// freeNode returns a node without orders whose layers are all held by others, or
// nil. Orders under way do not count: until they are done, the layers are not
// there.
func (p *plan) freeNode() *Node {
	held := p.held()
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.ordered() || n.To <= n.From {
			continue
		}
		free := true
		for l := n.From; l < min(n.To, len(held)); l++ {
			free = free && held[l] > p.copies
		}
		if free {
			return n
		}
	}
	return nil
}

// held counts the nodes that hold each layer now and go on doing so.
func (p *plan) held() []int {
	out := make([]int, p.model.Layers)
	for i := range p.nodes {
		n := &p.nodes[i]
		from, to := n.From, n.To
		if n.ordered() {
			from, to = max(from, n.WantFrom), min(to, n.WantTo)
		}
		for l := from; l < min(to, len(out)); l++ {
			out[l]++
		}
	}
	return out
}

// relieveOne chooses a node that its two neighbours can relieve of all layers, and
// orders them to: the smallest one that can take the wanted layers, or the
// largest. It returns the number of layers that the node can take then, 0 if there
// is none.
func (p *plan) relieveOne(want int) int {
	var best, bestLeft, bestRight *Node
	bestByLeft := 0
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.ordered() || n.To <= n.From || p.freed[n.ID] {
			continue
		}
		left, spareLeft := p.neighbor(func(_, t int) bool { return t == n.From })
		right, spareRight := p.neighbor(func(f, _ int) bool { return f == n.To })
		size := n.To - n.From
		if spareLeft+spareRight < size || (best != nil && !p.betterToFree(n, best, want)) {
			continue
		}
		best, bestLeft, bestRight = n, left, right
		bestByLeft = min(spareLeft, max(size/2, size-spareRight))
	}
	if best == nil {
		return 0
	}
	p.freed[best.ID] = true
	middle := best.From + bestByLeft
	if bestByLeft > 0 {
		p.order(bestLeft, bestLeft.From, middle, "frees a replica")
	}
	if middle < best.To {
		p.order(bestRight, middle, bestRight.To, "frees a replica")
	}
	return most(p.model, best.Kind, leastCacheShare)
}

// closeGap shares a gap between one node on each side, by the layers that they
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
		f, t := left.span()
		p.order(left, f, t+byLeft, "replica gone")
	}
	if byRight > 0 {
		f, t := right.span()
		p.order(right, f-byRight, t, "replica gone")
	}
	return true
}

// neighbor returns the node without orders whose span fits and that can take the
// most layers more, and that number.
func (p *plan) neighbor(fits func(from, to int) bool) (*Node, int) {
	var best *Node
	spare := 0
	for i := range p.nodes {
		n := &p.nodes[i]
		from, to := n.span()
		if to <= from || n.ordered() || p.freed[n.ID] || !fits(from, to) {
			continue
		}
		if more := most(p.model, n.Kind, leastCacheShare) - (to - from); more > spare {
			best, spare = n, more
		}
	}
	return best, spare
}

func (p *plan) betterToFree(a, b *Node, want int) bool {
	takesA := most(p.model, a.Kind, leastCacheShare) >= want
	takesB := most(p.model, b.Kind, leastCacheShare) >= want
	if takesA != takesB {
		return takesA
	}
	if takesA {
		return p.memoryOf(a) < p.memoryOf(b)
	}
	return p.memoryOf(a) > p.memoryOf(b)
}
