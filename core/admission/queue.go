package admission

import (
	"container/heap"
	"fmt"
	"time"
)

// Queue is the admission decision of one pool: ranks with minimum shares,
// start-time fair queueing by workspace, deadlines and bounded queues.
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
	pace       pace
	load       load
	sweepNext  int // index in flows where the next sweep begins

	effects []Effect
	free    []*request // for reuse
}

// New returns an empty Queue with no slots.
func New(c Config) *Queue {
	q := &Queue{requests: map[string]*request{}, workspaces: map[string]*workspace{}}
	q.apply(c)
	return q
}

// Arrive offers a new request. It panics if the ID is already held.
func (q *Queue) Arrive(now time.Time, r Request) []Effect {
	q.begin(now)
	if _, ok := q.requests[r.ID]; ok {
		panic(fmt.Sprintf("admission: request %q arrived twice", r.ID))
	}
	f := q.flow(r.Workspace, int(r.Rank))
	cost := usableCost(r.Cost)
	if retryAfter, hopeless := q.hopeless(now, f, cost, r.Deadline); hopeless {
		q.effects = append(q.effects, Effect{Kind: Refuse, ID: r.ID, Reason: ReasonHopeless, RetryAfter: retryAfter})
		q.fill(now)
		return q.effects
	}
	req := q.newRequest()
	*req = request{id: r.ID, flow: f, cost: cost, deadline: r.Deadline, seq: q.seq, deadlineIndex: -1}
	q.seq++
	q.requests[r.ID] = req
	f.rank.demand.add(now, cost)
	f.demand.add(now, cost)
	q.enqueue(req)
	q.fill(now)
	q.boundWorkspace(now, f.workspace)
	q.boundPool(now)
	return q.effects
}

// Capacity sets how many requests may run at once.
func (q *Queue) Capacity(now time.Time, slots int) []Effect {
	q.begin(now)
	q.slots = max(slots, 0)
	q.fill(now)
	return q.effects
}

// Done reports that a dispatched request was served to its end and what it
// cost in tokens.
func (q *Queue) Done(now time.Time, id string, cost float64) []Effect {
	q.begin(now)
	if r, ok := q.requests[id]; ok && r.running {
		q.pace.observe(r.cost, now.Sub(r.dispatchedAt), q.slots)
		q.settle(r, usableCost(cost))
		q.fill(now)
	}
	return q.effects
}

// Cancel reports that a request ended early. A running request is charged for
// what it is expected to have used so far.
func (q *Queue) Cancel(now time.Time, id string) []Effect {
	q.begin(now)
	r, ok := q.requests[id]
	if !ok {
		return q.effects
	}
	if r.running {
		q.settle(r, q.used(now, r))
	} else {
		q.drop(r)
	}
	q.fill(now)
	return q.effects
}

// Requeue returns a dispatched request to its place. The charge for it is
// taken back, and it keeps its start tag, so that it loses no turn.
func (q *Queue) Requeue(now time.Time, id string) []Effect {
	q.begin(now)
	r, ok := q.requests[id]
	if !ok || !r.running {
		return q.effects
	}
	q.release(r)
	r.flow.finish -= r.cost / r.weight
	q.account(r.flow.rank, -r.cost, r.guaranteed)
	r.returned = true
	q.enqueue(r)
	q.expire(now)
	return q.effects
}

// Configure puts c in force. Requests keep their place; tags already given are
// not recomputed. Bounds that became lower apply at once.
func (q *Queue) Configure(now time.Time, c Config) []Effect {
	q.begin(now)
	q.apply(c)
	q.fill(now)
	for _, f := range q.flows {
		q.boundWorkspace(now, f.workspace)
	}
	q.boundPool(now)
	return q.effects
}

// Tick advances time: it refuses waiting requests that can no longer meet
// their deadline.
func (q *Queue) Tick(now time.Time) []Effect {
	q.begin(now)
	q.sweep(now)
	q.fill(now)
	return q.effects
}

