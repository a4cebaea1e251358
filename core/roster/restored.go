package roster

import (
	"slices"
	"time"
)

// maxRemoved bounds the number of remembered removals. A store that is restored is some seconds old,
// in which the largest deployment loses fewer replicas even when an availability zone fails.
const maxRemoved = 1024

// removals remembers the entries that were removed for good. A list that was restored from an older
// copy shows those again that were removed since.
type removals struct {
	// entries holds the last entries of the removed replicas, the oldest removals first.
	entries []Entry
	// restored is true if the list was ever restored. Without that, an entry that is listed
	// again was written again.
	restored bool
}

func (m *removals) add(e Entry) {
	m.entries = slices.DeleteFunc(m.entries, func(x Entry) bool { return x.ID == e.ID })
	if len(m.entries) == maxRemoved {
		m.entries = m.entries[1:]
	}
	m.entries = append(m.entries, e)
}

// covers reports whether a listed entry was written before the replica was removed.
func (m *removals) covers(e Entry) bool {
	if !m.restored {
		return false
	}
	i := slices.IndexFunc(m.entries, func(x Entry) bool { return x.ID == e.ID })
	if i < 0 {
		return false
	}
	last := m.entries[i]
	return e.StartTime < last.StartTime || (e.StartTime == last.StartTime && e.Sequence <= last.Sequence)
}

// ListRestored records that the list was restored from an older copy. Replicas write their entries
// again: those that the copy lacks may return as after an outage. Those that it shows although they
// were removed since are ignored until the replica writes them anew.
func (r *Roster) ListRestored(now time.Time) {
	r.removed.restored = true
	r.graceEnd = now.Add(restoreGrace)
}
