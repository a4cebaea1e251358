package admission

import (
	"slices"
	"time"
)

// naiveQueue is a reference implementation of Queue that scans all requests linearly.
// It has no deadlines.
type naiveQueue struct {
	cfg         Config
	slots       int
	all         []*naiveRequest // in order of arrival
	flows       []*naiveFlow
	credit      []float64
	virtualTime []float64
	urgentLoad  urgentLoad
	out         []Effect
}

type naiveRequest struct {
	Request
	flow              *naiveFlow
	running, requeued bool
	guaranteed        bool
	startTag, weight  float64
}

type naiveFlow struct {
	workspace              string
	rank                   int
	finishTag, minStartTag float64
	eligible               bool
}

func newNaiveQueue(c Config) *naiveQueue {
	n := len(c.Ranks)
	return &naiveQueue{cfg: c, credit: make([]float64, n), virtualTime: make([]float64, n)}
}

func anyRequest(*naiveRequest) bool { return true }

func ofWorkspace(workspace string) func(*naiveRequest) bool {
	return func(r *naiveRequest) bool { return r.Workspace == workspace }
}

// filter returns the running or the waiting requests that match.
func (n *naiveQueue) filter(running bool, match func(*naiveRequest) bool) []*naiveRequest {
	var out []*naiveRequest
	for _, r := range n.all {
		if r.running == running && match(r) {
			out = append(out, r)
		}
	}
	return out
}

// queue returns the waiting requests of f, requeued ones first.
func (n *naiveQueue) queue(f *naiveFlow) []*naiveRequest {
	requeued := n.filter(false, func(r *naiveRequest) bool { return r.flow == f && r.requeued })
	return append(requeued, n.filter(false, func(r *naiveRequest) bool { return r.flow == f && !r.requeued })...)
}

// startTag returns the start tag of the first waiting request of f, which must have
// one.
func (n *naiveQueue) startTag(f *naiveFlow) float64 {
	if head := n.queue(f)[0]; head.requeued {
		return head.startTag
	}
	return max(f.minStartTag, f.finishTag)
}

// nextFlow returns the flow of the rank to be served next, or nil.
func (n *naiveQueue) nextFlow(rank int) *naiveFlow {
	var best *naiveFlow
	for _, f := range n.flows {
		if f.rank != rank || !f.eligible {
			continue
		}
		if best == nil || n.later(n.startTag(best), n.queue(best)[0], n.startTag(f), n.queue(f)[0]) {
			best = f
		}
	}
	return best
}

// later reports whether a is ordered after b by tag, then by arrival.
func (n *naiveQueue) later(tagA float64, a *naiveRequest, tagB float64, b *naiveRequest) bool {
	return tagA > tagB || tagA == tagB && slices.Index(n.all, a) > slices.Index(n.all, b)
}

// updateEligibility recomputes which flows may be served and clears the credit of ranks
// without such a flow.
func (n *naiveQueue) updateEligibility() {
	for _, f := range n.flows {
		limit := n.cfg.policy(f.workspace).MaxInFlight
		atLimit := limit > 0 && len(n.filter(true, ofWorkspace(f.workspace))) >= limit
		eligible := len(n.queue(f)) > 0 && !atLimit
		if eligible && !f.eligible {
			f.minStartTag = n.virtualTime[f.rank]
		}
		f.eligible = eligible
	}
	for i := range n.credit {
		if n.nextFlow(i) == nil {
			n.credit[i] = min(n.credit[i], 0)
		}
	}
}

func (n *naiveQueue) updateCredits(r *naiveRequest, cost float64) {
	for i := range n.credit {
		share := n.cfg.Ranks[i].MinShare
		switch {
		case i == 0 || i == r.flow.rank && !r.guaranteed:
		case i == r.flow.rank:
			n.credit[i] -= (1 - share) * cost
		case n.nextFlow(i) != nil:
			n.credit[i] += share * cost
		default:
			n.credit[i] = min(n.credit[i]+share*max(cost, 0), 0)
		}
	}
}

func (n *naiveQueue) fillSlots() {
	for {
		f, guaranteed := n.nextDispatch()
		if f == nil {
			return
		}
		r := n.queue(f)[0]
		r.guaranteed = guaranteed
		n.updateCredits(r, r.Cost)
		if !r.requeued {
			r.startTag = n.startTag(f)
			f.finishTag = r.startTag
		}
		r.weight = n.cfg.policy(f.workspace).Weight
		f.finishTag += r.Cost / r.weight
		n.virtualTime[f.rank] = max(n.virtualTime[f.rank], r.startTag)
		r.running, r.requeued = true, false
		n.out = append(n.out, Effect{Kind: Dispatch, ID: r.ID})
		n.updateEligibility()
	}
}

