package admission

import (
	"container/heap"
	"time"
)

const (
	// sweepRequests bounds the waiting requests examined by one Tick.
	sweepRequests = 512
	// hopelessMargin is the factor by which a waiting request's expected wait
	// must exceed what its deadline allows before it is refused.
	hopelessMargin = 1.25
)

// hopeless tells whether a newcomer could not meet its deadline at the current
// service rate. A request that would be dispatched at once is never hopeless
// before its deadline, so an outdated rate cannot keep an idle pool idle.
func (q *Queue) hopeless(now time.Time, f *flow, cost float64, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, false
	}
	if !deadline.After(now) {
		return minRetryAfter, true
	}
	if q.immediate(f) {
		return 0, false
	}
	wait, known := q.wait(now, f, f.queuedCost)
	if !known {
		return 0, false
	}
	excess := wait - q.pace.allowance(cost, deadline.Sub(now).Seconds())
	if excess <= 0 {
		return 0, false
	}
	return retryAfter(min(wait, excess), true), true
}

// immediate tells whether a newcomer in f would be dispatched at once.
func (q *Queue) immediate(f *flow) bool {
	if q.inFlight >= q.slots || f.workspace.held() {
		return false
	}
	capped := q.inFlight-q.urgentInFlight >= q.slots-q.reserved()
	if capped && f.rank.index > 0 {
		return false
	}
	for _, r := range q.ranks {
		if r.ready() != nil {
			return false
		}
	}
	return true
}

// latestStart is when r must be dispatched to meet its deadline.
func (q *Queue) latestStart(r *request) time.Time {
	return r.deadline.Add(-duration(q.pace.service(r.cost)))
}

// expire refuses the waiting requests that could not meet their deadline even
// if they were dispatched now.
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
		q.refuse(now, r, ReasonDeadline)
	}
}

// expired tells whether a dispatch at now would be too late for r.
func (r *request) expired(now time.Time) bool {
	return r.latestStart.Before(now) || !r.deadline.After(now)
}

// sweep examines a bounded number of waiting requests in turn and refuses
// those whose expected wait has grown beyond what their deadline allows.
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

// sweepFlow examines the requests of one flow from its head and returns how
// many it examined.
func (q *Queue) sweepFlow(now time.Time, f *flow) int {
	examined := 0
	var before float64 // cost of the flow's requests ahead of r
	for _, r := range f.returned {
		before += r.cost
	}
	for r := f.first; r != nil; {
		next := r.next
		examined++
		wait, known := q.wait(now, f, before)
		if known && q.late(now, r, wait) {
			q.refuse(now, r, ReasonDeadline)
		} else {
			before += r.cost
		}
		r = next
	}
	return examined
}

// late tells whether r misses its deadline by a clear margin after wait
// seconds. The wait counts the running requests as if they had just begun, so
// the time that one of them takes is part of the margin.
func (q *Queue) late(now time.Time, r *request, wait float64) bool {
	if r.deadline.IsZero() {
		return false
	}
	allowed := r.deadline.Sub(now).Seconds() - q.pace.service(r.cost)
	return wait > allowed*hopelessMargin+q.pace.service(q.meanInFlight())
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
