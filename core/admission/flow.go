package admission

import (
	"container/heap"
	"time"
)

// request is a request that waits or runs.
type request struct {
	id       string
	flow     *flow
	cost     float64 // tokens
	deadline time.Time
	seq      uint64 // order of arrival

	running bool
	// requeued marks a request that was dispatched and then requeued.
	requeued     bool
	dispatchedAt time.Time
	startTag     float64 // assigned at the last dispatch
	weight       float64 // the workspace's weight at the last dispatch
	guaranteed   bool    // dispatched on the rank's minimum share

	latestStart   time.Time // key in the deadline heap
	deadlineIndex int       // index in the deadline heap, -1 if not in it
	requeuedIndex int       // index in the flow's heap of requeued requests
	prev, next    *request  // neighbors in the flow's list
}

// workspace is the state of one workspace in the pool.
type workspace struct {
	name         string
	policy       WorkspacePolicy
	flows        []*flow // by rank; nil for ranks without any request so far
	queued       int
	queuedCost   float64
	inFlight     int
	inFlightCost float64
}

// atInFlightLimit reports whether the limit on running requests prevents the workspace
// from dispatching.
func (w *workspace) atInFlightLimit() bool {
	return w.policy.MaxInFlight > 0 && w.inFlight >= w.policy.MaxInFlight
}

// overQueueLimit reports whether the workspace has more waiting requests than allowed.
func (w *workspace) overQueueLimit() bool {
	return w.policy.MaxQueued > 0 && w.queued > w.policy.MaxQueued
}

// flow is the queue of one workspace in one rank.
type flow struct {
	workspace *workspace
	rank      *rank
	id        uint64

	first, last *request     // list of requests that were never dispatched, in order of arrival
	requeued    requeuedHeap // requeued requests; they come before the list
	queued      int
	queuedCost  float64
	inFlight    int

	demand demand // arrival rate of accepted requests

	// finishTag is the finish tag of the last dispatched request. minStartTag is the
	// rank's virtual time when the flow last became backlogged.
	finishTag   float64
	minStartTag float64

	byStart     node // node in the tree of flows that may be served next, by start tag
	byDrain     node // node in the tree of the same flows by drain tag
	byLastStart node // node in the tree of flows that have an evictable request
}

// head returns the request that the flow serves next, or nil.
func (f *flow) head() *request {
	if len(f.requeued) > 0 {
		return f.requeued[0]
	}
	return f.first
}

// startTag returns the start tag of the head. A requeued request keeps its own.
func (f *flow) startTag() float64 {
	if len(f.requeued) > 0 {
		return f.requeued[0].startTag
	}
	return max(f.minStartTag, f.finishTag)
}

// drainTag returns the tag at which the flow would be empty.
func (f *flow) drainTag() float64 {
	return f.startTag() + f.queuedCost/f.workspace.policy.Weight
}

// lastStartTag returns the start tag of the newest request.
func (f *flow) lastStartTag() float64 {
	return f.startTag() + (f.queuedCost-f.last.cost)/f.workspace.policy.Weight
}

// add appends a new request, or inserts a requeued one in order of arrival.
func (f *flow) add(r *request) {
	f.queued++
	f.queuedCost += r.cost
	f.workspace.queued++
	f.workspace.queuedCost += r.cost
	if r.requeued {
		heap.Push(&f.requeued, r)
		return
	}
	r.prev = f.last
	if f.last != nil {
		f.last.next = r
	} else {
		f.first = r
	}
	f.last = r
}

// remove removes a waiting request.
func (f *flow) remove(r *request) {
	f.queued--
	f.queuedCost -= r.cost
	f.workspace.queued--
	f.workspace.queuedCost -= r.cost
	if f.queued == 0 {
		f.queuedCost = 0
	}
	if r.requeued {
		heap.Remove(&f.requeued, r.requeuedIndex)
		return
	}
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		f.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		f.last = r.prev
	}
	r.prev, r.next = nil, nil
}

// requeuedHeap orders requeued requests by arrival.
type requeuedHeap []*request

func (h requeuedHeap) Len() int           { return len(h) }
func (h requeuedHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }

func (h requeuedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].requeuedIndex, h[j].requeuedIndex = i, j
}

// Push implements heap.Interface.
func (h *requeuedHeap) Push(x any) {
	r := x.(*request)
	r.requeuedIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requeuedHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
