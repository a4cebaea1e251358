package layout

import (
	"cmp"
	"slices"
)

// chains sorts the nodes with layers into rows, one for each copy of the model,
// in which they follow each other as well as they do now.
func (p *plan) chains() [][]*Node {
	var held []*Node
	for i := range p.nodes {
		if !p.nodes[i].empty() {
			held = append(held, &p.nodes[i])
		}
	}
	slices.SortStableFunc(held, func(a, b *Node) int {
		return cmp.Compare(middle(a), middle(b))
	})
	rows := make([][]*Node, p.copies)
	ends := make([]int, p.copies)
	for _, n := range held {
		from, to := n.span()
		best := 0
		for i := range rows {
			if distance(ends[i], from) < distance(ends[best], from) {
				best = i
			}
		}
		rows[best] = append(rows[best], n)
		ends[best] = to
	}
	return rows
}

func middle(n *Node) int {
	from, to := n.span()
	return from + to
}

func distance(a, b int) int { return max(a-b, b-a) }

// fillRow puts the empty nodes into the rows, where they change least, and gives
// them their share of the layers. The others give way later.
func (p *plan) fillRow() {
	rows := p.chains()
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.empty() {
			continue
		}
		least := 0
		for r := range rows {
			if p.memoryOfAll(rows[r]) < p.memoryOfAll(rows[least]) {
				least = r
			}
		}
		rows[least] = p.insert(rows[least], n)
	}
}

func (p *plan) memoryOfAll(nodes []*Node) float64 {
	sum := 0.0
	for _, n := range nodes {
		sum += p.memoryOf(n)
	}
	return sum
}

// insert orders the layers for an empty node at the place in the row that leaves
// the others nearest to what they hold. It returns the row with the node.
func (p *plan) insert(row []*Node, n *Node) []*Node {
	best, bestMoved := -1, 0
	var bestFrom, bestTo int
	for at := 0; at <= len(row); at++ {
		with := slices.Insert(slices.Clone(row), at, n)
		sizes, ok := p.sizes(with, p.model.Layers, leastCacheShare)
		if !ok {
			continue
		}
		moved, from, start := 0, 0, 0
		for i, other := range with {
			if other == n {
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
		return p.insertIntoGap(row, n)
	}
	p.order(n, bestFrom, bestTo, "empty")
	return slices.Insert(slices.Clone(row), best, n)
}

// insertIntoGap is for groups that cannot hold the model: the node takes what it
// can of the widest gap.
func (p *plan) insertIntoGap(row []*Node, n *Node) []*Node {
	from, to := p.gap()
	if to == from {
		return row
	}
	p.order(n, from, min(to, from+most(p.model, n.Kind, leastCacheShare)), "gap")
	return append(slices.Clone(row), n)
}

// missing counts the layers from..to that the node does not hold.
func (p *plan) missing(n *Node, from, to int) int {
	heldFrom, heldTo := n.span()
	common := max(0, min(to, heldTo)-max(from, heldFrom))
	return to - from - common
}

// underWay tells whether an order is not done yet.
func (p *plan) underWay() bool {
	return slices.ContainsFunc(p.nodes, func(n Node) bool { return n.ordered() })
}

// weakest returns the number of tokens that fit at the layer with the least room.
func (p *plan) weakest() float64 { return slices.Min(p.tokens()) }

// balance moves layers between nodes that work, if the weakest layer gains by it:
// first nodes load what they are to hold, then others give up what is held twice.
func (p *plan) balance() {
	target, ok := p.balanced()
	if !ok {
		return
	}
	if target.weakest() < p.weakest()*worthwhile && !p.heldTwice(target) {
		return
	}
	if p.grow(target) {
		return
	}
	p.giveUp(target)
}

// balanced returns the plan with each row shared in proportion to memory.
func (p *plan) balanced() (*plan, bool) {
	target := &plan{model: p.model, nodes: slices.Clone(p.nodes), copies: p.copies, memory: p.memory}
	for _, row := range target.chains() {
		if len(row) == 0 {
			continue
		}
		sizes, ok := target.sizes(row, p.model.Layers, leastCacheShare)
		if !ok {
			return nil, false
		}
		at := 0
		for i, n := range row {
			n.From, n.To = at, at+sizes[i]
			at += sizes[i]
		}
	}
	return target, true
}

// heldTwice tells whether a node holds layers beyond its target, so that its KV
// cache is smaller than it needs to be.
func (p *plan) heldTwice(target *plan) bool {
	for i := range p.nodes {
		n, t := &p.nodes[i], &target.nodes[i]
		if n.From <= t.From && n.To >= t.To && n.To-n.From > t.To-t.From+1 {
			return true
		}
	}
	return false
}

// grow orders nodes to load layers of their target beside what they hold, as
// many as may load at once. It returns false when nothing is left to load.
func (p *plan) grow(target *plan) bool {
	before := len(p.orders)
	for i := range p.nodes {
		n, t := &p.nodes[i], &target.nodes[i]
		if p.missing(n, t.From, t.To) == 0 {
			continue
		}
		if p.model.LoadsAtOnce > 0 && len(p.orders)-before >= p.model.LoadsAtOnce {
			break
		}
		from, to := p.toward(n, t)
		p.order(n, from, to, "balance")
	}
	return len(p.orders) > before
}

// toward returns what the node holds with as much of its target beside it as its
// memory allows. Nothing is given up for it.
func (p *plan) toward(n, t *Node) (from, to int) {
	spare := max(0, most(p.model, n.Kind, balanceCacheShare)-(n.To-n.From))
	if t.To > n.To {
		return n.From, min(t.To, n.To+spare)
	}
	return max(t.From, n.From-spare), n.To
}

// giveUp lets nodes give up the layers at their ends that are beyond their target
// and that others hold.
func (p *plan) giveUp(target *plan) {
	held := p.held()
	for i := range p.nodes {
		n, t := &p.nodes[i], &target.nodes[i]
		from, to := n.From, n.To
		for from < min(t.From, to-1) && held[from] > p.copies {
			held[from]--
			from++
		}
		for to > max(t.To, from+1) && held[to-1] > p.copies {
			held[to-1]--
			to--
		}
		p.order(n, from, to, "held twice")
	}
}
