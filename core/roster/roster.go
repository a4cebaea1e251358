// Package roster keeps the replicas that the platform lists: which may get new
// work, which are leaving, and which only seem gone because the platform's store
// was away. It has no I/O and no clock.
package roster

import (
	"sort"
	"time"
)

// State is what a replica says of itself.
type State int

// States of a replica.
const (
	// Ready replicas take new work.
	Ready State = iota
	// Draining replicas finish what they have.
	Draining
)

// Layers is a range of layers with the version of their weights.
type Layers struct {
	From, To int
	Version  int64
}

// Entry is what a replica has registered.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Kind is the accelerator, "" for plain services.
	Kind  string
	Slots int
	State State
	// Born is the start of the replica in Unix milliseconds. It tells a restart
	// under the same ID.
	Born int64
	// Layers is nil while the replica holds none.
	Layers *Layers
	// Sequence is the number of heartbeats, which restarts with the replica.
	Sequence int64
}

// Update is one change in the platform's list of replicas.
type Update struct {
	ID string
	// Offset is the place of the change in the list's history.
	Offset int64
	// Entry is nil when the entry was removed.
	Entry *Entry
}

// Updates are the changes from one offset of the history up to another.
type Updates struct {
	From, To int64
	List     []Update
}

// restoreGrace is the time after an outage of the store within which entries
// that lapsed meanwhile come back, as the platform states (about 2 s), and a
// margin for the next read.
const restoreGrace = 2500 * time.Millisecond

// Roster is not safe for concurrent use.
type Roster struct {
	entries map[string]*record
	// byAddress holds the ID of the replica that was listed last at an address.
	byAddress map[string]string
	// away is true while the store does not answer; backAt is the time at which
	// it answered again.
	away   bool
	backAt time.Time
	ended  []Ended
	// departed holds the processes that leave for good.
	departed departures
}

// Process is one process of a replica, from its start to its end.
type Process struct {
	ID   string
	Born int64
}

// Ended is a process of a replica that ended without having said that it leaves.
type Ended struct {
	ID   string
	Born int64
	// Restarted is true when a later process of the replica is listed, false when its
	// entry was removed.
	Restarted bool
}

// TakeEnded returns the processes that were found to have ended since the last call.
func (r *Roster) TakeEnded() []Ended {
	ended := r.ended
	r.ended = nil
	return ended
}

type record struct {
	Entry
	// lapsedAt is set when the entry was removed during an outage or shortly
	// after, and may come back.
	lapsedAt time.Time
	leaving  bool
	// removed is set while another instance says that the entry is gone. A later
	// heartbeat ends it.
	removed bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]*record{}, byAddress: map[string]string{}, departed: newDepartures()}
}

// Change tells what an update did.
type Change int

// Changes.
const (
	// Same means that nothing but the heartbeat changed.
	Same Change = iota
	// Joined means a new replica or a restart of a known one.
	Joined
	// Left means that no new work may go there.
	Left
	// Updated means another change, such as the layers held.
	Updated
	// Lapsed means that the entry was removed during an outage of the store, and
	// is used until the grace period ends.
	Lapsed
)

// String returns the name used in logs.
func (c Change) String() string {
	return [...]string{"same", "joined", "left", "updated", "lapsed"}[c]
}

// StoreAway tells that the store does not answer.
func (r *Roster) StoreAway() { r.away = true }

// StoreBack tells that the store answers.
func (r *Roster) StoreBack(now time.Time) {
	if r.away {
		r.backAt = now
	}
	r.away = false
}

// InGrace tells whether entries that are missing now may still come back.
func (r *Roster) InGrace(now time.Time) bool {
	return r.away || (!r.backAt.IsZero() && now.Before(r.backAt.Add(restoreGrace)))
}

// Put takes an entry. An older heartbeat of the same start is ignored.
func (r *Roster) Put(e Entry) Change {
	if e.State == Draining {
		r.departed.add(Process{ID: e.ID, Born: e.Born})
	}
	leaving := e.State == Draining || r.departed.has(Process{ID: e.ID, Born: e.Born})
	old := r.entries[e.ID]
	if old == nil {
		r.takeAddress(e)
		r.entries[e.ID] = &record{Entry: e, leaving: leaving}
		return joinedOrLeft(leaving)
	}
	if e.Born < old.Born {
		return Same
	}
	restarted := e.Born > old.Born
	if !restarted && e.Sequence < old.Sequence {
		return Same
	}
	was := *old
	if e.Address != was.Address {
		r.byAddress[e.Address] = e.ID
	}
	if restarted && !was.leaving {
		r.ended = append(r.ended, Ended{ID: e.ID, Born: was.Born, Restarted: true})
	}
	old.Entry = e
	old.lapsedAt = time.Time{}
	// A replica that leaves does not come back before it restarts.
	old.leaving = leaving || (!restarted && was.leaving)
	old.removed = was.removed && !restarted && e.Sequence == was.Sequence
	switch {
	case restarted:
		return joinedOrLeft(leaving)
	case old.leaving != was.leaving:
		return Left
	case !sameUse(was.Entry, e) || !was.lapsedAt.IsZero() || old.removed != was.removed:
		return Updated
	default:
		return Same
	}
}

