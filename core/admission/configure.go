package admission

// applyConfig applies c and reindexes all flows.
func (q *Queue) applyConfig(c Config) {
	if len(c.Ranks) == 0 {
		c.Ranks = []RankPolicy{{}}
	}
	q.cfg = c
	for len(q.ranks) < len(c.Ranks) {
		q.ranks = append(q.ranks, &rank{index: len(q.ranks)})
	}
	for i, r := range q.ranks {
		r.minShare = 0
		// A share configured for rank 0 is ignored: it gets what the other ranks leave.
		if i > 0 && i < len(c.Ranks) {
			r.minShare = c.Ranks[i].MinShare
		}
	}
	q.deleteIdleWorkspaces()
	for _, f := range q.flows {
		f.workspace.policy = c.policy(f.workspace.name)
	}
	for _, r := range q.ranks {
		r.weight = 0
	}
	for _, f := range q.flows {
		f.rank.weight += f.workspace.policy.Weight
		f.rank.reindex(f)
	}
	for _, r := range q.ranks {
		r.clearIdleCredit()
	}
}

// flow returns the flow of a workspace in a rank, creating it if needed.
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
	const treesPerFlow = 3
	f := &flow{workspace: w, rank: r, id: q.seq}
	q.seq++
	for i, n := range []*node{&f.byStart, &f.byDrain, &f.byLastStart} {
		n.flow = f
		n.priority = splitMix64(f.id*treesPerFlow + uint64(i))
	}
	q.flows = append(q.flows, f)
	r.weight += w.policy.Weight
	return f
}

// deleteIdleWorkspaces deletes the workspaces that have no requests and are not named
// in the configuration.
func (q *Queue) deleteIdleWorkspaces() {
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
