package waitlist

import "time"

// paceWindow is the time over which the pace of a backlog is measured at least; after twice as long the
// older half is forgotten. Responses take a few seconds.
const paceWindow = 2 * time.Second

// Advance moves the requests that cannot be in time any more behind those that can. The caller calls it
// before it reads the order.
//
// It answers load above room: in order of arrival each request would wait until it is late, and keep
// those behind it waiting until they are late too, also after the load has fallen again.
func (l *List) Advance(now time.Time) {
	if len(l.items) == 0 {
		return
	}
	if l.backlogSince.IsZero() {
		l.backlogSince = now
	}
	if now.Sub(l.backlogSince) > 2*paceWindow {
		l.backlogSince, l.granted = now.Add(-paceWindow), l.granted/2
	}
	var overdue []*Item
	kept := l.items[:0]
	for _, it := range l.items {
		if !it.late && !it.Begun && !now.Before(it.TimelyUntil) {
			it.late = true
			overdue = append(overdue, it)
			continue
		}
		kept = append(kept, it)
	}
	clear(l.items[len(kept):])
	l.items = kept
	for _, it := range overdue {
		l.insert(it)
	}
}

// Late returns the number of requests that cannot be in time any more.
func (l *List) Late() int {
	n := 0
	for _, it := range l.items {
		if it.Late() {
			n++
		}
	}
	return n
}

// Granted records that a waiting request got capacity.
func (l *List) Granted() { l.granted++ }

// Wait estimates how long the request with n others before it waits, by the pace at which requests have
// got capacity since the list was last empty.
func (l *List) Wait(now time.Time, n int) time.Duration {
	if l.backlogSince.IsZero() {
		return 0
	}
	return time.Duration(float64(now.Sub(l.backlogSince)) * float64(n+1) / float64(l.granted+1))
}

// RemoveHopeless removes and returns the late requests that would not get capacity before they are
// refused. To refuse them at once lets their callers come back earlier.
func (l *List) RemoveHopeless(now time.Time) []*Item {
	var out []*Item
	kept := l.items[:0]
	for _, it := range l.items {
		if it.Late() && now.Add(l.Wait(now, len(kept))).After(it.RefuseAt) {
			out = append(out, it)
			continue
		}
		kept = append(kept, it)
	}
	clear(l.items[len(kept):])
	l.items = kept
	return out
}
