// Package revision decides which configuration proposals of a log stream are
// accepted. It performs no I/O; a shell reads the stream and passes the batches
// to a Machine.
//
// Invariants:
//
//  1. The accepted revision after the records below offset n depends only on
//     these records. A proposal is accepted iff its base is the accepted
//     revision at its own offset and its content is valid; it then creates
//     revision base+1. The log's order alone picks the winner of a race.
//  2. A Machine's state is the one that belongs to its offset Next. It starts
//     from the genesis of the stream (offset 0 still kept), from a peer's state,
//     or from a snapshot record, and goes on record by record without a gap.
//  3. Anchor rule: after a gap nothing is judged until a state is found whose
//     Next is still kept. Readers that judged from anywhere else would disagree,
//     since they do not know which revision a base must name.
//  4. A Machine's Next and revision never go down. States with a lower Next are
//     ignored, however they arrive.
//  5. A copy of a record changes nothing: an accepted proposal's base is below
//     the accepted revision ever after, and so is that of a refused one, because
//     authors propose only on revisions that they have seen accepted.
//
// From 1 to 3 follows that any two readers agree on the content of every
// revision that both know.
package revision

import (
	"errors"

	"masticbank.example/core/record"
)

// MaxWinners is the number of accepted proposals that a state remembers.
const MaxWinners = 16

// Reason tells why a Machine can't vouch for a configuration, or not follow.
type Reason string

// Reasons of Status.
const (
	ReasonNone        Reason = ""
	ReasonReading     Reason = "the configuration stream is being read"
	ReasonEmpty       Reason = "no configuration has been published"
	ReasonNoAnchor    Reason = "the log has forgotten earlier records and holds no usable snapshot; waiting for a peer or a snapshot"
	ReasonUnavailable Reason = "the log is unavailable and no peer has offered a configuration"
	ReasonVersion     Reason = "the log holds a record of a newer version; this program must be upgraded"
	ReasonShortened   Reason = "the log ends before the offset read earlier"
)

// Status tells whether a configuration may be used. Reason may also be set when
// Ready is true; the Machine then can't follow the log at present.
type Status struct {
	Ready  bool
	Reason Reason
}

// Verdict tells the fate of one proposal.
type Verdict struct {
	ID record.ID
	// Accepted tells whether the proposal created Revision.
	Accepted bool
	// Revision is the revision created, or the accepted one at refusal.
	Revision uint64
	// Invalid is set if the content was refused.
	Invalid bool
	// Winner created the revision after the proposal's base; its ID is empty if
	// that is no longer known.
	Winner record.Winner
}

// Machine follows one configuration stream. It is not safe for concurrent use.
// Contents that it returns must not be modified.
type Machine struct {
	validate func(content []byte) error

	state    record.Snapshot
	attached bool
	scan     uint64
	blocked  Reason

	caughtUp  bool
	offered   bool
	away      bool
	started   bool
	shortened bool

	snapshot     uint64
	haveSnapshot bool
}

// New returns a Machine at the genesis of a stream. The verdict of validate must
// depend on the content alone.
func New(validate func(content []byte) error) *Machine {
	return &Machine{validate: validate, attached: true}
}

// State returns the state with the highest offset known.
func (m *Machine) State() record.Snapshot { return m.state }

// NextRead returns the offset to read next.
func (m *Machine) NextRead() uint64 {
	if m.attached {
		return m.state.Next
	}
	return m.scan
}

// CaughtUp tells whether the Machine follows the stream and once reached its
// end. Only then may its state be written as a snapshot.
func (m *Machine) CaughtUp() bool { return m.caughtUp && m.attached }

// SnapshotNext returns the highest Next of the snapshot records read.
func (m *Machine) SnapshotNext() (next uint64, ok bool) { return m.snapshot, m.haveSnapshot }

// Offer takes the state of a peer and tells whether it was news.
func (m *Machine) Offer(s record.Snapshot) bool {
	m.offered = true
	return m.adopt(s)
}

// Unavailable notes that a read failed.
func (m *Machine) Unavailable() { m.away = true }

// adopt replaces the state by one of a higher offset and follows from there.
func (m *Machine) adopt(s record.Snapshot) bool {
	if s.Next <= m.state.Next || s.Revision < m.state.Revision {
		return false
	}
	m.state = s
	m.attached = true
	return true
}

