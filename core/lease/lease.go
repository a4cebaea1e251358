// Package lease decides who holds a duty, from the lease records of one log
// stream. It performs no I/O.
//
// Invariants:
//
//  1. An acquire record is accepted iff no other lease record of its duty lies
//     between the offset that its writer had read and its own. Whoever has read
//     these records knows the verdict; nobody needs the history before them.
//  2. The epoch of a duty is the offset after the accepted acquire record, so it
//     is positive and grows for good, even if the log has forgotten all earlier
//     ones. It is the fencing number on every order.
//  3. A holder is valid from a moment before it appended its last accepted record
//     until TTL minus Margin later, on its own monotonic clock.
//  4. Others acquire only when they have read no record of the duty for TTL on
//     their own clock, counted from reading the last one or from the start of
//     their view. Every record that keeps a holder valid was appended before that
//     reading, so its validity has ended; Margin covers clocks of unequal rate.
//     A duty without a record in a stream read from its start is free at once.
//  5. A reader that missed records, or read one of a newer version, holds nothing
//     and starts its view again.
package lease

import (
	"errors"
	"strconv"
	"time"

	"masticbank.example/core/record"
)

// maxPending bounds the own records of a duty whose fate is not known.
const maxPending = 4

// Terms are the times of all duties of one stream.
type Terms struct {
	// TTL is how long others wait after a record before they take over.
	TTL time.Duration
	// Margin is how much earlier the holder stops.
	Margin time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
}

// Machine follows one lease stream for one instance. It is not safe for
// concurrent use.
type Machine struct {
	terms  Terms
	self   string
	prefix string
	serial uint64

	started bool
	next    uint64
	// start and since are the first offset of the view and when it was read.
	start  uint64
	since  time.Time
	duties map[string]*duty
}

type duty struct {
	name   string
	wanted bool
	// last is the offset after the duty's last record, and seen when it was read.
	last uint64
	seen time.Time
	// epoch and holder are of the last accepted acquire record in the view.
	epoch    uint64
	holder   string
	known    bool
	released bool

	// held is set while this instance holds epoch.
	held  bool
	until time.Time
	// pending are the own records not yet read back, oldest first.
	pending []pending
}

type pending struct {
	id      record.ID
	started time.Time
}

// New returns a Machine for the instance self. prefix must be unique to this run
// of the instance; record IDs start with it.
func New(terms Terms, self, prefix string) *Machine {
	return &Machine{terms: terms, self: self, prefix: prefix, duties: map[string]*duty{}}
}

// Want sets whether the instance is to acquire and renew the duty.
func (m *Machine) Want(name string, wanted bool) { m.duty(name).wanted = wanted }

// Next returns the offset to read next.
func (m *Machine) Next() uint64 { return m.next }

// Valid tells whether the instance may act for the duty at now, and with which
// epoch. Ask again after every wait and immediately before each order.
func (m *Machine) Valid(now time.Time, name string) (epoch uint64, ok bool) {
	d, known := m.duties[name]
	if !known || !d.held || !now.Before(d.until) {
		return 0, false
	}
	return d.epoch, true
}

// Holder returns the last known holder of the duty.
func (m *Machine) Holder(name string) (holder string, epoch uint64, ok bool) {
	d, known := m.duties[name]
	if !known || !d.known || d.released {
		return "", 0, false
	}
	return d.holder, d.epoch, true
}

// Apply takes the batch that a read from Next returned at now.
func (m *Machine) Apply(now time.Time, b record.Batch) {
	missed := b.First > m.next
	if !m.started || missed {
		m.restart(now, max(b.First, m.next))
	}
	for _, e := range b.Entries {
		if e.Offset < m.next {
			continue
		}
		m.next = e.Offset + 1
		r, err := record.Decode(e.Data)
		if errors.Is(err, record.ErrVersion) {
			m.restart(now, m.next)
		}
		if err != nil || r.Lease == nil {
			continue
		}
		m.applyLease(now, e.Offset, r.ID, r.Lease)
	}
}

