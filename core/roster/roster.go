// Package roster tracks the replicas that the platform lists: which ones accept new work,
// which are leaving, and which only appear to be removed because the platform's store was
// unavailable. It performs no I/O and has no clock.
package roster

import (
	"sort"
	"time"
)

// State is the state that a replica reports.
type State int

// States of a replica.
const (
	// Ready replicas accept new work.
	Ready State = iota
	// Draining replicas only finish the work that they have.
	Draining
)

// Layers is a range of layers and the version of their weights.
type Layers struct {
	From, To int
	Version  int64
}

// Entry is the registration of a replica.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Kind is the type of accelerator, "" for plain services.
	Kind  string
	Slots int
	State State
	// StartTime is the start time of the process in Unix milliseconds. It distinguishes
	// restarts under the same ID.
	StartTime int64
	// Layers is nil while the replica holds no layers.
	Layers *Layers
	// Sequence counts heartbeats. It starts again when the replica restarts.
	Sequence int64
}

// Update is one change in the platform's list of replicas.
type Update struct {
	ID string
	// Offset is the position of the change in the list's history.
	Offset int64
	// Entry is nil when the entry was removed.
	Entry *Entry
}

// Updates are the changes in the offset range [From, To) of the history of an era.
type Updates struct {
	Era      int64
	From, To int64
	List     []Update
	// More is true if the history did not end at To when it was read.
	More bool
}

// restoreGrace is how long after an outage of the store entries that expired during it may
// be restored: about 2 s according to the platform, plus a margin for the next read.
const restoreGrace = 2500 * time.Millisecond

// Roster holds the listed replicas. It is not safe for concurrent use.
type Roster struct {
	entries map[string]*trackedEntry
	// byAddress maps an address to the ID of the replica that was last listed there.
	byAddress map[string]string
	// heartbeat is the interval at which replicas renew their entries.
	heartbeat time.Duration
	// unavailable is true while the store does not respond to this instance; restoredAt is
	// when it responded again.
	unavailable bool
	restoredAt  time.Time
	// suspected is true from a failure until the list is read to its end, which shows
	// whether there was an outage. Entries that expired in one may be restored until
	// graceEnd.
	suspected bool
	graceEnd  time.Time
	gap       gap
	ended     []EndedProcess
	// removed holds the entries that were removed for good.
	removed removals
	// departed holds the processes that are leaving for good or have left.
	departed departures
}

// Process is one process of a replica, from its start to its end.
type Process struct {
	ID        string
	StartTime int64
}

// EndedProcess is a process of a replica that ended unannounced.
type EndedProcess struct {
	ID        string
	StartTime int64
	// Restarted is true if a later process of the replica, or another replica at its
	// address, is listed, false if the entry was removed.
	Restarted bool
	// NextStart is the start time of the replica's later process; 0 if none is listed.
	NextStart int64
}

// DrainEnded returns the processes whose end was detected since the last call.
func (r *Roster) DrainEnded() []EndedProcess {
	ended := r.ended
	r.ended = nil
	return ended
}

type trackedEntry struct {
	Entry
	// expiredAt is set when the entry was removed during an outage of the store or within
	// restoreGrace after it, and may be restored.
	expiredAt time.Time
	leaving   bool
	// reportedRemoved is set if another instance reported the removal of the entry. A later
	// heartbeat resets it.
	reportedRemoved bool
}

// New returns an empty roster of replicas that renew their entries at the interval heartbeat. If it is
// 0, no outage is recognized that calls of this instance have not met.
func New(heartbeat time.Duration) *Roster {
	return &Roster{entries: map[string]*trackedEntry{}, byAddress: map[string]string{}, departed: newDepartures(), heartbeat: heartbeat}
}

// Change is the effect of an update.
type Change int

// Changes.
const (
	// Unchanged means that at most the heartbeat changed.
	Unchanged Change = iota
	// Joined means that a new replica, or a new process of a known one, was listed.
	Joined
	// Left means that the replica no longer accepts new work.
	Left
	// Updated means another change, for example of the layers.
	Updated
	// Expired means that the entry was removed during an outage of the store. It stays
	// usable until the grace period ends.
	Expired
)

