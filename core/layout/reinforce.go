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
	// weakRangeFactor defines which layers count as weak as the weakest one: those with at most
	// this multiple of its capacity.
	weakRangeFactor = 1.3
	// minEvenShare is the lower bound of a layer's capacity in the shortage, as a share of the
	// even capacity. It keeps the shortage finite for layers that no replica holds.
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

// evaluate computes the shortage that a move would leave, and keeps the move if it is the best one
// so far.
func (s *search) evaluate(r *Replica, from, to int, reason string) {
	if from < 0 || to > s.model.Layers || to <= from {
		return
	}
	copy(s.buffer, s.current)
	heldFrom, heldTo := r.plannedRange()
	s.addCapacity(r, heldFrom, heldTo, -1)
	s.addCapacity(r, from, to, 1)
	if v := shortage(s.buffer, s.evenTokens); v < s.best.shortage {
		s.best = move{replica: r, from: from, to: to, shortage: v, reason: reason}
	}
}

// addCapacity adds (sign 1) or removes (sign -1) the capacity of a replica that holds the layers.
func (s *search) addCapacity(r *Replica, from, to int, sign float64) {
	if to <= from {
		return
	}
	each := sign * s.model.CacheCapacity(r.Kind, to-from) / float64(to-from)
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
func (s *search) evaluateBoundaryMove(r *Replica) {
	spare := maxLayers(s.model, r.Kind, minCacheShare) - (r.To - r.From)
	if spare <= 0 {
		return
	}
	for i := range s.replicas {
		o := &s.replicas[i]
		from, to := o.plannedRange()
		if o == r || to <= from {
			continue
		}
		for k := 1; k <= spare; k++ {
			if t := r.To + k; r.To >= from && t > from && t < to {
				s.evaluatePair(r, r.From, t, o, t, to)
			}
			if f := r.From - k; r.From <= to && f < to && f > from {
				s.evaluatePair(r, f, r.To, o, from, f)
			}
		}
	}
}

// evaluatePair evaluates a move of one replica that allows a later move of another one, by the
// shortage after both. The first move alone must not lower the capacity of the weakest layer.
func (s *search) evaluatePair(r *Replica, from, to int, o *Replica, otherFrom, otherTo int) {
	copy(s.buffer, s.current)
	heldFrom, heldTo := r.plannedRange()
	s.addCapacity(r, heldFrom, heldTo, -1)
	s.addCapacity(r, from, to, 1)
	if slices.Min(s.buffer) < s.currentWeakest {
		return
	}
	heldFrom, heldTo = o.plannedRange()
	s.addCapacity(o, heldFrom, heldTo, -1)
	s.addCapacity(o, otherFrom, otherTo, 1)
	if v := shortage(s.buffer, s.evenTokens); v < s.best.shortage {
		s.best = move{replica: r, from: from, to: to, shortage: v, reason: "relieves"}
	}
}

// loadsLayers reports whether a move loads layers.
func (s *search) loadsLayers(m move) bool { return s.missing(m.replica, m.from, m.to) > 0 }

// evaluateAll evaluates the moves of all replicas without a pending assignment.
func (s *search) evaluateAll() {
	holders := s.remainingHolders()
	weakFrom, weakTo := s.weakestRange()
	for i := range s.replicas {
		r := &s.replicas[i]
		if r.pending() || r.To <= r.From {
			continue
		}
		s.evaluateExtension(r)
		s.evaluateBoundaryMove(r)
		s.evaluateRelease(r, holders)
		s.evaluateRelocation(r, holders, weakFrom, weakTo)
	}
}

// evaluateExtension evaluates loading layers next to those held.
func (s *search) evaluateExtension(r *Replica) {
	spare := maxLayers(s.model, r.Kind, minCacheShare) - (r.To - r.From)
	for k := 1; k <= spare; k++ {
		s.evaluate(r, r.From-k, r.To, "reinforces")
		s.evaluate(r, r.From, r.To+k, "reinforces")
	}
}

// evaluateRelease evaluates releasing layers at an end that another replica holds too.
func (s *search) evaluateRelease(r *Replica, holders []int) {
	for from := r.From; from < r.To-1 && holders[from] > 1; from++ {
		s.evaluate(r, from+1, r.To, "held twice")
	}
	for to := r.To; to > r.From+1 && holders[to-1] > 1; to-- {
		s.evaluate(r, r.From, to-1, "held twice")
	}
}

// evaluateRelocation evaluates replacing a replica's layers with the weakest ones, if its own
// layers keep more capacity without it than the weakest layer has now.
func (s *search) evaluateRelocation(r *Replica, holders []int, weakFrom, weakTo int) {
	each := s.model.CacheCapacity(r.Kind, r.To-r.From) / float64(r.To-r.From)
	for l := r.From; l < r.To; l++ {
		if holders[l] < 2 || s.current[l]-each <= s.currentWeakest {
			return
		}
	}
	limit := maxLayers(s.model, r.Kind, minCacheShare)
	for _, size := range []int{r.To - r.From, limit, (limit + 1) / 2, weakTo - weakFrom} {
		size = min(size, limit)
		s.evaluate(r, weakFrom, min(weakFrom+size, s.model.Layers), "needed elsewhere")
		s.evaluate(r, max(0, weakTo-size), weakTo, "needed elsewhere")
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
		r := &p.replicas[i]
		if !r.isEmpty() {
			continue
		}
		s := p.newSearch()
		s.best.shortage = math.Inf(1)
		for size := 1; size <= maxLayers(p.model, r.Kind, minCacheShare); size++ {
			for from := 0; from+size <= p.model.Layers; from++ {
				s.evaluate(r, from, from+size, "empty")
			}
		}
		if s.best.replica != nil {
			p.assign(r, s.best.from, s.best.to, s.best.reason)
		}
	}
}