func (m *Machine) restart(now time.Time, first uint64) {
	m.started = true
	m.next = first
	m.start = first
	m.since = now
	for name, d := range m.duties {
		m.duties[name] = &duty{name: name, wanted: d.wanted}
	}
}

func (m *Machine) applyLease(now time.Time, offset uint64, id record.ID, l *record.Lease) {
	d := m.duty(l.Duty)
	switch l.Op {
	case record.LeaseAcquire:
		judged := l.Read >= m.start
		if judged && d.last <= l.Read {
			d.accept(offset+1, l.Holder)
			d.confirm(id, m.terms)
		}
	case record.LeaseRenew:
		if d.known && l.Epoch == d.epoch {
			d.confirm(id, m.terms)
		}
	case record.LeaseRelease:
		if d.known && l.Epoch == d.epoch {
			d.released = true
			d.held = false
		}
	}
	d.last = offset + 1
	d.seen = now
}

func (d *duty) accept(epoch uint64, holder string) {
	d.epoch = epoch
	d.holder = holder
	d.known = true
	d.released = false
	d.held = false
}

// confirm notes that an own record was accepted. Older ones can't extend it.
func (d *duty) confirm(id record.ID, terms Terms) {
	for i, p := range d.pending {
		if p.id == id {
			d.held = !d.released
			d.until = p.started.Add(terms.TTL - terms.Margin)
			d.pending = d.pending[i+1:]
			return
		}
	}
}

// Step returns the records to append in one unit at now: renewals of all duties
// held as soon as one is due, and acquire records for wanted duties that are free.
func (m *Machine) Step(now time.Time) []record.Record {
	if !m.started {
		return nil
	}
	var records []record.Record
	renew := m.renewalDue(now)
	for _, d := range m.duties {
		switch {
		case !d.wanted:
		case d.held && renew:
			records = append(records, m.write(now, d, record.Lease{Op: record.LeaseRenew, Epoch: d.epoch}))
		case !d.held && m.free(now, d) && d.mayRepeat(now, m.terms.TTL):
			records = append(records, m.write(now, d, record.Lease{Op: record.LeaseAcquire, Read: m.next}))
		}
	}
	return records
}

func (m *Machine) renewalDue(now time.Time) bool {
	for _, d := range m.duties {
		renewAt := d.until.Add(m.terms.Margin - m.terms.TTL + m.terms.Renew)
		if d.wanted && d.held && !now.Before(renewAt) && d.mayRepeat(now, m.terms.Renew) {
			return true
		}
	}
	return false
}

func (m *Machine) free(now time.Time, d *duty) bool {
	neverHeld := m.start == 0 && d.last == 0
	if d.released || neverHeld {
		return true
	}
	last := m.since
	if d.seen.After(last) {
		last = d.seen
	}
	return now.Sub(last) >= m.terms.TTL
}

// mayRepeat tells whether the last own record has been on its way for long.
func (d *duty) mayRepeat(now time.Time, after time.Duration) bool {
	n := len(d.pending)
	return n == 0 || now.Sub(d.pending[n-1].started) >= after
}

// Release gives all duties back and returns the records to append. The instance
// wants none of them any more.
func (m *Machine) Release(now time.Time) []record.Record {
	var records []record.Record
	for _, d := range m.duties {
		d.wanted = false
		if d.held {
			records = append(records, m.write(now, d, record.Lease{Op: record.LeaseRelease, Epoch: d.epoch}))
			d.held = false
		}
		d.pending = nil
	}
	return records
}

func (m *Machine) write(now time.Time, d *duty, l record.Lease) record.Record {
	m.serial++
	id := record.ID(m.prefix + "/" + strconv.FormatUint(m.serial, 10))
	l.Duty = d.name
	l.Holder = m.self
	d.pending = append(d.pending, pending{id: id, started: now})
	d.pending = d.pending[max(0, len(d.pending)-maxPending):]
	return record.Record{ID: id, Lease: &l}
}

func (m *Machine) duty(name string) *duty {
	d, ok := m.duties[name]
	if !ok {
		d = &duty{name: name}
		m.duties[name] = d
	}
	return d
}
