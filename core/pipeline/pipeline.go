package pipeline

import (
	"time"
)

// Replica is a holder of consecutive layers.
type Replica struct {
	ID      string
	Address string
	Zone    string
	Kind    string
	// Born tells a restart of the replica.
	Born int64
	// From and To bound the layers that serve requests: From <= layer < To.
	From, To int
}

// Hop is one replica of a path with the layers that it runs.
type Hop struct {
	ID       string
	Address  string
	Zone     string
	From, To int
	// Born tells the process of the replica from an earlier one.
	Born int64
}

// Path runs all layers in order.
type Path []Hop

// Uses tells whether the path passes through a replica.
func (p Path) Uses(id string) bool {
	for _, h := range p {
		if h.ID == id {
			return true
		}
	}
	return false
}

// Demand is what one request asks of every replica on its path.
type Demand struct {
	// Prompt is the number of tokens to read.
	Prompt float64
	// Output is the expected number of tokens to write.
	Output float64
}

// outputShare is the part of the expected output that is reserved: a request
// holds none of it at first and all of it at its end.
const outputShare = 0.6

// tokens returns the context to reserve.
func (d Demand) tokens() float64 { return d.Prompt + d.Output*outputShare }

// load is the work on one replica.
type load struct {
	// room is the KV cache in tokens times layers. nextRoom takes its place at
	// roomAt, if that is set.
	room     float64
	nextRoom float64
	roomAt   time.Time
	// reserved is the KV cache of requests of this instance, in tokens times
	// layers; foreign that of other instances.
	reserved, foreign float64
	// sequences and foreignSequences count requests that pass through.
	sequences, foreignSequences float64
	// reading is the number of prompt tokens times layers not read yet.
	reading, foreignReading float64
	// first counts the requests of this instance that enter the path here.
	first int
	// pace over 1 means that the replica is slower than its kind.
	pace       float64
	observed   Observed
	observedAt time.Time
	// layersAt is when a report last told the layers.
	layersAt time.Time
	// blockedUntil takes the replica out of use.
	blockedUntil time.Time
}

// Fleet holds the replicas of one model and their load. It is not safe for
// concurrent use.
type Fleet struct {
	model    *Model
	replicas map[string]*member
	// atLayer lists the usable replicas that hold each layer.
	atLayer [][]*member
	ordered []*member
	// zones holds the names of the zones; members know theirs by index.
	zones []string
	links map[Link]*linkLoad
	// orphansUntil is the time until which replicas may run requests of processes
	// that are gone, which no reservation shows.
	orphansUntil time.Time
	sharing      Sharing
}

type member struct {
	Replica
	load
	index int
	zone  int
	seen  bool
}

// NewFleet returns a fleet without replicas.
func NewFleet(m *Model) *Fleet {
	return &Fleet{model: m, replicas: map[string]*member{}, links: map[Link]*linkLoad{}}
}

// orphanTime is how long replicas go on with the requests of a process that lost
// power: about a long request.
const orphanTime = 8 * time.Second

// ExpectOrphans makes the use that replicas report count for a while after the
// start of the process. Later the reservations are better: reports lag.
func (f *Fleet) ExpectOrphans(now time.Time) { f.orphansUntil = now.Add(orphanTime) }

// Model returns the figures in use.
func (f *Fleet) Model() *Model { return f.model }

// SetModel puts changed figures in force.
func (f *Fleet) SetModel(m *Model) {
	f.model = m
	for _, r := range f.replicas {
		r.room = m.Room(r.Kind, r.To-r.From)
	}
	f.index()
}

// releaseDelay is how long a replica that gave up layers keeps their weights, until
// the requests that pass through them have ended: about a usual request.
const releaseDelay = 6 * time.Second

// setRoom puts less room in force at once and more room when it is free.
func (m *member) setRoom(now time.Time, room float64, fresh bool) {
	if fresh || room <= m.room {
		m.room, m.roomAt = room, time.Time{}
		return
	}
	if room != m.nextRoom || m.roomAt.IsZero() {
		m.nextRoom, m.roomAt = room, now.Add(releaseDelay)
	}
}

// free puts room in force whose time has come.
func (m *member) free(now time.Time) {
	if !m.roomAt.IsZero() && !now.Before(m.roomAt) {
		m.room, m.roomAt = m.nextRoom, time.Time{}
	}
}

// Set replaces the list of replicas. The load on replicas that stay is kept.
func (f *Fleet) Set(now time.Time, list []Replica) {
	for _, m := range f.replicas {
		m.seen = false
	}
	for _, r := range list {
		m := f.replicas[r.ID]
		fresh := m == nil || m.Born != r.Born
		if m == nil {
			m = &member{load: load{pace: 1}}
			f.replicas[r.ID] = m
		}
		if from, to, ok := f.Layers(now, r.ID); ok && !fresh {
			r.From, r.To = from, to
		}
		m.Replica = r
		m.seen = true
		m.setRoom(now, f.model.Room(r.Kind, r.To-r.From), fresh)
	}
	for id, m := range f.replicas {
		if !m.seen && m.sequences == 0 {
			delete(f.replicas, id)
		}
	}
	f.index()
}

func (f *Fleet) index() {
	f.atLayer = make([][]*member, f.model.Layers)
	f.ordered = f.ordered[:0]
	f.zones = f.zones[:0]
	zones := map[string]int{}
	for _, m := range f.replicas {
		if !m.seen {
			continue
		}
		f.ordered = append(f.ordered, m)
	}
	sortMembers(f.ordered)
	for i, m := range f.ordered {
		m.index = i
		zone, ok := zones[m.Zone]
		if !ok {
			zone = len(f.zones)
			zones[m.Zone] = zone
			f.zones = append(f.zones, m.Zone)
		}
		m.zone = zone
		for l := max(0, m.From); l < min(m.To, f.model.Layers); l++ {
			f.atLayer[l] = append(f.atLayer[l], m)
		}
	}
}

