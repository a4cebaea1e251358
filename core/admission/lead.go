package admission

import (
	"math"
	"time"
)

// lead is what goes before one request in its own rank.
type lead struct {
	cost float64 // tokens that are queued now
	// Requests that arrive later go first while their tags are smaller: of
	// flows whose backlog ends before the request's tag, and of idle flows.
	ended, idle later
}

// later bounds the cost of later arrivals that go first.
type later struct {
	rate float64 // tokens a second
	most float64 // tokens
}

// bounds returns the two bounds of l, each alone.
func (l later) bounds() [2]later {
	return [2]later{{rate: l.rate}, {most: l.most}}
}

// seconds returns when the lead has been served at rate tokens a second: the
// smallest t with rate*t = cost + min(rate_e*t, most_e) + min(rate_i*t, most_i).
func (l lead) seconds(rate float64) float64 {
	least := math.Inf(1)
	for _, ended := range l.ended.bounds() {
		for _, idle := range l.idle.bounds() {
			if left := rate - ended.rate - idle.rate; left > 0 {
				least = min(least, (l.cost+ended.most+idle.most)/left)
			}
		}
	}
	return least
}

// lead estimates what start-time fair queueing serves before a request of f
// that has before tokens of f ahead of it. The queued cost errs by at most one
// request for each other backlogged flow; the part of f itself is exact.
func (f *flow) lead(now time.Time, before float64) lead {
	r, own := f.rank, before/f.workspace.policy.Weight
	tag := max(r.vtime, f.finish) + own
	if f.byStart.linked {
		tag = f.byStart.key + own
	}
	begun, ended, all := r.byStart.upTo(tag), r.byTail.upTo(tag), r.byTail.total()
	cost := tag*(begun.weight-ended.weight) - (begun.weighted - ended.weighted) + begun.head - ended.head
	l := lead{
		ended: later{rate: ended.demand, most: tag*ended.weight - ended.weighted},
		idle:  later{rate: r.demand.rate(now) - all.demand, most: (r.weight - all.weight) * max(tag-r.vtime, 0)},
	}
	switch {
	case !f.byStart.linked:
		cost += before
		l.idle.rate -= f.demand.rate(now)
	case tag < f.byTail.key:
		cost -= f.head().cost
	default:
		l.ended.rate -= f.byTail.own.demand
	}
	l.cost = max(cost, before)
	l.ended = later{rate: max(l.ended.rate, 0), most: max(l.ended.most, 0)}
	l.idle = later{rate: max(l.idle.rate, 0), most: max(l.idle.most, 0)}
	return l
}

// before returns the number and cost of the flow's requests ahead of r.
func (f *flow) before(r *request) (place int, cost float64) {
	if !r.returned {
		place, cost = f.queued, f.queuedCost
		for o := f.last; o != nil; o = o.prev {
			place--
			cost -= o.cost
			if o == r {
				return place, cost
			}
		}
	}
	for _, o := range f.returned {
		if o.seq < r.seq {
			place++
			cost += o.cost
		}
	}
	return place, cost
}
