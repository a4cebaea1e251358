package admission

import "time"

// boundWorkspace refuses waiting requests until the workspace is within its
// bound. Requests that were dispatched once are never victims, so the bound may
// be exceeded by the number of requests that came back.
func (q *Queue) boundWorkspace(now time.Time, w *workspace) {
	for w.full() {
		victim := w.victim()
		if victim == nil {
			break
		}
		q.refuse(now, victim, ReasonWorkspaceFull)
	}
}

// boundPool does the same for the pool's own bound.
func (q *Queue) boundPool(now time.Time) {
	for q.queued > q.cfg.MaxQueued {
		victim := q.victim()
		if victim == nil {
			break
		}
		q.refuse(now, victim, ReasonPoolFull)
	}
}

// victim returns the newest request of the workspace in its least urgent rank.
func (w *workspace) victim() *request {
	for i := len(w.flows) - 1; i >= 0; i-- {
		if f := w.flows[i]; f != nil && f.last != nil {
			return f.last
		}
	}
	return nil
}

// victim returns, within the least urgent rank that has waiting requests, the
// newest request of the most overdrawn workspace: the one whose newest request
// has the largest start tag and so would be served last.
func (q *Queue) victim() *request {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		if f := q.ranks[i].byVictim.max(); f != nil {
			return f.last
		}
	}
	return nil
}
