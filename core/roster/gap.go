package roster

import "time"

const (
	// lapseHeartbeats is the length of an outage of the store, in intervals between
	// heartbeats, in which entries of working replicas may lapse. The platform removes an
	// entry after three intervals, and the last heartbeat may be one interval older than
	// the outage.
	lapseHeartbeats = 2
	// outageHeartbeats is the part of a gap, in intervals, that its heartbeats leave
	// unexplained if there was such an outage. Without one they leave up to one interval,
	// after the last heartbeat.
	outageHeartbeats = 1.5
	// heartbeatTolerance is the largest ratio of the actual interval between heartbeats to
	// the configured one.
	heartbeatTolerance = 1.1
)

// Gap is a time in which the list was not read to its end, long enough for entries to lapse.
type Gap struct {
	Length time.Duration
	// Heartbeats is the largest number of heartbeats of one replica that the list received
	// meanwhile.
	Heartbeats int64
	// Outage is true if the store may have been unavailable to the replicas for so long that
	// entries lapsed, false if only this instance did not read the list.
	Outage bool
}

// gap observes what the list received since it was last read to its end.
type gap struct {
	// readAt is when the list was last read to its end; zero before the first time.
	readAt time.Time
	// before holds the heartbeat counts at readAt by replica ID, for the processes whose
	// heartbeats were read since.
	before map[Process]int64
	// heartbeats is the largest number of heartbeats of one replica since readAt.
	heartbeats int64
}

func (g *gap) reset(now time.Time) { *g = gap{readAt: now} }

// observe counts the heartbeats of a replica whose last known entry is old.
func (g *gap) observe(old, e *Entry) {
	if e.StartTime != old.StartTime {
		return
	}
	p := Process{ID: e.ID, StartTime: e.StartTime}
	before, known := g.before[p]
	if !known {
		if g.before == nil {
			g.before = map[Process]int64{}
		}
		before = old.Sequence
		g.before[p] = before
	}
	g.heartbeats = max(g.heartbeats, e.Sequence-before)
}

// end returns the gap that ends at now, or nil if it is too short for entries to lapse in it.
func (g *gap) end(now time.Time, interval time.Duration) *Gap {
	if interval <= 0 || g.readAt.IsZero() || now.Sub(g.readAt) < lapseHeartbeats*interval {
		return nil
	}
	length := now.Sub(g.readAt)
	unexplained := length.Seconds()/interval.Seconds() - float64(g.heartbeats)*heartbeatTolerance
	return &Gap{Length: length, Heartbeats: g.heartbeats, Outage: unexplained >= outageHeartbeats}
}

// BeginUpdates prepares for updates that this instance has read at now and will apply next.
// complete is false if more follow at once. The heartbeats among them show whether the store was
// unavailable since the list was last read to its end, or only to this instance: removals are
// final then. It returns that time if it was long enough for entries to lapse, else nil.
func (r *Roster) BeginUpdates(now time.Time, list []Update, complete bool) *Gap {
	for _, u := range list {
		if old := r.entries[u.ID]; old != nil && u.Entry != nil {
			r.gap.observe(&old.Entry, u.Entry)
		}
	}
	return r.endGap(now, complete)
}

func (r *Roster) endGap(now time.Time, complete bool) *Gap {
	ended := r.gap.end(now, r.heartbeat)
	if !complete {
		if ended != nil && !r.InGrace(now) {
			r.suspectOutage()
			r.SetStoreAvailable(now)
		}
		return nil
	}
	r.gap.reset(now)
	r.suspected = false
	if ended != nil && ended.Outage {
		r.graceEnd = now.Add(restoreGrace)
	}
	return ended
}

// BeginForwarded prepares for updates that another instance has read up to the end of the list.
// They lack heartbeats. If they continue the list after a gap, the other instance could not read
// it either.
func (r *Roster) BeginForwarded(now time.Time) {
	if r.gap.end(now, r.heartbeat) != nil {
		r.graceEnd = now.Add(restoreGrace)
	}
	r.gap.reset(now)
}
