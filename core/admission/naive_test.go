package admission

import (
	"slices"
	"time"
)

// naive is the discipline of Queue by linear scans over all requests. It knows
// no deadlines.
type naive struct {
	cfg    Config
	slots  int
	all    []*naiveRequest // in order of arrival
	flows  []*naiveFlow
	credit []float64
	vtime  []float64
	load   load
	out    []Effect
}

type naiveRequest struct {
	Request
	flow              *naiveFlow
	running, returned bool
	guaranteed        bool
	start, weight     float64
}

type naiveFlow struct {
	workspace     string
	rank          int
	finish, floor float64
	eligible      bool
}

func newNaive(c Config) *naive {
	n := len(c.Ranks)
	return &naive{cfg: c, credit: make([]float64, n), vtime: make([]float64, n)}
}

func every(*naiveRequest) bool { return true }

func of(workspace string) func(*naiveRequest) bool {
	return func(r *naiveRequest) bool { return r.Workspace == workspace }
}

// filter returns the running or the waiting requests that match.
func (n *naive) filter(running bool, match func(*naiveRequest) bool) []*naiveRequest {
	var out []*naiveRequest
	for _, r := range n.all {
		if r.running == running && match(r) {
			out = append(out, r)
		}
	}
	return out
}

// queue returns the waiting requests of f, the returned ones first.
func (n *naive) queue(f *naiveFlow) []*naiveRequest {
	returned := n.filter(false, func(r *naiveRequest) bool { return r.flow == f && r.returned })
	return append(returned, n.filter(false, func(r *naiveRequest) bool { return r.flow == f && !r.returned })...)
}

// start is the start tag of the first request of f, which must have one.
func (n *naive) start(f *naiveFlow) float64 {
	if head := n.queue(f)[0]; head.returned {
		return head.start
	}
	return max(f.floor, f.finish)
}

// ready returns the flow of the rank to be served next, or nil.
func (n *naive) ready(rank int) *naiveFlow {
	var best *naiveFlow
	for _, f := range n.flows {
		if f.rank != rank || !f.eligible {
			continue
		}
		if best == nil || n.later(n.start(best), n.queue(best)[0], n.start(f), n.queue(f)[0]) {
			best = f
		}
	}
	return best
}

// later tells whether a comes after b by tag, then by arrival.
func (n *naive) later(tagA float64, a *naiveRequest, tagB float64, b *naiveRequest) bool {
	return tagA > tagB || tagA == tagB && slices.Index(n.all, a) > slices.Index(n.all, b)
}

// refresh updates which flows are eligible.
func (n *naive) refresh() {
	for _, f := range n.flows {
		limit := n.cfg.policy(f.workspace).MaxInFlight
		held := limit > 0 && len(n.filter(true, of(f.workspace))) >= limit
		eligible := len(n.queue(f)) > 0 && !held
		if eligible && !f.eligible {
			f.floor = n.vtime[f.rank]
		}
		f.eligible = eligible
	}
	for i := range n.credit {
		if n.ready(i) == nil {
			n.credit[i] = min(n.credit[i], 0)
		}
	}
}

func (n *naive) account(r *naiveRequest, cost float64) {
	for i := range n.credit {
		share := n.cfg.Ranks[i].MinShare
		switch {
		case i == 0 || i == r.flow.rank && !r.guaranteed:
		case i == r.flow.rank:
			n.credit[i] -= (1 - share) * cost
		case n.ready(i) != nil:
			n.credit[i] += share * cost
		default:
			n.credit[i] = min(n.credit[i]+share*max(cost, 0), 0)
		}
	}
}

func (n *naive) fill() {
	for {
		f, guaranteed := n.next()
		if f == nil {
			return
		}
		r := n.queue(f)[0]
		r.guaranteed = guaranteed
		n.account(r, r.Cost)
		if !r.returned {
			r.start = n.start(f)
			f.finish = r.start
		}
		r.weight = n.cfg.policy(f.workspace).Weight
		f.finish += r.Cost / r.weight
		n.vtime[f.rank] = max(n.vtime[f.rank], r.start)
		r.running, r.returned = true, false
		n.out = append(n.out, Effect{Kind: Dispatch, ID: r.ID})
		n.refresh()
	}
}

