package admission

import (
	"math"
	"time"
)

// workAhead is the work that is served before one request within its own rank.
type workAhead struct {
	cost float64 // tokens queued now
	// Requests that arrive later are served first if their start tags are smaller. This
	// holds for arrivals in flows that drain before the request's tag (drained) and in
	// flows that are idle now (idle).
	drained, idle laterArrivals
}

// laterArrivals bounds the cost of later arrivals that are served first.
type laterArrivals struct {
	rate    float64 // tokens per second
	maxCost float64 // tokens
}

// bounds returns the two bounds of l, each on its own.
func (l laterArrivals) bounds() [2]laterArrivals {
	return [2]laterArrivals{{rate: l.rate}, {maxCost: l.maxCost}}
}

// timeToServe returns the seconds until the work has been served at rate tokens per
// second: the smallest t with rate*t = cost + min(rate_d*t, max_d) + min(rate_i*t,
// max_i), where d stands for drained and i for idle.
func (w workAhead) timeToServe(rate float64) float64 {
	earliest := math.Inf(1)
	for _, drained := range w.drained.bounds() {
		for _, idle := range w.idle.bounds() {
			if left := rate - drained.rate - idle.rate; left > 0 {
				earliest = min(earliest, (w.cost+drained.maxCost+idle.maxCost)/left)
			}
		}
	}
	return earliest
}

// workAhead estimates what start-time fair queueing serves before a request of f that
// has costAhead tokens of f ahead of it. The queued cost is off by at most one request
// for each other backlogged flow; the contribution of f itself is exact.
func (f *flow) workAhead(now time.Time, costAhead float64) workAhead {
	r, own := f.rank, costAhead/f.workspace.policy.Weight
	tag := max(r.virtualTime, f.finishTag) + own
	if f.byStart.linked {
		tag = f.byStart.key + own
	}
	started, drained, all := r.byStart.upTo(tag), r.byDrain.upTo(tag), r.byDrain.total()
	cost := tag*(started.weight-drained.weight) - (started.weightedKey - drained.weightedKey) + started.headCost - drained.headCost
	work := workAhead{
		drained: laterArrivals{rate: drained.demand, maxCost: tag*drained.weight - drained.weightedKey},
		idle:    laterArrivals{rate: r.demand.rate(now) - all.demand, maxCost: (r.weight - all.weight) * max(tag-r.virtualTime, 0)},
	}
	switch {
	case !f.byStart.linked:
		cost += costAhead
		work.idle.rate -= f.demand.rate(now)
	case tag < f.byDrain.key:
		cost -= f.head().cost
	default:
		work.drained.rate -= f.byDrain.own.demand
	}
	work.cost = max(cost, costAhead)
	work.drained = laterArrivals{rate: max(work.drained.rate, 0), maxCost: max(work.drained.maxCost, 0)}
	work.idle = laterArrivals{rate: max(work.idle.rate, 0), maxCost: max(work.idle.maxCost, 0)}
	return work
}

// ahead returns the number and the cost of the flow's requests ahead of r.
func (f *flow) ahead(r *request) (place int, cost float64) {
	if !r.requeued {
		place, cost = f.queued, f.queuedCost
		for o := f.last; o != nil; o = o.prev {
			place--
			cost -= o.cost
			if o == r {
				return place, cost
			}
		}
	}
	for _, o := range f.requeued {
		if o.seq < r.seq {
			place++
			cost += o.cost
		}
	}
	return place, cost
}
