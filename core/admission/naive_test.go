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
	rank              int
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

func (n *naive) weight(f *naiveFlow) float64 {
	p := n.cfg.policy(f.workspace)
	return p.Weight
}

// count returns the number of running or waiting requests that match.
func (n *naive) count(running bool, match func(*naiveRequest) bool) int {
	c := 0
	for _, r := range n.all {
		if r.running == running && match(r) {
			c++
		}
	}
	return c
}

// queue returns the waiting requests of f, the returned ones first.
func (n *naive) queue(f *naiveFlow) []*naiveRequest {
	var returned, fresh []*naiveRequest
	for _, r := range n.all {
		if r.running || r.Workspace != f.workspace || r.rank != f.rank {
			continue
		}
		if r.returned {
			returned = append(returned, r)
		} else {
			fresh = append(fresh, r)
		}
	}
	return append(returned, fresh...)
}

func (n *naive) start(f *naiveFlow) float64 {
	if head := n.queue(f)[0]; head.returned {
		return head.start
	}
	return max(f.floor, f.finish)
}

func (n *naive) held(workspace string) bool {
	limit := n.cfg.policy(workspace).MaxInFlight
	return limit > 0 && n.count(true, func(r *naiveRequest) bool { return r.Workspace == workspace }) >= limit
}

// ready returns the flow of the rank to be served next, or nil.
func (n *naive) ready(rank int) *naiveFlow {
	var best *naiveFlow
	for _, f := range n.flows {
		if f.rank != rank || !f.eligible {
			continue
		}
		if best == nil || n.before(f, best) {
			best = f
		}
	}
	return best
}

func (n *naive) before(a, b *naiveFlow) bool {
	if n.start(a) != n.start(b) {
		return n.start(a) < n.start(b)
	}
	return slices.Index(n.all, n.queue(a)[0]) < slices.Index(n.all, n.queue(b)[0])
}

// refresh updates which flows are eligible.
func (n *naive) refresh() {
	for _, f := range n.flows {
		eligible := len(n.queue(f)) > 0 && !n.held(f.workspace)
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

func (n *naive) share(rank int) float64 {
	if rank == 0 {
		return 0
	}
	return n.cfg.Ranks[rank].MinShare
}

func (n *naive) account(served int, cost float64, guaranteed bool) {
	for i := range n.credit {
		switch {
		case i == served && guaranteed:
			n.credit[i] -= (1 - n.share(i)) * cost
		case i == served:
		case n.ready(i) != nil:
			n.credit[i] += n.share(i) * cost
		default:
			n.credit[i] = min(n.credit[i]+n.share(i)*max(cost, 0), 0)
		}
	}
}

func (n *naive) fill() {
	any := func(*naiveRequest) bool { return true }
	for n.count(true, any) < n.slots {
		rank, guaranteed := n.next()
		if rank < 0 {
			return
		}
		f := n.ready(rank)
		r := n.queue(f)[0]
		n.account(rank, r.Cost, guaranteed)
		if !r.returned {
			r.start = n.start(f)
			f.finish = r.start
		}
		r.weight = n.weight(f)
		f.finish += r.Cost / r.weight
		n.vtime[rank] = max(n.vtime[rank], r.start)
		r.running, r.returned, r.guaranteed = true, false, guaranteed
		n.out = append(n.out, Effect{Kind: Dispatch, ID: r.ID})
		n.refresh()
	}
}

func (n *naive) next() (rank int, guaranteed bool) {
	q := Queue{cfg: n.cfg, slots: n.slots, load: n.load}
	others := n.count(true, func(r *naiveRequest) bool { return r.rank > 0 })
	capped := others >= n.slots-q.reserved()
	best := -1
	for i, c := range n.credit {
		f := n.ready(i)
		if f == nil || c <= 0 || capped && c < n.queue(f)[0].Cost {
			continue
		}
		if best < 0 || c > n.credit[best] {
			best = i
		}
	}
	if best >= 0 {
		return best, true
	}
	for i := range n.credit {
		if n.ready(i) != nil && (i == 0 || !capped) {
			return i, false
		}
	}
	return -1, false
}

// evict refuses victims until the bounds of the workspaces and the pool hold.
func (n *naive) evict(workspaces ...string) {
	for _, w := range workspaces {
		limit := n.cfg.policy(w).MaxQueued
		mine := func(r *naiveRequest) bool { return r.Workspace == w }
		for limit > 0 && n.count(false, mine) > limit {
			if !n.refuseLast(mine, ReasonWorkspaceFull) {
				break
			}
		}
	}
	any := func(*naiveRequest) bool { return true }
	for n.count(false, any) > n.cfg.MaxQueued {
		if !n.refuseLast(any, ReasonPoolFull) {
			break
		}
	}
}

// refuseLast refuses, among the newest requests of the matching flows, the one
// of the least urgent rank with the largest start tag.
func (n *naive) refuseLast(match func(*naiveRequest) bool, reason Reason) bool {
	var victim *naiveRequest
	var victimTag float64
	for _, f := range n.flows {
		queue := n.queue(f)
		if len(queue) == 0 {
			continue
		}
		last := queue[len(queue)-1]
		if last.returned || !match(last) {
			continue
		}
		tag := n.start(f)
		for _, r := range queue[:len(queue)-1] {
			tag += r.Cost / n.weight(f)
		}
		later := victim == nil || last.rank > victim.rank
		if victim != nil && last.rank == victim.rank {
			later = tag > victimTag || tag == victimTag && slices.Index(n.all, last) > slices.Index(n.all, victim)
		}
		if later {
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

func (n *naive) flow(r *naiveRequest) *naiveFlow {
	for _, f := range n.flows {
		if f.workspace == r.Workspace && f.rank == r.rank {
			return f
		}
	}
	f := &naiveFlow{workspace: r.Workspace, rank: r.rank}
	n.flows = append(n.flows, f)
	return f
}

// step begins an event at now.
func (n *naive) step(now time.Time) {
	n.out = nil
	rank0 := func(r *naiveRequest) bool { return r.rank == 0 }
	n.load.observe(now, n.count(true, rank0)+n.count(false, rank0))
}

func (n *naive) arrive(r Request) {
	req := &naiveRequest{Request: r, rank: int(r.Rank)}
	n.flow(req)
	n.all = append(n.all, req)
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
	f := n.flow(r)
	f.finish += (cost - r.Cost) / r.weight
	n.account(r.rank, cost-r.Cost, r.guaranteed)
	n.forget(r)
	n.fill()
}

func (n *naive) requeue(r *naiveRequest) {
	f := n.flow(r)
	f.finish -= r.Cost / r.weight
	n.account(r.rank, -r.Cost, r.guaranteed)
	r.running, r.returned = false, true
	n.refresh()
}
