package admission

import (
	"container/heap"
	"time"
)

// request is one held request.
type request struct {
	id       string
	flow     *flow
	cost     float64 // tokens
	deadline time.Time
	seq      uint64 // order of arrival

	running bool
	// returned marks a request that was dispatched once and came back.
	returned     bool
	dispatchedAt time.Time
	start        float64 // start tag of the last dispatch
	weight       float64 // the workspace's weight at the last dispatch
	guaranteed   bool    // dispatched on the rank's minimum share

	latestStart   time.Time // key in the deadline heap
	deadlineIndex int       // place in the deadline heap, -1 outside
	returnedIndex int       // place in the flow's heap of returned requests
	prev, next    *request  // neighbours in the flow's list
}

// workspace is the state of one workspace in the pool.
type workspace struct {
	name         string
	policy       WorkspacePolicy
	flows        []*flow // by rank, nil where it never had work
	queued       int
	queuedCost   float64
	inFlight     int
	inFlightCost float64
}

// held tells whether the bound on running requests keeps the workspace back.
func (w *workspace) held() bool {
	return w.policy.MaxInFlight > 0 && w.inFlight >= w.policy.MaxInFlight
}

// full tells whether the workspace has more waiting requests than allowed.
func (w *workspace) full() bool {
	return w.policy.MaxQueued > 0 && w.queued > w.policy.MaxQueued
}

// flow is the queue of one workspace in one rank.
type flow struct {
	workspace *workspace
	rank      *rank
	id        uint64

	first, last *request     // requests that were never dispatched, in order
	returned    returnedHeap // dispatched once; they come before the list
	queued      int
	queuedCost  float64
	inFlight    int

	demand demand // of accepted requests

	// finish is the finish tag of the last dispatched request. floor is the
	// rank's virtual time when the flow last became backlogged.
	finish float64
	floor  float64

	byStart  node // place among the flows that may be served next
	byTail   node // the same flows by the tag at which they would be empty
	byVictim node // place among the flows that may lose a request
}

// head returns the request that the flow serves next, or nil.
func (f *flow) head() *request {
	if len(f.returned) > 0 {
		return f.returned[0]
	}
	return f.first
}

// start is the start tag of the head. A returned request keeps its own.
func (f *flow) start() float64 {
	if len(f.returned) > 0 {
		return f.returned[0].start
	}
	return max(f.floor, f.finish)
}

// tail is the tag at which the flow would be empty.
func (f *flow) tail() float64 {
	return f.start() + f.queuedCost/f.workspace.policy.Weight
}

// lastStart is the start tag of the newest request.
func (f *flow) lastStart() float64 {
	return f.start() + (f.queuedCost-f.last.cost)/f.workspace.policy.Weight
}

// add appends a new request, or returns a dispatched one to its place.
func (f *flow) add(r *request) {
	f.queued++
	f.queuedCost += r.cost
	f.workspace.queued++
	f.workspace.queuedCost += r.cost
	if r.returned {
		heap.Push(&f.returned, r)
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

// remove takes a waiting request out.
func (f *flow) remove(r *request) {
	f.queued--
	f.queuedCost -= r.cost
	f.workspace.queued--
	f.workspace.queuedCost -= r.cost
	if f.queued == 0 {
		f.queuedCost = 0
	}
	if r.returned {
		heap.Remove(&f.returned, r.returnedIndex)
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

// returnedHeap orders returned requests by arrival.
type returnedHeap []*request

func (h returnedHeap) Len() int           { return len(h) }
func (h returnedHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }

func (h returnedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].returnedIndex, h[j].returnedIndex = i, j
}

// Push implements heap.Interface.
func (h *returnedHeap) Push(x any) {
	r := x.(*request)
	r.returnedIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *returnedHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