// Block takes a replica out of use until a time.
func (f *Fleet) Block(id string, until time.Time) {
	if m := f.replicas[id]; m != nil && until.After(m.blockedUntil) {
		m.blockedUntil = until
	}
}

// Unblock puts a replica back into use.
func (f *Fleet) Unblock(id string) {
	if m := f.replicas[id]; m != nil {
		m.blockedUntil = time.Time{}
	}
}

// Blocked tells whether the replica is out of use at now.
func (f *Fleet) Blocked(id string, now time.Time) bool {
	m := f.replicas[id]
	return m == nil || !m.seen || now.Before(m.blockedUntil)
}

// IDAt returns the ID of the listed replica with the address, or "".
func (f *Fleet) IDAt(address string) string {
	for _, m := range f.ordered {
		if m.Address == address {
			return m.ID
		}
	}
	return ""
}

// Replica returns a replica in the list.
func (f *Fleet) Replica(id string) (Replica, bool) {
	m := f.replicas[id]
	if m == nil || !m.seen {
		return Replica{}, false
	}
	return m.Replica, true
}

// Covered tells whether every layer is held by a usable replica.
func (f *Fleet) Covered(now time.Time) bool {
	if len(f.atLayer) == 0 {
		return false
	}
	for _, members := range f.atLayer {
		found := false
		for _, m := range members {
			found = found || !now.Before(m.blockedUntil)
		}
		if !found {
			return false
		}
	}
	return true
}

// CoveredAt returns when every layer will be held by a replica that may be used, if it
// is held at all: blocked replicas count from the end of their block, others from now.
// Only blocks for which counts returns true are taken into account; it returns false if a
// layer has no replica, or only such as are blocked for another reason.
func (f *Fleet) CoveredAt(now time.Time, counts func(id string) (time.Time, bool)) (time.Time, bool) {
	at := now
	for _, members := range f.atLayer {
		var first time.Time
		for _, m := range members {
			free := now
			if now.Before(m.blockedUntil) {
				end, ok := counts(m.ID)
				if !ok || m.blockedUntil.After(end) {
					continue
				}
				free = end
			}
			if first.IsZero() || free.Before(first) {
				first = free
			}
		}
		if first.IsZero() {
			return time.Time{}, false
		}
		if first.After(at) {
			at = first
		}
	}
	return at, len(f.atLayer) > 0
}

// Reserve adds the load of a request on its path.
func (f *Fleet) Reserve(now time.Time, p Path, d Demand) {
	f.shift(p, d, 1)
	f.sendPrompt(now, p, d)
}

// Release takes away what Reserve added.
func (f *Fleet) Release(p Path, d Demand) { f.shift(p, d, -1) }

func (f *Fleet) shift(p Path, d Demand, sign float64) {
	for i, h := range p {
		m := f.replicas[h.ID]
		if m == nil {
			continue
		}
		m.reserved = max(0, m.reserved+sign*d.tokens()*float64(h.To-h.From))
		m.sequences = max(0, m.sequences+sign)
		if i == 0 {
			m.first = max(0, m.first+int(sign))
		}
	}
}

// Reading adds (sign 1) or takes away (sign -1) a prompt that is being read.
func (f *Fleet) Reading(p Path, d Demand, sign float64) {
	for _, h := range p {
		if m := f.replicas[h.ID]; m != nil {
			m.reading = max(0, m.reading+sign*d.Prompt*float64(h.To-h.From))
		}
	}
}

// Load is the work of one instance on one replica.
type Load struct {
	// Reserved is in tokens times layers.
	Reserved  float64
	Sequences float64
	// Reading is in prompt tokens times layers.
	Reading float64
}

// State is what is known of a replica.
type State struct {
	Replica
	// Room is its KV cache in tokens times layers.
	Room         float64
	Own, Foreign Load
}

// Use returns the share of the KV cache that is reserved.
func (s State) Use() float64 {
	if s.Room <= 0 {
		return 1
	}
	return (s.Own.Reserved + s.Foreign.Reserved) / s.Room
}

// State returns what is known of a replica; the zero value if it is not listed.
func (f *Fleet) State(id string) State {
	m := f.replicas[id]
	if m == nil {
		return State{}
	}
	return State{
		Replica: m.Replica,
		Room:    m.room,
		Own:     Load{Reserved: m.reserved, Sequences: m.sequences, Reading: m.reading},
		Foreign: Load{Reserved: m.foreign, Sequences: m.foreignSequences, Reading: m.foreignReading},
	}
}

// Own returns the load of this instance by replica ID; replicas without load
// are left out.
func (f *Fleet) Own() map[string]Load {
	out := map[string]Load{}
	for id, m := range f.replicas {
		if m.sequences > 0 {
			out[id] = Load{Reserved: m.reserved, Sequences: m.sequences, Reading: m.reading}
		}
	}
	return out
}

// SetForeign replaces the load of all other instances together: by replica, and
// by link in prompt tokens a second.
func (f *Fleet) SetForeign(of func(id string) Load, link func(Link) float64) {
	for k, l := range f.links {
		l.foreign = link(k)
	}
	for id, m := range f.replicas {
		l := of(id)
		m.foreign, m.foreignSequences, m.foreignReading = l.Reserved, l.Sequences, l.Reading
	}
}

// Replicas returns the listed replicas, sorted by ID.
func (f *Fleet) Replicas() []Replica {
	out := make([]Replica, 0, len(f.ordered))
	for _, m := range f.ordered {
		out = append(out, m.Replica)
	}
	return out
}
