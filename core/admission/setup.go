package admission

// apply puts c in force and reindexes everything under it.
func (q *Queue) apply(c Config) {
	if len(c.Ranks) == 0 {
		c.Ranks = []RankPolicy{{}}
	}
	q.cfg = c
	for len(q.ranks) < len(c.Ranks) {
		q.ranks = append(q.ranks, &rank{index: len(q.ranks)})
	}
	for i, r := range q.ranks {
		r.minShare = 0
		// Rank 0 keeps what the other ranks' shares leave.
		if i > 0 && i < len(c.Ranks) {
			r.minShare = c.Ranks[i].MinShare
		}
	}
	q.forgetIdle()
	for _, f := range q.flows {
		f.workspace.policy = c.policy(f.workspace.name)
	}
	for _, r := range q.ranks {
		r.weight = 0
	}
	for _, f := range q.flows {
		f.rank.weight += f.workspace.policy.Weight
		f.rank.place(f)
	}
	for _, r := range q.ranks {
		r.expireCredit()
	}
}

// flow returns the flow of a workspace in a rank, creating it when needed.
func (q *Queue) flow(name string, rankIndex int) *flow {
	rankIndex = min(max(rankIndex, 0), len(q.cfg.Ranks)-1)
	w, ok := q.workspaces[name]
	if !ok {
		w = &workspace{name: name, policy: q.cfg.policy(name)}
		q.workspaces[name] = w
	}
	for len(w.flows) <= rankIndex {
		w.flows = append(w.flows, nil)
	}
	if w.flows[rankIndex] == nil {
		w.flows[rankIndex] = q.newFlow(w, q.ranks[rankIndex])
	}
	return w.flows[rankIndex]
}

func (q *Queue) newFlow(w *workspace, r *rank) *flow {
	const nodesPerFlow = 3
	f := &flow{workspace: w, rank: r, id: q.seq}
	q.seq++
	for i, n := range []*node{&f.byStart, &f.byTail, &f.byVictim} {
		n.flow = f
		n.priority = scramble(f.id*nodesPerFlow + uint64(i))
	}
	q.flows = append(q.flows, f)
	r.weight += w.policy.Weight
	return f
}

// forgetIdle drops workspaces without requests that the configuration no
// longer names.
func (q *Queue) forgetIdle() {
	kept := q.flows[:0]
	for _, f := range q.flows {
		w := f.workspace
		if _, named := q.cfg.Workspaces[w.name]; named || w.queued > 0 || w.inFlight > 0 {
			kept = append(kept, f)
			continue
		}
		delete(q.workspaces, w.name)
	}
	clear(q.flows[len(kept):])
	q.flows = kept
	q.sweepNext = 0
}
