package admission

import (
	"container/heap"
	"fmt"
	"time"
)

// Queue is the Admitter with ranks that have minimum shares, start-time fair queueing
// by workspace, deadlines and bounded queues.
type Queue struct {
	cfg   Config
	slots int

	inFlight       int
	urgentInFlight int
	inFlightCost   float64
	queued         int
	seq            uint64

	requests   map[string]*request
	workspaces map[string]*workspace
	flows      []*flow // in order of creation
	ranks      []*rank
	deadlines  deadlineHeap
	rate       serviceRate
	urgentLoad urgentLoad
	sweepNext  int // index in flows at which the next sweep starts

	effects []Effect
	free    []*request // ended requests for reuse
}

// New returns an empty Queue with no slots.
func New(c Config) *Queue {
	q := &Queue{requests: map[string]*request{}, workspaces: map[string]*workspace{}}
	q.applyConfig(c)
	return q
}

// Arrive offers a new request. It panics if the ID is already held.
func (q *Queue) Arrive(now time.Time, r Request) []Effect {
	q.begin(now)
	if _, ok := q.requests[r.ID]; ok {
		panic(fmt.Sprintf("admission: request %q arrived twice", r.ID))
	}
	f := q.flow(r.Workspace, int(r.Rank))
	cost := clampCost(r.Cost)
	if retryAfter, missed := q.missesDeadline(now, f, cost, r.Deadline); missed {
		q.effects = append(q.effects, Effect{Kind: Refuse, ID: r.ID, Reason: ReasonUnmeetableDeadline, RetryAfter: retryAfter})
		q.fillSlots(now)
		return q.effects
	}
	req := q.newRequest()
	*req = request{id: r.ID, flow: f, cost: cost, deadline: r.Deadline, seq: q.seq, deadlineIndex: -1}
	q.seq++
	q.requests[r.ID] = req
	f.rank.demand.add(now, cost)
	f.demand.add(now, cost)
	q.enqueue(req)
	q.fillSlots(now)
	q.enforceWorkspaceLimit(now, f.workspace)
	q.enforcePoolLimit(now)
	return q.effects
}

// SetSlots sets how many requests may run at once.
func (q *Queue) SetSlots(now time.Time, slots int) []Effect {
	q.begin(now)
	q.slots = max(slots, 0)
	q.fillSlots(now)
	return q.effects
}

// Done reports that a dispatched request ran to completion, and its actual cost in
// tokens.
func (q *Queue) Done(now time.Time, id string, cost float64) []Effect {
	q.begin(now)
	if r, ok := q.requests[id]; ok && r.running {
		q.rate.observe(r.cost, now.Sub(r.dispatchedAt), q.slots)
		q.settle(r, clampCost(cost))
		q.fillSlots(now)
	}
	return q.effects
}

// Cancel reports that a request ended early. A running request is charged the tokens it
// is estimated to have used so far.
func (q *Queue) Cancel(now time.Time, id string) []Effect {
	q.begin(now)
	r, ok := q.requests[id]
	if !ok {
		return q.effects
	}
	if r.running {
		q.settle(r, q.estimatedUsage(now, r))
	} else {
		q.discard(r)
	}
	q.fillSlots(now)
	return q.effects
}

// Requeue returns a dispatched request to its former place. Its charge is reversed and
// it keeps its start tag, so it does not lose its turn.
func (q *Queue) Requeue(now time.Time, id string) []Effect {
	q.begin(now)
	r, ok := q.requests[id]
	if !ok || !r.running {
		return q.effects
	}
	q.releaseSlot(r)
	r.flow.finishTag -= r.cost / r.weight
	q.updateCredits(r.flow.rank, -r.cost, r.guaranteed)
	r.requeued = true
	q.enqueue(r)
	q.expire(now)
	return q.effects
}

// Configure applies c. Requests keep their place, and tags already assigned are not
// recomputed. Lowered queue limits are enforced immediately.
func (q *Queue) Configure(now time.Time, c Config) []Effect {
	q.begin(now)
	q.applyConfig(c)
	q.fillSlots(now)
	for _, f := range q.flows {
		q.enforceWorkspaceLimit(now, f.workspace)
	}
	q.enforcePoolLimit(now)
	return q.effects
}

// Tick advances time: it refuses waiting requests that can no longer meet their
// deadline.
func (q *Queue) Tick(now time.Time) []Effect {
	q.begin(now)
	q.sweep(now)
	q.fillSlots(now)
	return q.effects
}

// begin starts the processing of an event: it clears the effects, updates the load
// average and refuses requests whose deadline is out of reach.
func (q *Queue) begin(now time.Time) {
	q.effects = q.effects[:0]
	urgent := 0
	if len(q.ranks) > 0 {
		urgent = q.urgentInFlight + q.ranks[0].queued
	}
	q.urgentLoad.observe(now, urgent)
	q.expire(now)
}

// fillSlots dispatches requests while a slot is free for one that waits.
func (q *Queue) fillSlots(now time.Time) {
	for {
		r, guaranteed := q.nextRank()
		if r == nil {
			return
		}
		q.dispatch(now, r, guaranteed)
	}
}