// begin starts an event: it clears the effects and lets time pass.
func (q *Queue) begin(now time.Time) {
	q.effects = q.effects[:0]
	urgent := 0
	if len(q.ranks) > 0 {
		urgent = q.urgentInFlight + q.ranks[0].queued
	}
	q.load.observe(now, urgent)
	q.expire(now)
}

// fill dispatches as long as there is a slot for a waiting request.
func (q *Queue) fill(now time.Time) {
	for {
		r, guaranteed := q.next()
		if r == nil {
			return
		}
		q.dispatch(now, r, guaranteed)
	}
}

// next returns the rank to be served next, and whether it is served because
// its minimum share is owed to it.
func (q *Queue) next() (r *rank, guaranteed bool) {
	if q.inFlight >= q.slots {
		return nil, false
	}
	capped := q.inFlight-q.urgentInFlight >= q.slots-q.reserved()
	if owed := q.owed(capped); owed != nil {
		return owed, true
	}
	for i, r := range q.ranks {
		if capped && i > 0 {
			return nil, false
		}
		if r.ready() != nil {
			return r, false
		}
	}
	return nil, false
}

// owed returns the rank that lags most behind its minimum share. While only
// reserved slots are free, a rank gets one once it is owed a whole request.
func (q *Queue) owed(capped bool) *rank {
	var best *rank
	for _, r := range q.ranks {
		f := r.ready()
		if f == nil || r.credit <= 0 || capped && r.credit < f.head().cost {
			continue
		}
		if best == nil || r.credit > best.credit {
			best = r
		}
	}
	return best
}

// dispatch serves the next request of r.
func (q *Queue) dispatch(now time.Time, r *rank, guaranteed bool) {
	f := r.ready()
	req := f.head()
	q.account(r, req.cost, guaranteed)
	if !req.returned {
		req.start = f.start()
		f.finish = req.start
	}
	req.weight = f.workspace.policy.Weight
	f.finish += req.cost / req.weight
	r.vtime = max(r.vtime, req.start)
	q.dequeue(req)
	req.running, req.returned, req.guaranteed, req.dispatchedAt = true, false, guaranteed, now
	q.inFlight++
	q.inFlightCost += req.cost
	if r.index == 0 {
		q.urgentInFlight++
	}
	f.inFlight++
	f.workspace.inFlight++
	f.workspace.inFlightCost += req.cost
	q.reindex(f.workspace)
	q.effects = append(q.effects, Effect{Kind: Dispatch, ID: req.id})
}

// settle ends a running request and corrects what was charged for it.
func (q *Queue) settle(r *request, cost float64) {
	q.release(r)
	r.flow.finish += (cost - r.cost) / r.weight
	q.account(r.flow.rank, cost-r.cost, r.guaranteed)
	q.reindex(r.flow.workspace)
	q.forget(r)
}

// release gives the slot of a running request back.
func (q *Queue) release(r *request) {
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
	q.reindex(r.flow.workspace)
}

// dequeue takes a waiting request out of its flow. The caller reindexes.
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

// drop forgets a waiting request.
func (q *Queue) drop(r *request) {
	q.dequeue(r)
	q.reindex(r.flow.workspace)
	q.forget(r)
}

// refuse drops a waiting request and tells its caller, with the wait of a new
// request in its place as advice.
func (q *Queue) refuse(now time.Time, r *request, reason Reason) {
	id, f := r.id, r.flow
	q.drop(r)
	wait, known := q.wait(now, f, f.queuedCost)
	q.effects = append(q.effects, Effect{Kind: Refuse, ID: id, Reason: reason, RetryAfter: retryAfter(wait, known)})
}

// forget removes a request from the index. The object is reused, so the caller
// must not keep it beyond the current event.
func (q *Queue) forget(r *request) {
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

// reindex updates the places of a workspace's flows.
func (q *Queue) reindex(w *workspace) {
	for _, f := range w.flows {
		if f != nil {
			f.rank.place(f)
			f.rank.expireCredit()
		}
	}
}

// usableCost bounds a cost from below, so that no request is free.
func usableCost(cost float64) float64 {
	const minCost = 1 // tokens
	if !(cost > minCost) {
		return minCost
	}
	return cost
}