func (n *naiveQueue) nextDispatch() (f *naiveFlow, guaranteed bool) {
	if len(n.filter(true, anyRequest)) >= n.slots {
		return nil, false
	}
	q := Queue{cfg: n.cfg, slots: n.slots, urgentLoad: n.urgentLoad}
	others := n.filter(true, func(r *naiveRequest) bool { return r.flow.rank > 0 })
	onlyReserved := len(others) >= n.slots-q.reserved()
	most := 0.0
	for i, c := range n.credit {
		if r := n.nextFlow(i); r != nil && c > most && !(onlyReserved && c < n.queue(r)[0].Cost) {
			f, most = r, c
		}
	}
	for i := 0; f == nil && i < len(n.credit) && (i == 0 || !onlyReserved); i++ {
		f = n.nextFlow(i)
	}
	return f, most > 0
}

// enforceLimits evicts requests until the workspaces and the pool are within their
// limits.
func (n *naiveQueue) enforceLimits(workspaces ...string) {
	for _, w := range workspaces {
		limit := n.cfg.policy(w).MaxQueued
		for limit > 0 && len(n.filter(false, ofWorkspace(w))) > limit && n.evictLast(ofWorkspace(w), ReasonWorkspaceFull) {
		}
	}
	for len(n.filter(false, anyRequest)) > n.cfg.MaxQueued && n.evictLast(anyRequest, ReasonPoolFull) {
	}
}

// evictLast refuses one of the newest requests of the matching flows: in the least
// urgent rank, the one with the largest start tag. It returns false if there is none.
func (n *naiveQueue) evictLast(match func(*naiveRequest) bool, reason Reason) bool {
	var candidate *naiveRequest
	var candidateTag float64
	for _, f := range n.flows {
		queue := n.queue(f)
		if len(queue) == 0 || queue[len(queue)-1].requeued || !match(queue[0]) {
			continue
		}
		last, tag := queue[len(queue)-1], n.startTag(f)
		for _, r := range queue[:len(queue)-1] {
			tag += r.Cost / n.cfg.policy(f.workspace).Weight
		}
		if candidate == nil || f.rank > candidate.flow.rank || f.rank == candidate.flow.rank && n.later(tag, last, candidateTag, candidate) {
			candidate, candidateTag = last, tag
		}
	}
	if candidate == nil {
		return false
	}
	n.out = append(n.out, Effect{Kind: Refuse, ID: candidate.ID, Reason: reason})
	n.remove(candidate)
	return true
}

func (n *naiveQueue) remove(r *naiveRequest) {
	n.all = slices.DeleteFunc(n.all, func(o *naiveRequest) bool { return o == r })
	n.updateEligibility()
}

// beginEvent starts the processing of an event at now.
func (n *naiveQueue) beginEvent(now time.Time) {
	n.out = nil
	rank0 := func(r *naiveRequest) bool { return r.flow.rank == 0 }
	n.urgentLoad.observe(now, len(n.filter(true, rank0))+len(n.filter(false, rank0)))
}

func (n *naiveQueue) arrive(r Request) {
	i := slices.IndexFunc(n.flows, func(f *naiveFlow) bool { return f.workspace == r.Workspace && f.rank == int(r.Rank) })
	if i < 0 {
		i = len(n.flows)
		n.flows = append(n.flows, &naiveFlow{workspace: r.Workspace, rank: int(r.Rank)})
	}
	n.all = append(n.all, &naiveRequest{Request: r, flow: n.flows[i]})
	n.updateEligibility()
	n.fillSlots()
	n.enforceLimits(r.Workspace)
}

func (n *naiveQueue) configure(c Config) {
	n.cfg = c
	n.updateEligibility()
	n.fillSlots()
	var names []string
	for _, f := range n.flows {
		names = append(names, f.workspace)
	}
	n.enforceLimits(names...)
}

// end completes a running request and replaces its estimated cost by the actual one.
func (n *naiveQueue) end(r *naiveRequest, cost float64) {
	r.running = false
	r.flow.finishTag += (cost - r.Cost) / r.weight
	n.updateCredits(r, cost-r.Cost)
	n.remove(r)
	n.fillSlots()
}

func (n *naiveQueue) requeue(r *naiveRequest) {
	r.flow.finishTag -= r.Cost / r.weight
	n.updateCredits(r, -r.Cost)
	r.running, r.requeued = false, true
	n.updateEligibility()
}