// nextRank returns the rank to dispatch from, or nil, and whether it is chosen to make
// up for its minimum share.
func (q *Queue) nextRank() (r *rank, guaranteed bool) {
	if q.inFlight >= q.slots {
		return nil, false
	}
	onlyReserved := q.inFlight-q.urgentInFlight >= q.slots-q.reserved()
	if owed := q.mostOwedRank(onlyReserved); owed != nil {
		return owed, true
	}
	for i, r := range q.ranks {
		if onlyReserved && i > 0 {
			return nil, false
		}
		if r.nextFlow() != nil {
			return r, false
		}
	}
	return nil, false
}

// mostOwedRank returns the rank that lags furthest behind its minimum share, or nil. If
// only reserved slots are free, a rank qualifies once its credit covers its whole next
// request.
func (q *Queue) mostOwedRank(onlyReserved bool) *rank {
	var best *rank
	for _, r := range q.ranks {
		f := r.nextFlow()
		if f == nil || r.credit <= 0 || onlyReserved && r.credit < f.head().cost {
			continue
		}
		if best == nil || r.credit > best.credit {
			best = r
		}
	}
	return best
}

// dispatch dispatches the next request of r.
func (q *Queue) dispatch(now time.Time, r *rank, guaranteed bool) {
	f := r.nextFlow()
	req := f.head()
	q.updateCredits(r, req.cost, guaranteed)
	if !req.requeued {
		req.startTag = f.startTag()
		f.finishTag = req.startTag
	}
	req.weight = f.workspace.policy.Weight
	f.finishTag += req.cost / req.weight
	r.virtualTime = max(r.virtualTime, req.startTag)
	q.dequeue(req)
	req.running, req.requeued, req.guaranteed, req.dispatchedAt = true, false, guaranteed, now
	q.inFlight++
	q.inFlightCost += req.cost
	if r.index == 0 {
		q.urgentInFlight++
	}
	f.inFlight++
	f.workspace.inFlight++
	f.workspace.inFlightCost += req.cost
	q.reindexWorkspace(f.workspace)
	q.effects = append(q.effects, Effect{Kind: Dispatch, ID: req.id})
}

// settle ends a running request and replaces its estimated cost by the actual one.
func (q *Queue) settle(r *request, cost float64) {
	q.releaseSlot(r)
	r.flow.finishTag += (cost - r.cost) / r.weight
	q.updateCredits(r.flow.rank, cost-r.cost, r.guaranteed)
	q.reindexWorkspace(r.flow.workspace)
	q.deleteRequest(r)
}

// releaseSlot frees the slot of a running request.
func (q *Queue) releaseSlot(r *request) {
	r.running = false
	q.inFlight--
	q.inFlightCost -= r.cost
	if r.flow.rank.index == 0 {
		q.urgentInFlight--
	}
	if q.inFlight == 0 {
		q.inFlightCost = 0
	}
	r.flow.inFlight--
	w := r.flow.workspace
	w.inFlight--
	w.inFlightCost -= r.cost
}

// enqueue adds a request to its flow.
func (q *Queue) enqueue(r *request) {
	q.queued++
	r.flow.rank.queued++
	r.flow.rank.queuedCost += r.cost
	r.flow.add(r)
	if !r.deadline.IsZero() {
		r.latestStart = q.latestStart(r)
		heap.Push(&q.deadlines, r)
	}
	q.reindexWorkspace(r.flow.workspace)
}

// dequeue removes a waiting request from its flow. The caller must reindex the
// workspace.
func (q *Queue) dequeue(r *request) {
	q.queued--
	r.flow.rank.queued--
	r.flow.rank.queuedCost -= r.cost
	if r.flow.rank.queued == 0 {
		r.flow.rank.queuedCost = 0
	}
	r.flow.remove(r)
	if r.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, r.deadlineIndex)
	}
}

// discard removes a waiting request from its flow and from the queue.
func (q *Queue) discard(r *request) {
	q.dequeue(r)
	q.reindexWorkspace(r.flow.workspace)
	q.deleteRequest(r)
}

// refuse discards a waiting request and refuses it. The suggested retry time is the
// expected wait of a new request in the same flow.
func (q *Queue) refuse(now time.Time, r *request, reason Reason) {
	id, f := r.id, r.flow
	q.discard(r)
	wait, known := q.expectedWait(now, f, f.queuedCost)
	q.effects = append(q.effects, Effect{Kind: Refuse, ID: id, Reason: reason, RetryAfter: retryAfter(wait, known)})
}

// deleteRequest deletes a request from the map of held requests. The object is reused,
// so the caller must not keep it beyond the current event.
func (q *Queue) deleteRequest(r *request) {
	delete(q.requests, r.id)
	*r = request{}
	q.free = append(q.free, r)
}

func (q *Queue) newRequest() *request {
	if n := len(q.free); n > 0 {
		r := q.free[n-1]
		q.free = q.free[:n-1]
		return r
	}
	return &request{}
}

// reindexWorkspace updates the tree positions of all flows of a workspace.
func (q *Queue) reindexWorkspace(w *workspace) {
	for _, f := range w.flows {
		if f != nil {
			f.rank.reindex(f)
			f.rank.clearIdleCredit()
		}
	}
}

// clampCost raises a cost to the minimum, so that no request is free; NaN becomes the
// minimum too.
func clampCost(cost float64) float64 {
	const minCost = 1 // tokens
	if !(cost > minCost) {
		return minCost
	}
	return cost
}
