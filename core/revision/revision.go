// Package revision decides which configuration proposals of a log stream are accepted. It
// performs no I/O; its user reads the stream and passes the batches to a Machine.
//
// Invariants:
//
//  1. The accepted revision after the records below offset n depends only on these records. A
//     proposal is accepted iff its base is the accepted revision at its own offset and its
//     content is valid; it then creates revision base+1. The log's order alone determines which
//     of several concurrent proposals wins.
//  2. A Machine's state always corresponds to its offset Next. It starts from the beginning of
//     the stream (if offset 0 is retained), from a peer's state, or from a snapshot record, and
//     continues record by record without a gap.
//  3. Anchor rule: after a gap no proposal is evaluated until a state is found whose Next is
//     still retained. Readers that evaluated proposals from any other offset would disagree,
//     because they do not know which revision a base must name.
//  4. A Machine's Next and revision never decrease. States with a lower Next are ignored,
//     whatever their source.
//  5. A duplicate of a record has no effect: the base of an accepted proposal is below the
//     accepted revision from then on, and so is that of a rejected one, because authors propose
//     only on revisions that they have seen accepted.
//
// Invariants 1 to 3 imply that any two readers agree on the content of every revision that
// both know.
package revision

import (
	"errors"

	"masticbank.example/core/record"
)

// MaxWinners is the number of accepted proposals that a state retains.
const MaxWinners = 16

// Reason is why a Machine can't confirm a configuration or can't follow the log.
type Reason string

// Reasons of Status.
const (
	ReasonNone        Reason = ""
	ReasonReading     Reason = "the configuration stream is being read"
	ReasonEmpty       Reason = "no configuration has been published"
	ReasonNoAnchor    Reason = "the log has forgotten earlier records and holds no usable snapshot; waiting for a peer or a snapshot"
	ReasonUnavailable Reason = "the log is unavailable and no peer has offered a configuration"
	ReasonVersion     Reason = "the log holds a record of a newer version; this program must be upgraded"
	ReasonTruncated   Reason = "the log ends before the offset read earlier"
)

// Status reports whether a configuration may be used. Reason may be set even if Ready is
// true; the Machine then can't follow the log at present.
type Status struct {
	Ready  bool
	Reason Reason
}

// ProposalResult is the result of one proposal.
type ProposalResult struct {
	ID record.ID
	// Accepted is true if the proposal created Revision.
	Accepted bool
	// Revision is the created revision, or the accepted one at the time of the rejection.
	Revision uint64
	// Invalid is set if the content was rejected by validation.
	Invalid bool
	// Winner is the proposal that created the revision after this proposal's base. Its ID
	// is empty if it is no longer retained.
	Winner record.Winner
}

// Machine is the state machine that follows one configuration stream. It is not safe for
// concurrent use. Contents that it returns must not be modified.
type Machine struct {
	validate func(content []byte) error

	state record.Snapshot
	// attached is true while state follows the log record by record. Otherwise searchNext is
	// the offset from which to search for a snapshot, and detachReason why it stopped.
	attached     bool
	searchNext   uint64
	detachReason Reason

	caughtUp    bool
	offered     bool
	unavailable bool
	// ready is set once the configuration may be used, and stays set.
	ready     bool
	truncated bool

	snapshotNext uint64
	haveSnapshot bool
}

// New returns a Machine at the beginning of a stream. The result of validate must depend on
// the content alone.
func New(validate func(content []byte) error) *Machine {
	return &Machine{validate: validate, attached: true}
}

// State returns the state with the highest known offset.
func (m *Machine) State() record.Snapshot { return m.state }

// NextRead returns the offset to read next.
func (m *Machine) NextRead() uint64 {
	if m.attached {
		return m.state.Next
	}
	return m.searchNext
}

// CaughtUp reports whether the Machine follows the stream and has reached its end at least
// once. Only then may its state be written as a snapshot.
func (m *Machine) CaughtUp() bool { return m.caughtUp && m.attached }

// SnapshotNext returns the highest Next among the snapshot records read.
func (m *Machine) SnapshotNext() (next uint64, ok bool) { return m.snapshotNext, m.haveSnapshot }

// Offer passes the state of a peer to the Machine and reports whether it was newer.
func (m *Machine) Offer(s record.Snapshot) bool {
	m.offered = true
	return m.adopt(s)
}

// SetUnavailable records that a read failed.
func (m *Machine) SetUnavailable() { m.unavailable = true }

