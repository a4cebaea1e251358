package admission

import (
	"math"
	"time"
)

const (
	// minRateSamples is the minimum number of completions over which the service rate
	// is averaged, rateSamplesPerSlot the number for each slot. The larger of the two
	// applies.
	minRateSamples     = 50
	rateSamplesPerSlot = 4
	// serviceDeviations is the number of standard deviations of the service time that
	// the deadline of a new request must leave in addition to the mean.
	serviceDeviations = 2
	// minRetryAfter and maxRetryAfter bound the suggested retry time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// unknownRetryAfter is the suggested retry time while no wait can be estimated.
	unknownRetryAfter = time.Second
)

// serviceRate measures how many estimated tokens one slot serves per second, as the
// ratio of two exponentially weighted sums over completions. Because it counts
// estimated tokens, a constant error factor of the estimates cancels out of expected
// times.
type serviceRate struct {
	cost    float64 // estimated tokens
	seconds float64
	// Weighted sums over the ratio of the actual to the expected service time: of the
	// weights, the ratios and their squares.
	weights, ratioSum, squareSum float64
}

// observe records a completion in a pool with the given number of slots.
func (r *serviceRate) observe(estimate float64, elapsed time.Duration, slots int) {
	if elapsed <= 0 {
		return
	}
	keep := 1 - 1/float64(max(minRateSamples, rateSamplesPerSlot*slots))
	r.cost = r.cost*keep + estimate
	r.seconds = r.seconds*keep + elapsed.Seconds()
	ratio := elapsed.Seconds() / r.serviceTime(estimate)
	r.weights = r.weights*keep + 1
	r.ratioSum = r.ratioSum*keep + ratio
	r.squareSum = r.squareSum*keep + ratio*ratio
}

// perSlot returns the tokens per second of one slot, 0 before any completion.
func (r *serviceRate) perSlot() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.cost / r.seconds
}

// serviceTime returns the expected seconds to serve cost, 0 while unknown.
func (r *serviceRate) serviceTime(cost float64) float64 {
	if r.cost <= 0 {
		return 0
	}
	return cost * r.seconds / r.cost
}

// variation returns the coefficient of variation of the service time.
func (r *serviceRate) variation() float64 {
	if r.weights == 0 || r.ratioSum == 0 {
		return 0
	}
	mean := r.ratioSum / r.weights
	return math.Sqrt(max(r.squareSum/r.weights-mean*mean, 0)) / mean
}

// maxWait returns the longest wait in seconds after which a request with left seconds
// until its deadline is still likely to complete in time. Variable service times
// shorten it, but never below (left-serviceTime)/(1+variation).
func (r *serviceRate) maxWait(cost, left float64) float64 {
	service, variation := r.serviceTime(cost), r.variation()
	return max(left-service*(1+serviceDeviations*variation), (left-service)/(1+variation))
}

// estimatedUsage estimates the tokens that a running request has used so far.
func (q *Queue) estimatedUsage(now time.Time, r *request) float64 {
	perSlot := q.rate.perSlot()
	if perSlot == 0 {
		return r.cost
	}
	elapsed := max(now.Sub(r.dispatchedAt).Seconds(), 0)
	return clampCost(min(r.cost, elapsed*perSlot))
}

// expectedWait returns the expected seconds until a request of f that has costAhead
// tokens of its own flow ahead of it is dispatched. The wait is unknown before the
// first completion and while no slot is usable for the rank.
//
// More urgent ranks are served first, with their queued cost and their expected
// arrivals. Less urgent ranks use their minimum shares as far as they have work or are
// expected to receive some. The minimum share of the request's own rank bounds the wait
// from above.
func (q *Queue) expectedWait(now time.Time, f *flow, costAhead float64) (seconds float64, known bool) {
	perSlot := q.rate.perSlot()
	slots := q.slots
	if f.rank.index > 0 {
		slots -= q.reserved()
	}
	if perSlot == 0 || slots <= 0 {
		return 0, false
	}
	rate := perSlot * float64(slots)
	ahead := f.workAhead(now, costAhead)
	ahead.cost += q.costUntilFreeSlot()
	seconds = math.Inf(1)
	if share := f.rank.minShare * rate; share > 0 {
		seconds = ahead.timeToServe(share)
	}
	available := rate
	for _, r := range q.ranks {
		switch {
		case r.index < f.rank.index:
			ahead.cost += r.queuedCost
			available -= r.demand.rate(now)
		case r.index > f.rank.index && r.nextFlow() != nil:
			available -= r.minShare * rate
		case r.index > f.rank.index:
			available -= min(r.minShare*rate, r.demand.rate(now))
		}
	}
	seconds = min(seconds, ahead.timeToServe(available))
	return max(seconds, f.workspace.inFlightWait(costAhead, perSlot)), true
}

// costUntilFreeSlot returns the cost that must complete before a slot is free.
func (q *Queue) costUntilFreeSlot() float64 {
	if q.inFlight < q.slots {
		return 0
	}
	return q.meanInFlight() * float64(q.inFlight-q.slots+1)
}

// meanInFlight returns the mean cost of a running request.
func (q *Queue) meanInFlight() float64 {
	return q.inFlightCost / float64(max(q.inFlight, 1))
}

// inFlightWait returns the wait in seconds that the workspace's limit on running
// requests imposes on a request with costAhead tokens ahead of it.
func (w *workspace) inFlightWait(costAhead, perSlot float64) float64 {
	if !w.atInFlightLimit() {
		return 0
	}
	mean := w.inFlightCost / float64(w.inFlight)
	over := float64(w.inFlight - w.policy.MaxInFlight + 1)
	return (mean*over + costAhead) / (perSlot * float64(w.policy.MaxInFlight))
}

// secondsToDuration converts seconds to a duration, at most one day; NaN becomes one
// day too.
func secondsToDuration(seconds float64) time.Duration {
	const day = 24 * time.Hour
	if !(seconds < day.Seconds()) {
		return day
	}
	return time.Duration(seconds * float64(time.Second))
}

// retryAfter converts an expected wait in seconds to the retry time suggested to the
// client.
func retryAfter(seconds float64, known bool) time.Duration {
	if !known {
		return unknownRetryAfter
	}
	return min(max(secondsToDuration(seconds), minRetryAfter), maxRetryAfter)
}
