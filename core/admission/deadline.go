package admission

import (
	"container/heap"
	"time"
)

const (
	// sweepRequests bounds the waiting requests that one Tick examines.
	sweepRequests = 512
	// deadlineMargin is the factor by which the expected wait of a waiting request must
	// exceed the wait that its deadline allows before the request is refused.
	deadlineMargin = 1.25
)

// missesDeadline reports whether a new request could not meet its deadline at the
// current service rate, and when to retry it. A request that would be dispatched
// immediately is accepted at any time before its deadline, because an outdated rate must
// not keep an idle pool idle.
func (q *Queue) missesDeadline(now time.Time, f *flow, cost float64, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, false
	}
	if !deadline.After(now) {
		return minRetryAfter, true
	}
	if q.dispatchesImmediately(f) {
		return 0, false
	}
	wait, known := q.expectedWait(now, f, f.queuedCost)
	if !known {
		return 0, false
	}
	excess := wait - q.rate.maxWait(cost, deadline.Sub(now).Seconds())
	if excess <= 0 {
		return 0, false
	}
	return retryAfter(min(wait, excess), true), true
}

// dispatchesImmediately reports whether a new request in f would be dispatched
// immediately.
func (q *Queue) dispatchesImmediately(f *flow) bool {
	if q.inFlight >= q.slots || f.workspace.atInFlightLimit() {
		return false
	}
	onlyReserved := q.inFlight-q.urgentInFlight >= q.slots-q.reserved()
	if onlyReserved && f.rank.index > 0 {
		return false
	}
	for _, r := range q.ranks {
		if r.nextFlow() != nil {
			return false
		}
	}
	return true
}

// latestStart returns when r must be dispatched to meet its deadline.
func (q *Queue) latestStart(r *request) time.Time {
	return r.deadline.Add(-secondsToDuration(q.rate.serviceTime(r.cost)))
}

// expire refuses the waiting requests that could not meet their deadline even if they
// were dispatched now.
func (q *Queue) expire(now time.Time) {
	for len(q.deadlines) > 0 {
		r := q.deadlines[0]
		if !r.expired(now) {
			return
		}
		r.latestStart = q.latestStart(r)
		if !r.expired(now) {
			heap.Fix(&q.deadlines, 0)
			continue
		}
		q.refuse(now, r, ReasonDeadlineWhileQueued)
	}
}

// expired reports whether dispatching r at now would be too late.
func (r *request) expired(now time.Time) bool {
	return r.latestStart.Before(now) || !r.deadline.After(now)
}

// sweep examines a bounded number of waiting requests, flow by flow in turn, and
// refuses those whose expected wait now clearly exceeds what their deadline allows.
func (q *Queue) sweep(now time.Time) {
	if len(q.deadlines) == 0 {
		return
	}
	examined := 0
	for range q.flows {
		if examined >= sweepRequests {
			return
		}
		q.sweepNext %= len(q.flows)
		f := q.flows[q.sweepNext]
		q.sweepNext++
		examined += q.sweepFlow(now, f)
	}
}

// sweepFlow examines the never dispatched requests of one flow from its head and
// returns how many it examined.
func (q *Queue) sweepFlow(now time.Time, f *flow) int {
	examined := 0
	var costAhead float64 // cost of the flow's requests ahead of r
	for _, r := range f.requeued {
		costAhead += r.cost
	}
	for r := f.first; r != nil; {
		next := r.next
		examined++
		wait, known := q.expectedWait(now, f, costAhead)
		if known && q.missesDeadlineByMargin(now, r, wait) {
			q.refuse(now, r, ReasonDeadlineWhileQueued)
		} else {
			costAhead += r.cost
		}
		r = next
	}
	return examined
}

// missesDeadlineByMargin reports whether r misses its deadline by the margin if it waits
// for wait seconds. The expected wait treats running requests as if they had just
// started, so the service time of one of them is added to the margin.
func (q *Queue) missesDeadlineByMargin(now time.Time, r *request, wait float64) bool {
	if r.deadline.IsZero() {
		return false
	}
	allowed := r.deadline.Sub(now).Seconds() - q.rate.serviceTime(r.cost)
	return wait > allowed*deadlineMargin+q.rate.serviceTime(q.meanInFlight())
}

// deadlineHeap orders waiting requests by their latest start.
type deadlineHeap []*request

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].latestStart.Equal(h[j].latestStart) {
		return h[i].latestStart.Before(h[j].latestStart)
	}
	return h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.deadlineIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	r.deadlineIndex = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