// takeAddress notes the end of the replica at whose address another one starts.
func (r *Roster) takeAddress(e Entry) {
	id := r.byAddress[e.Address]
	if old := r.entries[id]; old != nil && old.Address == e.Address && !old.leaving && old.Born < e.Born {
		r.ended = append(r.ended, Ended{ID: id, Born: old.Born, Restarted: true})
	}
	r.byAddress[e.Address] = e.ID
}

func joinedOrLeft(leaving bool) Change {
	if leaving {
		return Left
	}
	return Joined
}

func sameUse(a, b Entry) bool {
	if a.Address != b.Address || a.Service != b.Service || a.Zone != b.Zone || a.Kind != b.Kind || a.Slots != b.Slots {
		return false
	}
	if (a.Layers == nil) != (b.Layers == nil) {
		return false
	}
	return a.Layers == nil || *a.Layers == *b.Layers
}

// Remove takes the removal of an entry.
func (r *Roster) Remove(now time.Time, id string) Change {
	old := r.entries[id]
	if old == nil {
		return Same
	}
	if r.InGrace(now) && !old.leaving {
		if old.lapsedAt.IsZero() {
			old.lapsedAt = now
			return Lapsed
		}
		return Same
	}
	if !old.leaving {
		r.ended = append(r.ended, Ended{ID: id, Born: old.Born})
	}
	r.drop(old)
	return Left
}

func (r *Roster) drop(e *record) {
	delete(r.entries, e.ID)
	if r.byAddress[e.Address] == e.ID {
		delete(r.byAddress, e.Address)
	}
}

// Apply takes one update, read at now.
func (r *Roster) Apply(now time.Time, u Update) Change {
	if u.Entry == nil {
		return r.Remove(now, u.ID)
	}
	return r.Put(*u.Entry)
}

// Replace takes a full list, read at now: entries that are missing in it are
// removed. It returns the IDs whose state changed.
func (r *Roster) Replace(now time.Time, list []Entry) map[string]Change {
	changed := map[string]Change{}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if c := r.Put(e); c != Same {
			changed[e.ID] = c
		}
	}
	for id := range r.entries {
		if listed[id] {
			continue
		}
		if c := r.Remove(now, id); c != Same {
			changed[id] = c
		}
	}
	return changed
}

// Expire removes the entries that did not come back within the grace period,
// and returns their IDs.
func (r *Roster) Expire(now time.Time) []string {
	if r.InGrace(now) {
		return nil
	}
	var gone []string
	for id, e := range r.entries {
		if !e.lapsedAt.IsZero() {
			r.ended = append(r.ended, Ended{ID: id, Born: e.Born})
			r.drop(e)
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// Leave notes that a process leaves for good, by its own word. Entries of it that come
// later, from the store or from another instance, change nothing. It returns whether a
// replica that took new work takes none now.
func (r *Roster) Leave(p Process) bool {
	old := r.entries[p.ID]
	if old != nil && old.Born > p.Born {
		return false
	}
	r.departed.add(p)
	if old == nil || old.leaving {
		return false
	}
	old.leaving = true
	return true
}

// Removed notes another instance's word that the entry of a replica is gone. It returns
// whether a replica that took new work takes none now.
func (r *Roster) Removed(id string) bool {
	old := r.entries[id]
	if old == nil || old.leaving || old.removed {
		return false
	}
	old.removed = true
	return true
}

// Departed returns the processes that leave for good or have left, as far as they are
// remembered.
func (r *Roster) Departed() []Process { return r.departed.list() }

// Usable returns the entries of a service that take new work, sorted by ID.
func (r *Roster) Usable(service string) []Entry {
	var out []Entry
	for _, e := range r.entries {
		if e.Service == service && !e.leaving && !e.removed {
			out = append(out, e.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Get returns an entry and whether it gets no new work.
func (r *Roster) Get(id string) (e Entry, leaving, ok bool) {
	old := r.entries[id]
	if old == nil {
		return Entry{}, false, false
	}
	return old.Entry, old.leaving || old.removed, true
}