// String returns the name used in logs.
func (c Change) String() string {
	return [...]string{"same", "joined", "left", "updated", "lapsed"}[c]
}

// SetStoreUnavailable records that the store does not respond to this instance.
func (r *Roster) SetStoreUnavailable() { r.suspectOutage() }

func (r *Roster) suspectOutage() { r.unavailable, r.suspected = true, true }

// SetStoreAvailable records that the store responds.
func (r *Roster) SetStoreAvailable(now time.Time) {
	if r.unavailable {
		r.restoredAt = now
	}
	r.unavailable = false
}

// InGrace reports whether missing entries may still be restored: after an outage of the store,
// and while it is not known whether a failure was one.
func (r *Roster) InGrace(now time.Time) bool {
	if now.Before(r.graceEnd) {
		return true
	}
	return r.suspected && (r.unavailable || now.Before(r.restoredAt.Add(restoreGrace)))
}

// GraceLeft returns the time until missing entries can no longer be restored, if that time is
// known, or 0.
func (r *Roster) GraceLeft(now time.Time) time.Duration {
	end := r.graceEnd
	if r.suspected && !r.unavailable {
		if restored := r.restoredAt.Add(restoreGrace); restored.After(end) {
			end = restored
		}
	}
	return max(0, end.Sub(now))
}

// Put records an entry. Entries of earlier processes and earlier heartbeats are ignored.
func (r *Roster) Put(e Entry) Change {
	if e.State == Draining {
		r.departed.add(Process{ID: e.ID, StartTime: e.StartTime})
	}
	leaving := e.State == Draining || r.departed.contains(Process{ID: e.ID, StartTime: e.StartTime})
	old := r.entries[e.ID]
	if old == nil {
		r.claimAddress(e)
		r.entries[e.ID] = &trackedEntry{Entry: e, leaving: leaving}
		return joinedOrLeft(leaving)
	}
	if e.StartTime < old.StartTime {
		return Unchanged
	}
	restarted := e.StartTime > old.StartTime
	if !restarted && e.Sequence < old.Sequence {
		return Unchanged
	}
	previous := *old
	if e.Address != previous.Address {
		r.byAddress[e.Address] = e.ID
	}
	if restarted && !previous.leaving {
		r.ended = append(r.ended, EndedProcess{ID: e.ID, StartTime: previous.StartTime, Restarted: true, NextStart: e.StartTime})
	}
	old.Entry = e
	old.expiredAt = time.Time{}
	// A leaving replica accepts no new work until it restarts.
	old.leaving = leaving || (!restarted && previous.leaving)
	old.reportedRemoved = previous.reportedRemoved && !restarted && e.Sequence == previous.Sequence
	switch {
	case restarted:
		return joinedOrLeft(leaving)
	case old.leaving != previous.leaving:
		return Left
	case !sameRouting(previous.Entry, e) || !previous.expiredAt.IsZero() || old.reportedRemoved != previous.reportedRemoved:
		return Updated
	default:
		return Unchanged
	}
}

// claimAddress records the address of a new replica. If a replica that started earlier is
// listed there, that one has ended.
func (r *Roster) claimAddress(e Entry) {
	id := r.byAddress[e.Address]
	if old := r.entries[id]; old != nil && old.Address == e.Address && !old.leaving && old.StartTime < e.StartTime {
		r.ended = append(r.ended, EndedProcess{ID: id, StartTime: old.StartTime, Restarted: true})
	}
	r.byAddress[e.Address] = e.ID
}

func joinedOrLeft(leaving bool) Change {
	if leaving {
		return Left
	}
	return Joined
}

func sameRouting(a, b Entry) bool {
	if a.Address != b.Address || a.Service != b.Service || a.Zone != b.Zone || a.Kind != b.Kind || a.Slots != b.Slots {
		return false
	}
	if (a.Layers == nil) != (b.Layers == nil) {
		return false
	}
	return a.Layers == nil || *a.Layers == *b.Layers
}