// Status tells whether the configuration may be used.
func (m *Machine) Status() Status {
	if m.state.Revision > 0 && (m.caughtUp || m.offered && m.away) {
		m.started = true
	}
	return Status{Ready: m.started, Reason: m.reason()}
}

func (m *Machine) reason() Reason {
	switch {
	case m.shortened:
		return ReasonShortened
	case m.away:
		return ReasonUnavailable
	case !m.attached:
		return m.blocked
	case !m.caughtUp:
		return ReasonReading
	case m.state.Revision == 0:
		return ReasonEmpty
	default:
		return ReasonNone
	}
}

// Apply takes the result of a read from NextRead and returns the verdicts on the
// proposals in it.
func (m *Machine) Apply(b record.Batch) []Verdict {
	m.away = false
	from := m.NextRead()
	m.shortened = b.Next < from && b.First <= from
	if m.shortened {
		return nil
	}
	if b.First > from {
		m.detach(b.First, ReasonNoAnchor)
	}
	if m.attached {
		return m.follow(b)
	}
	m.search(b)
	return nil
}

func (m *Machine) detach(scan uint64, reason Reason) {
	m.attached = false
	m.scan = scan
	m.blocked = reason
}

func (m *Machine) follow(b record.Batch) []Verdict {
	if len(b.Entries) == 0 {
		m.caughtUp = true
		return nil
	}
	var verdicts []Verdict
	for _, e := range b.Entries {
		if e.Offset < m.state.Next {
			continue
		}
		if e.Offset > m.state.Next {
			m.detach(e.Offset, ReasonNoAnchor)
			return verdicts
		}
		r, err := record.Decode(e.Data)
		if errors.Is(err, record.ErrVersion) {
			m.detach(e.Offset+1, ReasonVersion)
			return verdicts
		}
		m.state.Next = e.Offset + 1
		switch {
		case err != nil:
		case r.Proposal != nil:
			verdicts = append(verdicts, m.judge(r.ID, r.Proposal))
		case r.Snapshot != nil:
			m.noteSnapshot(r.Snapshot)
		}
	}
	return verdicts
}

func (m *Machine) judge(id record.ID, p *record.Proposal) Verdict {
	if p.Base != m.state.Revision {
		return m.refuse(id, p.Base)
	}
	if m.validate(p.Content) != nil {
		return Verdict{ID: id, Revision: m.state.Revision, Invalid: true}
	}
	w := record.Winner{Revision: p.Base + 1, ID: id, Author: p.Author}
	m.state.Revision = w.Revision
	m.state.Content = p.Content
	m.state.Winners = remember(m.state.Winners, w)
	return Verdict{ID: id, Accepted: true, Revision: w.Revision, Winner: w}
}

// refuse handles a proposal on another base. A copy of the winner is told that
// it won.
func (m *Machine) refuse(id record.ID, base uint64) Verdict {
	w, _ := FindWinner(m.state, base)
	if w.ID == id {
		return Verdict{ID: id, Accepted: true, Revision: w.Revision, Winner: w}
	}
	return Verdict{ID: id, Revision: m.state.Revision, Winner: w}
}

// FindWinner returns the proposal that replaced revision base, if s remembers it.
func FindWinner(s record.Snapshot, base uint64) (record.Winner, bool) {
	for _, w := range s.Winners {
		if w.Revision == base+1 {
			return w, true
		}
	}
	return record.Winner{}, false
}

// remember returns a new slice, since states share theirs with readers.
func remember(winners []record.Winner, w record.Winner) []record.Winner {
	kept := winners[max(0, len(winners)-MaxWinners+1):]
	return append(append(make([]record.Winner, 0, MaxWinners), kept...), w)
}

func (m *Machine) noteSnapshot(s *record.Snapshot) {
	m.haveSnapshot = true
	m.snapshot = max(m.snapshot, s.Next)
}

// search looks for a snapshot to start from, by the anchor rule.
func (m *Machine) search(b record.Batch) {
	for _, e := range b.Entries {
		m.scan = e.Offset + 1
		r, err := record.Decode(e.Data)
		if err != nil || r.Snapshot == nil {
			continue
		}
		m.noteSnapshot(r.Snapshot)
		kept := r.Snapshot.Next >= b.First
		if kept && m.adopt(*r.Snapshot) {
			return
		}
	}
}