// adopt replaces the state by one with a higher offset and continues from there.
func (m *Machine) adopt(s record.Snapshot) bool {
	if s.Next <= m.state.Next || s.Revision < m.state.Revision {
		return false
	}
	m.state = s
	m.attached = true
	return true
}

// Status reports whether the configuration may be used.
func (m *Machine) Status() Status {
	if m.state.Revision > 0 && (m.caughtUp || m.offered && m.unavailable) {
		m.ready = true
	}
	return Status{Ready: m.ready, Reason: m.reason()}
}

func (m *Machine) reason() Reason {
	switch {
	case m.truncated:
		return ReasonTruncated
	case m.unavailable:
		return ReasonUnavailable
	case !m.attached:
		return m.detachReason
	case !m.caughtUp:
		return ReasonReading
	case m.state.Revision == 0:
		return ReasonEmpty
	default:
		return ReasonNone
	}
}

// Apply applies the result of a read from NextRead and returns the results of the proposals
// in it.
func (m *Machine) Apply(b record.Batch) []ProposalResult {
	m.unavailable = false
	from := m.NextRead()
	m.truncated = b.Next < from && b.First <= from
	if m.truncated {
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

func (m *Machine) detach(from uint64, reason Reason) {
	m.attached = false
	m.searchNext = from
	m.detachReason = reason
}

func (m *Machine) follow(b record.Batch) []ProposalResult {
	if len(b.Entries) == 0 {
		m.caughtUp = true
		return nil
	}
	var results []ProposalResult
	for _, e := range b.Entries {
		if e.Offset < m.state.Next {
			continue
		}
		if e.Offset > m.state.Next {
			m.detach(e.Offset, ReasonNoAnchor)
			return results
		}
		r, err := record.Decode(e.Data)
		if errors.Is(err, record.ErrVersion) {
			m.detach(e.Offset+1, ReasonVersion)
			return results
		}
		m.state.Next = e.Offset + 1
		switch {
		case err != nil:
		case r.Proposal != nil:
			results = append(results, m.evaluate(r.ID, r.Proposal))
		case r.Snapshot != nil:
			m.recordSnapshot(r.Snapshot)
		}
	}
	return results
}

func (m *Machine) evaluate(id record.ID, p *record.Proposal) ProposalResult {
	if p.Base != m.state.Revision {
		return m.reject(id, p.Base)
	}
	if m.validate(p.Content) != nil {
		return ProposalResult{ID: id, Revision: m.state.Revision, Invalid: true}
	}
	w := record.Winner{Revision: p.Base + 1, ID: id, Author: p.Author}
	m.state.Revision = w.Revision
	m.state.Content = p.Content
	m.state.Winners = appendWinner(m.state.Winners, w)
	return ProposalResult{ID: id, Accepted: true, Revision: w.Revision, Winner: w}
}

// reject handles a proposal on another base. A duplicate of the accepted proposal gets the
// result that it was accepted.
func (m *Machine) reject(id record.ID, base uint64) ProposalResult {
	w, _ := FindWinner(m.state, base)
	if w.ID == id {
		return ProposalResult{ID: id, Accepted: true, Revision: w.Revision, Winner: w}
	}
	return ProposalResult{ID: id, Revision: m.state.Revision, Winner: w}
}

// FindWinner returns the proposal that replaced revision base, if s retains it.
func FindWinner(s record.Snapshot, base uint64) (record.Winner, bool) {
	for _, w := range s.Winners {
		if w.Revision == base+1 {
			return w, true
		}
	}
	return record.Winner{}, false
}

// appendWinner returns a new slice, because states share theirs with readers.
func appendWinner(winners []record.Winner, w record.Winner) []record.Winner {
	kept := winners[max(0, len(winners)-MaxWinners+1):]
	return append(append(make([]record.Winner, 0, MaxWinners), kept...), w)
}

func (m *Machine) recordSnapshot(s *record.Snapshot) {
	m.haveSnapshot = true
	m.snapshotNext = max(m.snapshotNext, s.Next)
}

// search looks for a snapshot to start from according to the anchor rule.
func (m *Machine) search(b record.Batch) {
	for _, e := range b.Entries {
		m.searchNext = e.Offset + 1
		r, err := record.Decode(e.Data)
		if err != nil || r.Snapshot == nil {
			continue
		}
		m.recordSnapshot(r.Snapshot)
		retained := r.Snapshot.Next >= b.First
		if retained && m.adopt(*r.Snapshot) {
			return
		}
	}
}