// Remove records the removal of an entry. During an outage of the store and the grace
// period after it, the entry of a replica that is not leaving is kept until Expire.
func (r *Roster) Remove(now time.Time, id string) Change {
	old := r.entries[id]
	if old == nil {
		return Unchanged
	}
	if r.InGrace(now) && !old.leaving {
		if old.expiredAt.IsZero() {
			old.expiredAt = now
			return Expired
		}
		return Unchanged
	}
	if !old.leaving {
		r.ended = append(r.ended, EndedProcess{ID: id, StartTime: old.StartTime})
	}
	r.deleteEntry(old)
	return Left
}

func (r *Roster) deleteEntry(e *trackedEntry) {
	r.removed.add(e.Entry)
	delete(r.entries, e.ID)
	if r.byAddress[e.Address] == e.ID {
		delete(r.byAddress, e.Address)
	}
}

// Apply applies one update that was read at now.
func (r *Roster) Apply(now time.Time, u Update) Change {
	if u.Entry == nil {
		return r.Remove(now, u.ID)
	}
	return r.Put(*u.Entry)
}

// Replace applies a full list that was read at now: entries missing from it are removed, but
// not those whose IDs are listed as unreadable. Entries that a restored list shows again are ignored.
// It returns the changes by ID, and the time in which the list was not read as BeginUpdates does.
func (r *Roster) Replace(now time.Time, list []Entry, unreadable []string) (map[string]Change, *Gap) {
	changed := map[string]Change{}
	listed := make(map[string]bool, len(list)+len(unreadable))
	for _, id := range unreadable {
		listed[id] = true
	}
	for _, e := range list {
		if old := r.entries[e.ID]; old != nil {
			r.gap.observe(&old.Entry, &e)
		}
	}
	ended := r.endGap(now, true)
	for _, e := range list {
		if r.removed.covers(e) {
			continue
		}
		listed[e.ID] = true
		if c := r.Put(e); c != Unchanged {
			changed[e.ID] = c
		}
	}
	for id := range r.entries {
		if listed[id] {
			continue
		}
		if c := r.Remove(now, id); c != Unchanged {
			changed[id] = c
		}
	}
	return changed, ended
}

// Expire removes the entries that were not restored within the grace period and returns
// their IDs.
func (r *Roster) Expire(now time.Time) []string {
	if r.InGrace(now) {
		return nil
	}
	var expired []string
	for id, e := range r.entries {
		if !e.expiredAt.IsZero() {
			r.ended = append(r.ended, EndedProcess{ID: id, StartTime: e.StartTime})
			r.deleteEntry(e)
			expired = append(expired, id)
		}
	}
	sort.Strings(expired)
	return expired
}

// MarkLeaving records a process's own announcement that it is leaving for good. Later
// entries of that process, from the store or another instance, have no effect. It reports
// whether a replica that accepted new work no longer does.
func (r *Roster) MarkLeaving(p Process) bool {
	old := r.entries[p.ID]
	if old != nil && old.StartTime > p.StartTime {
		return false
	}
	r.departed.add(p)
	if old == nil || old.leaving {
		return false
	}
	old.leaving = true
	return true
}

// MarkRemoved records another instance's report that the entry of a replica was removed. It
// reports whether a replica that accepted new work no longer does.
func (r *Roster) MarkRemoved(id string) bool {
	old := r.entries[id]
	if old == nil || old.leaving || old.reportedRemoved {
		return false
	}
	old.reportedRemoved = true
	return true
}

// Departed returns the remembered processes that are leaving for good or have left.
func (r *Roster) Departed() []Process { return r.departed.list() }

// Available returns the entries of a service that accept new work, sorted by ID.
func (r *Roster) Available(service string) []Entry {
	var out []Entry
	for _, e := range r.entries {
		if e.Service == service && !e.leaving && !e.reportedRemoved {
			out = append(out, e.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Get returns an entry and whether it is closed to new work.
func (r *Roster) Get(id string) (e Entry, leaving, ok bool) {
	old := r.entries[id]
	if old == nil {
		return Entry{}, false, false
	}
	return old.Entry, old.leaving || old.reportedRemoved, true
}