func (n *naive) next() (f *naiveFlow, guaranteed bool) {
	if len(n.filter(true, every)) >= n.slots {
		return nil, false
	}
	q := Queue{cfg: n.cfg, slots: n.slots, load: n.load}
	others := n.filter(true, func(r *naiveRequest) bool { return r.flow.rank > 0 })
	capped := len(others) >= n.slots-q.reserved()
	most := 0.0
	for i, c := range n.credit {
		if r := n.ready(i); r != nil && c > most && !(capped && c < n.queue(r)[0].Cost) {
			f, most = r, c
		}
	}
	for i := 0; f == nil && i < len(n.credit) && (i == 0 || !capped); i++ {
		f = n.ready(i)
	}
	return f, most > 0
}

// evict refuses victims until the bounds of the workspaces and the pool hold.
func (n *naive) evict(workspaces ...string) {
	for _, w := range workspaces {
		limit := n.cfg.policy(w).MaxQueued
		for limit > 0 && len(n.filter(false, of(w))) > limit && n.refuseLast(of(w), ReasonWorkspaceFull) {
		}
	}
	for len(n.filter(false, every)) > n.cfg.MaxQueued && n.refuseLast(every, ReasonPoolFull) {
	}
}

// refuseLast refuses, among the newest requests of the matching flows, the one
// of the least urgent rank with the largest start tag.
func (n *naive) refuseLast(match func(*naiveRequest) bool, reason Reason) bool {
	var victim *naiveRequest
	var victimTag float64
	for _, f := range n.flows {
		queue := n.queue(f)
		if len(queue) == 0 || queue[len(queue)-1].returned || !match(queue[0]) {
			continue
		}
		last, tag := queue[len(queue)-1], n.start(f)
		for _, r := range queue[:len(queue)-1] {
			tag += r.Cost / n.cfg.policy(f.workspace).Weight
		}
		if victim == nil || f.rank > victim.flow.rank || f.rank == victim.flow.rank && n.later(tag, last, victimTag, victim) {
			victim, victimTag = last, tag
		}
	}
	if victim == nil {
		return false
	}
	n.out = append(n.out, Effect{Kind: Refuse, ID: victim.ID, Reason: reason})
	n.forget(victim)
	return true
}

func (n *naive) forget(r *naiveRequest) {
	n.all = slices.DeleteFunc(n.all, func(o *naiveRequest) bool { return o == r })
	n.refresh()
}

// step begins an event at now.
func (n *naive) step(now time.Time) {
	n.out = nil
	rank0 := func(r *naiveRequest) bool { return r.flow.rank == 0 }
	n.load.observe(now, len(n.filter(true, rank0))+len(n.filter(false, rank0)))
}

func (n *naive) arrive(r Request) {
	i := slices.IndexFunc(n.flows, func(f *naiveFlow) bool { return f.workspace == r.Workspace && f.rank == int(r.Rank) })
	if i < 0 {
		i = len(n.flows)
		n.flows = append(n.flows, &naiveFlow{workspace: r.Workspace, rank: int(r.Rank)})
	}
	n.all = append(n.all, &naiveRequest{Request: r, flow: n.flows[i]})
	n.refresh()
	n.fill()
	n.evict(r.Workspace)
}

func (n *naive) configure(c Config) {
	n.cfg = c
	n.refresh()
	n.fill()
	var names []string
	for _, f := range n.flows {
		names = append(names, f.workspace)
	}
	n.evict(names...)
}

// end settles a running request at its actual cost.
func (n *naive) end(r *naiveRequest, cost float64) {
	r.running = false
	r.flow.finish += (cost - r.Cost) / r.weight
	n.account(r, cost-r.Cost)
	n.forget(r)
	n.fill()
}

func (n *naive) requeue(r *naiveRequest) {
	r.flow.finish -= r.Cost / r.weight
	n.account(r, -r.Cost)
	r.running, r.returned = false, true
	n.refresh()
}
