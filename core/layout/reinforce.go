package layout

import (
	"math"
	"slices"
)

const (
	// reinforceBelow is the share of the even capacity below which the weakest layer is
	// reinforced at any time. Requests wait for the weakest layer.
	reinforceBelow = 0.75
	// minShortageGain is the minimum share of the shortage that a move must remove.
	minShortageGain = 0.05
	// shortageExponent is the exponent that gives the weakest layers the most weight.
	shortageExponent = 4
	// weakRangeFactor is the factor up to which a layer's capacity counts as equal to that of
	// the weakest layer.
	weakRangeFactor = 1.3
	// minEvenShare is the share of the even capacity that is assumed for layers with less.
	minEvenShare = 0.02
)

// evenCapacity returns the number of tokens that would fit at each layer if the memory that the
// weights of all pipeline replicas leave free were split evenly.
func (p *plan) evenCapacity() float64 {
	free := p.memory/float64(p.model.Layers) - float64(p.pipelineCount)*p.model.LayerMB
	return p.model.CacheTokens(free)
}

// shortage is a smooth measure of how far the weakest layers are below the even capacity; lower
// is better.
func shortage(tokens []float64, even float64) float64 {
	sum := 0.0
	for _, t := range tokens {
		r := even / max(t, even*minEvenShare)
		sum += math.Pow(r, shortageExponent)
	}
	return sum
}

// move is a change of the layers of one replica.
type move struct {
	replica  *Replica
	from, to int
	shortage float64
	reason   string
}

// search looks for the move that leaves the least shortage.
type search struct {
	*plan
	current    []float64
	evenTokens float64
	best       move
	// currentWeakest is the capacity of the weakest layer.
	currentWeakest float64
	// buffer holds the capacities that a move would lead to; it is reused for each move.
	buffer []float64
}

func (p *plan) newSearch() *search {
	s := &search{plan: p, current: p.tokenCapacity(), evenTokens: p.evenCapacity(), buffer: make([]float64, p.model.Layers)}
	s.currentWeakest = slices.Min(s.current)
	s.best.shortage = shortage(s.current, s.evenTokens) * (1 - minShortageGain)
	return s
}

// evaluate evaluates one move.
func (s *search) evaluate(n *Replica, from, to int, reason string) {
	if from < 0 || to > s.model.Layers || to <= from {
		return
	}
	copy(s.buffer, s.current)
	heldFrom, heldTo := n.plannedRange()
	s.addCapacity(n, heldFrom, heldTo, -1)
	s.addCapacity(n, from, to, 1)
	if v := shortage(s.buffer, s.evenTokens); v < s.best.shortage {
		s.best = move{replica: n, from: from, to: to, shortage: v, reason: reason}
	}
}

// addCapacity adds (sign 1) or removes (sign -1) the capacity of a replica that holds the layers.
func (s *search) addCapacity(n *Replica, from, to int, sign float64) {
	if to <= from {
		return
	}
	each := sign * s.model.CacheCapacity(n.Kind, to-from) / float64(to-from)
	for l := from; l < min(to, len(s.buffer)); l++ {
		s.buffer[l] += each
	}
}

// reinforce raises the capacity of the weakest layers: replicas next to them load some of them,
// replicas release layers that others hold too, and replicas that are not needed for their own
// layers load the weakest ones instead. It may run while the fleet changes, because no move
// lowers the capacity of the weakest layers.
func (p *plan) reinforce() {
	if p.evenCapacity() <= 0 {
		return
	}
	loads := 0
	for range len(p.replicas) {
		if p.weakestCapacity() >= reinforceBelow*p.evenCapacity() {
			return
		}
		s := p.newSearch()
		s.evaluateAll()
		if s.best.replica == nil {
			return
		}
		if s.loadsLayers(s.best) {
			if loads++; p.model.MaxConcurrentLoads > 0 && loads > p.model.MaxConcurrentLoads {
				return
			}
		}
		p.assign(s.best.replica, s.best.from, s.best.to, s.best.reason)
	}
}

// evaluateBoundaryMove evaluates loading layers at an end of another replica's range, which that
// replica releases afterwards: the first half of moving the boundary between the two.
func (s *search) evaluateBoundaryMove(n *Replica) {
	spare := maxLayers(s.model, n.Kind, minCacheShare) - (n.To - n.From)
	if spare <= 0 {
		return
	}
	for i := range s.replicas {
		o := &s.replicas[i]
		from, to := o.plannedRange()
		if o == n || to <= from {
			continue
		}
		for k := 1; k <= spare; k++ {
			if t := n.To + k; n.To >= from && t > from && t < to {
				s.evaluatePair(n, n.From, t, o, t, to)
			}
			if f := n.From - k; n.From <= to && f < to && f > from {
				s.evaluatePair(n, f, n.To, o, from, f)
			}
		}
	}
}

