package admission

import "time"

// enforceWorkspaceLimit refuses waiting requests until the workspace is within its
// limit. Requests that were already dispatched once are never evicted, so the limit may
// be exceeded by the number of requeued requests.
func (q *Queue) enforceWorkspaceLimit(now time.Time, w *workspace) {
	for w.overQueueLimit() {
		candidate := w.evictionCandidate()
		if candidate == nil {
			break
		}
		q.refuse(now, candidate, ReasonWorkspaceFull)
	}
}

// enforcePoolLimit refuses waiting requests until the pool is within its limit, with
// the same exception for requeued requests.
func (q *Queue) enforcePoolLimit(now time.Time) {
	for q.queued > q.cfg.MaxQueued {
		candidate := q.evictionCandidate()
		if candidate == nil {
			break
		}
		q.refuse(now, candidate, ReasonPoolFull)
	}
}

// evictionCandidate returns the newest request in the least urgent rank of the
// workspace that has an evictable one, or nil.
func (w *workspace) evictionCandidate() *request {
	for i := len(w.flows) - 1; i >= 0; i-- {
		if f := w.flows[i]; f != nil && f.last != nil {
			return f.last
		}
	}
	return nil
}

// evictionCandidate returns, within the least urgent rank that has evictable requests,
// the newest request of the flow whose newest request has the largest start tag and so
// would be served last. It returns nil if no request may be evicted.
func (q *Queue) evictionCandidate() *request {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		if f := q.ranks[i].byLastStart.max(); f != nil {
			return f.last
		}
	}
	return nil
}
