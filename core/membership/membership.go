// Package membership tracks which entry instances are live. It merges the platform's list,
// which lags, with the states that peers report in their messages.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// State is the life cycle state of an instance. Within one incarnation it only increases,
// except that a message brings an instance that was considered failed back to its reported
// state.
type State int

// States of an instance.
const (
	// NeverContacted means that the instance is listed and has sent no message.
	NeverContacted State = iota
	// Joining means that the instance runs and accepts no work yet.
	Joining
	// Ready means that the instance accepts work.
	Ready
	// Leaving means that the instance finishes its work and accepts no more.
	Leaving
	// Failed means that too many heartbeats were missed.
	Failed
)

// String returns the name of the state in lower case.
func (s State) String() string {
	names := [...]string{"unheard", "joining", "ready", "leaving", "gone"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Config holds the settings of a Members.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// HeartbeatInterval is the maximum time between two messages of a peer.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of intervals without a message after which an instance
	// is considered failed.
	MissedHeartbeats int
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultMissedHeartbeats  = 4
)

// Event is an input of Members: the platform's list, a message of a peer, a change of this
// instance's own state, or the passing of time.
type Event interface{ isEvent() }

// Listed is a snapshot of the platform's list of entry instances.
type Listed struct{ Instances []ListedInstance }

// ListedInstance is one entry of the platform's list.
type ListedInstance struct {
	ID      string
	Address string
	Zone    string
	// Leaving is true when the platform is about to stop the instance.
	Leaving bool
}

// Received is a message of a peer, with the state that the peer reports.
type Received struct {
	ID          string
	Incarnation uint64
	Zone        string
	// State is Joining, Ready or Leaving.
	State State
}

// SelfChanged sets the state of this instance.
type SelfChanged struct{ State State }

// Tick only advances the time.
type Tick struct{}

func (Listed) isEvent()      {}
func (Received) isEvent()    {}
func (SelfChanged) isEvent() {}
func (Tick) isEvent()        {}

// StateChange reports that an instance changed its state or was replaced by another
// incarnation.
type StateChange struct {
	ID          string
	Incarnation uint64
	From        State
	To          State
}

// Member describes one instance.
type Member struct {
	ID          string
	Address     string
	Zone        string
	Incarnation uint64
	State       State
	// Listed is true if the latest list contains the instance.
	Listed bool
	// LastContact is when the last message arrived, zero if none has.
	LastContact time.Time

	// reported is the highest state that this incarnation has reported.
	reported State
	// listedLeaving is true if the latest list marks the instance as leaving.
	listedLeaving bool
	// listedSince is when the instance was first listed without having sent a message.
	listedSince time.Time
}

// Members is the state machine of all known instances. It is not safe for concurrent use.
type Members struct {
	config  Config
	members map[string]*Member
}

// New returns a Members that knows only this instance, as Joining. Fields of config that
// are not positive get their defaults.
func New(config Config) *Members {
	if config.HeartbeatInterval <= 0 {
		config.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if config.MissedHeartbeats <= 0 {
		config.MissedHeartbeats = DefaultMissedHeartbeats
	}
	self := &Member{ID: config.Self, State: Joining, reported: Joining}
	return &Members{config: config, members: map[string]*Member{config.Self: self}}
}

// Timeout returns the time without a message after which an instance is considered failed.
func (m *Members) Timeout() time.Duration {
	return time.Duration(m.config.MissedHeartbeats) * m.config.HeartbeatInterval
}

// Step advances the time to now and then applies event. It returns first the changes that
// are due to the time and then those due to the event, each sorted by instance ID.
func (m *Members) Step(now time.Time, event Event) []StateChange {
	expired := m.refresh(now, "")
	replaced := ""
	switch e := event.(type) {
	case Listed:
		m.applyList(now, e.Instances)
	case Received:
		if m.applyMessage(now, e) {
			replaced = e.ID
		}
	case SelfChanged:
		self := m.members[m.config.Self]
		self.reported = max(self.reported, e.State)
	case Tick:
	}
	return append(expired, m.refresh(now, replaced)...)
}

func (m *Members) applyList(now time.Time, list []ListedInstance) {
	for _, member := range m.members {
		member.Listed, member.listedLeaving = false, false
	}
	for _, entry := range list {
		if entry.ID == "" {
			continue
		}
		member := m.members[entry.ID]
		if member == nil {
			member = &Member{ID: entry.ID, listedSince: now}
			m.members[entry.ID] = member
		}
		member.Listed = true
		member.listedLeaving = member.listedLeaving || entry.Leaving
		member.Address, member.Zone = entry.Address, entry.Zone
	}
}

// applyMessage reports whether the message is the first of a higher incarnation.
func (m *Members) applyMessage(now time.Time, e Received) (replaced bool) {
	if e.ID == m.config.Self || e.ID == "" || e.State < Joining || e.State > Leaving {
		return false
	}
	member := m.members[e.ID]
	if member == nil {
		member = &Member{ID: e.ID}
		m.members[e.ID] = member
	}
	if e.Incarnation < member.Incarnation {
		return false
	}
	if e.Incarnation > member.Incarnation {
		replaced = !member.LastContact.IsZero()
		member.Incarnation = e.Incarnation
		member.reported = NeverContacted
	}
	member.reported = max(member.reported, e.State)
	member.LastContact = now
	if e.Zone != "" {
		member.Zone = e.Zone
	}
	return replaced
}

// refresh computes all states at now and deletes instances that are neither listed nor
// responding.
func (m *Members) refresh(now time.Time, replaced string) []StateChange {
	var changes []StateChange
	for id, member := range m.members {
		from := member.State
		member.State = m.stateOf(member, now)
		if member.State != from || id == replaced {
			changes = append(changes, StateChange{ID: id, Incarnation: member.Incarnation, From: from, To: member.State})
		}
		unresponsive := member.State == Failed || member.State == NeverContacted
		if unresponsive && !member.Listed {
			delete(m.members, id)
		}
	}
	slices.SortFunc(changes, func(a, b StateChange) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

func (m *Members) stateOf(member *Member, now time.Time) State {
	if member.ID == m.config.Self {
		return member.reported
	}
	if member.LastContact.IsZero() {
		return NeverContacted
	}
	if now.Sub(member.LastContact) >= m.Timeout() {
		return Failed
	}
	if member.listedLeaving {
		return Leaving
	}
	return member.reported
}

// Live returns the sorted IDs of the instances that hold or may accept work, including this
// one: those that are Ready or Leaving, and those that were listed less than a timeout ago
// and have not sent a message yet.
func (m *Members) Live(now time.Time) []string {
	var live []string
	for id, member := range m.members {
		if id == m.config.Self || m.holdsWork(member, now) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

func (m *Members) holdsWork(member *Member, now time.Time) bool {
	switch m.stateOf(member, now) {
	case Ready, Leaving:
		return true
	case NeverContacted:
		return !member.listedLeaving && now.Sub(member.listedSince) < m.Timeout()
	default:
		return false
	}
}

// Candidates returns the instances from which neighbors are chosen: all listed ones except
// this instance, sorted by ID. They include leaving instances, which hold slots until their
// work ends, and instances with missed heartbeats, so that contact with them can be
// restored.
func (m *Members) Candidates() []Member {
	return m.collect(func(member *Member) bool {
		return member.ID != m.config.Self && member.Listed
	})
}

// All returns every known instance, sorted by ID.
func (m *Members) All() []Member {
	return m.collect(func(*Member) bool { return true })
}

func (m *Members) collect(keep func(*Member) bool) []Member {
	var kept []Member
	for _, member := range m.members {
		if keep(member) {
			kept = append(kept, *member)
		}
	}
	slices.SortFunc(kept, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return kept
}
