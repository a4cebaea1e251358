package layout

import (
	"math"
	"slices"
)

const (
	// weakShare is the part of the room of an even layout below which the weakest
	// layer is reinforced at any time. Requests wait for the weakest layer.
	weakShare = 0.75
	// shortageGain is the part of the shortage that a move must take away.
	shortageGain = 0.05
	// shortagePower makes the weakest layers count most.
	shortagePower = 4
	// weakRunShare bounds the room of the layers that count as weak as the weakest.
	weakRunShare = 1.3
	// leastTokens is the part of the even room that layers without room count with.
	leastTokens = 0.02
)

// even returns the number of tokens that fit at each layer if the memory that the
// copies leave free is shared evenly.
func (p *plan) even() float64 {
	free := p.memory/float64(p.model.Layers) - float64(p.copies)*p.model.LayerMB
	return p.model.CacheTokens(free)
}

// shortage is a smooth measure of how far the weakest layers are below the even room;
// lower is better.
func shortage(tokens []float64, even float64) float64 {
	sum := 0.0
	for _, t := range tokens {
		r := even / max(t, even*leastTokens)
		sum += math.Pow(r, shortagePower)
	}
	return sum
}

// move is a change of what one node holds.
type move struct {
	node     *Node
	from, to int
	shortage float64
	why      string
}

// search looks for the move that leaves the least shortage.
type search struct {
	*plan
	now  []float64
	even float64
	best move
	// weakestNow is the room of the weakest layer.
	weakestNow float64
	// after is reused for each move.
	after []float64
}

func (p *plan) newSearch() *search {
	s := &search{plan: p, now: p.tokens(), even: p.even(), after: make([]float64, p.model.Layers)}
	s.weakestNow = slices.Min(s.now)
	s.best.shortage = shortage(s.now, s.even) * (1 - shortageGain)
	return s
}

// try looks at one move.
func (s *search) try(n *Node, from, to int, why string) {
	if from < 0 || to > s.model.Layers || to <= from {
		return
	}
	copy(s.after, s.now)
	heldFrom, heldTo := n.span()
	s.add(n, heldFrom, heldTo, -1)
	s.add(n, from, to, 1)
	if v := shortage(s.after, s.even); v < s.best.shortage {
		s.best = move{node: n, from: from, to: to, shortage: v, why: why}
	}
}

// add adds the room of a node that holds the layers, or takes it away.
func (s *search) add(n *Node, from, to int, sign float64) {
	if to <= from {
		return
	}
	each := sign * s.model.Room(n.Kind, to-from) / float64(to-from)
	for l := from; l < min(to, len(s.after)); l++ {
		s.after[l] += each
	}
}

// reinforce gives the weakest layers more room: by nodes beside them that take some
// of their layers, by nodes that give up what others hold too, and by nodes that are
// not needed where they are. It may run while the fleet changes: no move takes away
// what the weakest layers have.
func (p *plan) reinforce() {
	if p.even() <= 0 {
		return
	}
	loads := 0
	for range len(p.nodes) {
		if p.weakest() >= weakShare*p.even() {
			return
		}
		s := p.newSearch()
		s.tryAll()
		if s.best.node == nil {
			return
		}
		if s.loading(s.best) {
			if loads++; p.model.LoadsAtOnce > 0 && loads > p.model.LoadsAtOnce {
				return
			}
		}
		p.order(s.best.node, s.best.from, s.best.to, s.best.why)
	}
}

// tryRelief lets a node load layers at an end of another one, which gives them up
// afterwards: the first half of a move of the boundary between the two.
func (s *search) tryRelief(n *Node) {
	spare := most(s.model, n.Kind, leastCacheShare) - (n.To - n.From)
	if spare <= 0 {
		return
	}
	for i := range s.nodes {
		o := &s.nodes[i]
		from, to := o.span()
		if o == n || to <= from {
			continue
		}
		for k := 1; k <= spare; k++ {
			if t := n.To + k; n.To >= from && t > from && t < to {
				s.tryPair(n, n.From, t, o, t, to)
			}
			if f := n.From - k; n.From <= to && f < to && f > from {
				s.tryPair(n, f, n.To, o, from, f)
			}
		}
	}
}