// evaluatePair evaluates a move of one replica that allows a later move of another one.
func (s *search) evaluatePair(n *Replica, from, to int, o *Replica, otherFrom, otherTo int) {
	copy(s.buffer, s.current)
	heldFrom, heldTo := n.plannedRange()
	s.addCapacity(n, heldFrom, heldTo, -1)
	s.addCapacity(n, from, to, 1)
	if slices.Min(s.buffer) < s.currentWeakest {
		return
	}
	heldFrom, heldTo = o.plannedRange()
	s.addCapacity(o, heldFrom, heldTo, -1)
	s.addCapacity(o, otherFrom, otherTo, 1)
	if v := shortage(s.buffer, s.evenTokens); v < s.best.shortage {
		s.best = move{replica: n, from: from, to: to, shortage: v, reason: "relieves"}
	}
}

// loadsLayers reports whether a move loads layers.
func (s *search) loadsLayers(m move) bool { return s.missing(m.replica, m.from, m.to) > 0 }

// evaluateAll evaluates the moves of all replicas without a pending assignment.
func (s *search) evaluateAll() {
	holders := s.remainingHolders()
	weakFrom, weakTo := s.weakestRange()
	for i := range s.replicas {
		n := &s.replicas[i]
		if n.pending() || n.To <= n.From {
			continue
		}
		s.evaluateExtension(n)
		s.evaluateBoundaryMove(n)
		s.evaluateRelease(n, holders)
		s.evaluateRelocation(n, holders, weakFrom, weakTo)
	}
}

// evaluateExtension evaluates loading layers next to those held.
func (s *search) evaluateExtension(n *Replica) {
	spare := maxLayers(s.model, n.Kind, minCacheShare) - (n.To - n.From)
	for k := 1; k <= spare; k++ {
		s.evaluate(n, n.From-k, n.To, "reinforces")
		s.evaluate(n, n.From, n.To+k, "reinforces")
	}
}

// evaluateRelease evaluates releasing layers at an end that another replica holds too.
func (s *search) evaluateRelease(n *Replica, holders []int) {
	for from := n.From; from < n.To-1 && holders[from] > 1; from++ {
		s.evaluate(n, from+1, n.To, "held twice")
	}
	for to := n.To; to > n.From+1 && holders[to-1] > 1; to-- {
		s.evaluate(n, n.From, to-1, "held twice")
	}
}

// evaluateRelocation evaluates replacing a replica's layers with the weakest ones, if its own
// layers keep more capacity without it than the weakest layer has now.
func (s *search) evaluateRelocation(n *Replica, holders []int, weakFrom, weakTo int) {
	each := s.model.CacheCapacity(n.Kind, n.To-n.From) / float64(n.To-n.From)
	for l := n.From; l < n.To; l++ {
		if holders[l] < 2 || s.current[l]-each <= s.currentWeakest {
			return
		}
	}
	limit := maxLayers(s.model, n.Kind, minCacheShare)
	for _, size := range []int{n.To - n.From, limit, (limit + 1) / 2, weakTo - weakFrom} {
		size = min(size, limit)
		s.evaluate(n, weakFrom, min(weakFrom+size, s.model.Layers), "needed elsewhere")
		s.evaluate(n, max(0, weakTo-size), weakTo, "needed elsewhere")
	}
}

// weakestRange returns the range of layers around the weakest one that have about the same
// capacity.
func (s *search) weakestRange() (from, to int) {
	at := 0
	for l, t := range s.current {
		if t < s.current[at] {
			at = l
		}
	}
	limit := s.current[at] * weakRangeFactor
	from, to = at, at+1
	for from > 0 && s.current[from-1] <= limit {
		from--
	}
	for to < len(s.current) && s.current[to] <= limit {
		to++
	}
	return from, to
}

// fillWeakest assigns each empty replica the layers with which it reduces the shortage most.
func (p *plan) fillWeakest() {
	for i := range p.replicas {
		n := &p.replicas[i]
		if !n.isEmpty() {
			continue
		}
		s := p.newSearch()
		s.best.shortage = math.Inf(1)
		for size := 1; size <= maxLayers(p.model, n.Kind, minCacheShare); size++ {
			for from := 0; from+size <= p.model.Layers; from++ {
				s.evaluate(n, from, from+size, "empty")
			}
		}
		if s.best.replica != nil {
			p.assign(n, s.best.from, s.best.to, s.best.reason)
		}
	}
}
