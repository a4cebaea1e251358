package admission

import (
	"math"
	"time"
)

const (
	// minPaceMemory is the least number of completions over which the pace is
	// averaged, pacePerSlot the number for each slot.
	minPaceMemory = 50
	pacePerSlot   = 4
	// serviceDeviations is the number of standard deviations of the service
	// time that a newcomer's deadline must leave.
	serviceDeviations = 2
	// minRetryAfter and maxRetryAfter bound the advice given with a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// unknownRetryAfter is the advice while no completion was observed.
	unknownRetryAfter = time.Second
)

// pace measures how many estimated tokens a second one slot serves, as the
// ratio of two exponentially weighted sums over completions. Because it counts
// estimates, a constant error of the estimates cancels out of expected times.
type pace struct {
	cost    float64 // estimated tokens
	seconds float64
	// Weighted sums of the service time over the expected one.
	count, ratio, square float64
}

// observe counts a completion in a pool with the given number of slots.
func (p *pace) observe(estimate float64, elapsed time.Duration, slots int) {
	if elapsed <= 0 {
		return
	}
	keep := 1 - 1/float64(max(minPaceMemory, pacePerSlot*slots))
	p.cost = p.cost*keep + estimate
	p.seconds = p.seconds*keep + elapsed.Seconds()
	ratio := elapsed.Seconds() / p.service(estimate)
	p.count = p.count*keep + 1
	p.ratio = p.ratio*keep + ratio
	p.square = p.square*keep + ratio*ratio
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

// variation is the coefficient of variation of the service time.
func (p *pace) variation() float64 {
	if p.count == 0 || p.ratio == 0 {
		return 0
	}
	mean := p.ratio / p.count
	return math.Sqrt(max(p.square/p.count-mean*mean, 0)) / mean
}

// allowance is the longest wait in seconds that leaves a request with left
// seconds until its deadline a good chance to end in time. Service times that
// vary shorten it, but never below an even part of what the mean leaves.
func (p *pace) allowance(cost, left float64) float64 {
	service, variation := p.service(cost), p.variation()
	return max(left-service*(1+serviceDeviations*variation), (left-service)/(1+variation))
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
// expected to send; less urgent ranks take their minimum shares, as far as they
// have work or are expected to send some. The rank's own minimum share bounds
// the wait from above.
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
	lead := f.lead(now, before)
	lead.cost += q.untilFree()
	seconds = math.Inf(1)
	if share := f.rank.minShare * rate; share > 0 {
		seconds = lead.seconds(share)
	}
	available := rate
	for _, r := range q.ranks {
		switch {
		case r.index < f.rank.index:
			lead.cost += r.queuedCost
			available -= r.demand.rate(now)
		case r.index > f.rank.index && r.ready() != nil:
			available -= r.minShare * rate
		case r.index > f.rank.index:
			available -= min(r.minShare*rate, r.demand.rate(now))
		}
	}
	seconds = min(seconds, lead.seconds(available))
	return max(seconds, f.workspace.wait(before, perSlot)), true
}

// untilFree is the cost that must be completed before a slot is free.
func (q *Queue) untilFree() float64 {
	if q.inFlight < q.slots {
		return 0
	}
	return q.meanInFlight() * float64(q.inFlight-q.slots+1)
}

// meanInFlight is the mean cost of a running request.
func (q *Queue) meanInFlight() float64 {
	return q.inFlightCost / float64(max(q.inFlight, 1))
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