// tryPair looks at a move of one node that allows a move of another one later.
func (s *search) tryPair(n *Node, from, to int, o *Node, otherFrom, otherTo int) {
	copy(s.after, s.now)
	heldFrom, heldTo := n.span()
	s.add(n, heldFrom, heldTo, -1)
	s.add(n, from, to, 1)
	if slices.Min(s.after) < s.weakestNow {
		return
	}
	heldFrom, heldTo = o.span()
	s.add(o, heldFrom, heldTo, -1)
	s.add(o, otherFrom, otherTo, 1)
	if v := shortage(s.after, s.even); v < s.best.shortage {
		s.best = move{node: n, from: from, to: to, shortage: v, why: "relieves"}
	}
}

// loading tells whether a move loads layers.
func (s *search) loading(m move) bool { return s.missing(m.node, m.from, m.to) > 0 }

// tryAll looks at the moves of all nodes without orders.
func (s *search) tryAll() {
	held := s.held()
	weakFrom, weakTo := s.weakRun()
	for i := range s.nodes {
		n := &s.nodes[i]
		if n.ordered() || n.To <= n.From {
			continue
		}
		s.tryGrow(n)
		s.tryRelief(n)
		s.tryGiveUp(n, held)
		s.tryElsewhere(n, held, weakFrom, weakTo)
	}
}

// tryGrow lets a node load layers beside what it holds.
func (s *search) tryGrow(n *Node) {
	spare := most(s.model, n.Kind, leastCacheShare) - (n.To - n.From)
	for k := 1; k <= spare; k++ {
		s.try(n, n.From-k, n.To, "reinforces")
		s.try(n, n.From, n.To+k, "reinforces")
	}
}

// tryGiveUp lets a node give up layers at an end that another one holds too.
func (s *search) tryGiveUp(n *Node, held []int) {
	for from := n.From; from < n.To-1 && held[from] > 1; from++ {
		s.try(n, from+1, n.To, "held twice")
	}
	for to := n.To; to > n.From+1 && held[to-1] > 1; to-- {
		s.try(n, n.From, to-1, "held twice")
	}
}

// tryElsewhere lets a node take the weakest layers in place of its own, if these keep
// more room without it than the weakest have now.
func (s *search) tryElsewhere(n *Node, held []int, weakFrom, weakTo int) {
	each := s.model.Room(n.Kind, n.To-n.From) / float64(n.To-n.From)
	for l := n.From; l < n.To; l++ {
		if held[l] < 2 || s.now[l]-each <= s.weakestNow {
			return
		}
	}
	limit := most(s.model, n.Kind, leastCacheShare)
	for _, size := range []int{n.To - n.From, limit, (limit + 1) / 2, weakTo - weakFrom} {
		size = min(size, limit)
		s.try(n, weakFrom, min(weakFrom+size, s.model.Layers), "needed elsewhere")
		s.try(n, max(0, weakTo-size), weakTo, "needed elsewhere")
	}
}

// weakRun returns the run of layers with about the room of the weakest one.
func (s *search) weakRun() (from, to int) {
	at := 0
	for l, t := range s.now {
		if t < s.now[at] {
			at = l
		}
	}
	limit := s.now[at] * weakRunShare
	from, to = at, at+1
	for from > 0 && s.now[from-1] <= limit {
		from--
	}
	for to < len(s.now) && s.now[to] <= limit {
		to++
	}
	return from, to
}

// fillWeakest gives each empty node the layers with which it takes away most of the
// shortage.
func (p *plan) fillWeakest() {
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.empty() {
			continue
		}
		s := p.newSearch()
		s.best.shortage = math.Inf(1)
		for size := 1; size <= most(p.model, n.Kind, leastCacheShare); size++ {
			for from := 0; from+size <= p.model.Layers; from++ {
				s.try(n, from, from+size, "empty")
			}
		}
		if s.best.node != nil {
			p.order(n, s.best.from, s.best.to, s.best.why)
		}
	}
}
