package admission

import (
	"math"
	"time"
)

const (
	// paceMemory is the number of completions over which the pace is averaged.
	paceMemory = 50
	// minRetryAfter and maxRetryAfter bound the advice given with a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// unknownRetryAfter is the advice while no completion was observed.
	unknownRetryAfter = time.Second
)

// pace measures how many tokens a second one slot serves, as the ratio of two
// exponentially weighted sums over completions.
type pace struct {
	cost    float64 // tokens
	seconds float64
}

func (p *pace) observe(cost float64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	const keep = 1 - 1.0/paceMemory
	p.cost = p.cost*keep + cost
	p.seconds = p.seconds*keep + elapsed.Seconds()
}

// perSlot returns tokens a second of one slot, 0 before any completion.
func (p *pace) perSlot() float64 {
	if p.seconds <= 0 {
		return 0
	}
	return p.cost / p.seconds
}

// service returns the expected seconds to serve cost, 0 while unknown.
func (p *pace) service(cost float64) float64 {
	if p.cost <= 0 {
		return 0
	}
	return cost * p.seconds / p.cost
}

// used estimates the tokens that a running request has used so far.
func (q *Queue) used(now time.Time, r *request) float64 {
	perSlot := q.pace.perSlot()
	if perSlot == 0 {
		return r.cost
	}
	elapsed := max(now.Sub(r.dispatchedAt).Seconds(), 0)
	return usableCost(min(r.cost, elapsed*perSlot))
}

// wait returns the expected seconds until a request of f is dispatched that has
// before tokens of its own flow ahead of it. It is unknown before any
// completion was observed and while the pool has no slots.
//
// More urgent ranks go first with what they have queued and with what they are
// expected to send; less urgent ranks with work take their minimum shares. The
// rank's own minimum share bounds the wait from above.
func (q *Queue) wait(now time.Time, f *flow, before float64) (seconds float64, known bool) {
	perSlot := q.pace.perSlot()
	slots := q.slots
	if f.rank.index > 0 {
		slots -= q.reserved()
	}
	if perSlot == 0 || slots <= 0 {
		return 0, false
	}
	rate := perSlot * float64(slots)
	ahead := f.ahead(before) + q.untilFree()
	available, urgent := rate, 0.0
	for _, r := range q.ranks {
		switch {
		case r.index < f.rank.index:
			urgent += r.queuedCost
			available -= r.demand.rate(now)
		case r.index > f.rank.index && r.ready() != nil:
			available -= r.minShare * rate
		}
	}
	seconds = math.Inf(1)
	if available > 0 {
		seconds = (urgent + ahead) / available
	}
	if share := f.rank.minShare * rate; share > 0 {
		seconds = min(seconds, ahead/share)
	}
	return max(seconds, f.workspace.wait(before, perSlot)), true
}

// untilFree is the cost that must be completed before a slot is free.
func (q *Queue) untilFree() float64 {
	if q.inFlight < q.slots {
		return 0
	}
	mean := q.inFlightCost / float64(max(q.inFlight, 1))
	return mean * float64(q.inFlight-q.slots+1)
}

// wait is the wait in seconds that the bound on the workspace's running
// requests imposes on a request with before tokens ahead of it.
func (w *workspace) wait(before, perSlot float64) float64 {
	if !w.held() {
		return 0
	}
	mean := w.inFlightCost / float64(w.inFlight)
	over := float64(w.inFlight - w.policy.MaxInFlight + 1)
	return (mean*over + before) / (perSlot * float64(w.policy.MaxInFlight))
}

// ahead estimates the cost of its rank that is dispatched before a request of
// f which has before tokens of f ahead of it. The part of f itself is exact.
func (f *flow) ahead(before float64) float64 {
	own := before / f.workspace.policy.Weight
	if !f.byStart.linked {
		return f.rank.ahead(max(f.rank.vtime, f.finish)+own) + before
	}
	tag := f.byStart.key + own
	cost := f.rank.ahead(tag)
	if tag < f.byTail.key {
		cost -= f.head().cost
	}
	return max(cost, before)
}

// adviseRetry returns the expected wait of a waiting request as advice.
func (q *Queue) adviseRetry(now time.Time, r *request) time.Duration {
	_, before := r.flow.before(r)
	wait, known := q.wait(now, r.flow, before)
	return retryAfter(wait, known)
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

// duration converts seconds, saturating at a day.
func duration(seconds float64) time.Duration {
	const day = 24 * time.Hour
	if !(seconds < day.Seconds()) {
		return day
	}
	return time.Duration(seconds * float64(time.Second))
}

// retryAfter turns an expected wait in seconds into advice to the caller.
func retryAfter(seconds float64, known bool) time.Duration {
	if !known {
		return unknownRetryAfter
	}
	return min(max(duration(seconds), minRetryAfter), maxRetryAfter)
}
