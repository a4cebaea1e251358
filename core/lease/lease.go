// Package lease elects the leader of each task from the lease records of one log stream. It
// performs no I/O.
//
// Invariants:
//
//  1. An acquire record is accepted iff no other lease record of its task lies between the
//     offset up to which its writer had read and its own offset. These records alone determine
//     the result; a reader does not need earlier history.
//  2. The epoch of a task is the offset after the accepted acquire record. It is positive and
//     increases even if the log has discarded all earlier records. Every order carries it as the
//     fencing token.
//  3. A lease is valid, on its holder's own monotonic clock, from just before the holder
//     appended its last accepted record until TTL minus Margin later.
//  4. Other instances acquire only when they have read no record of the task for TTL on their
//     own clock, counted from reading the last one or from the start of their view. Every record
//     that extends the holder's lease was appended before it was read, so the lease has expired
//     by then; Margin covers clocks that run at different rates. A task without any record in a
//     stream that was read from its start is free immediately.
//  5. A reader that missed records, or read one of a newer version, holds no lease and starts
//     its view again.
package lease

import (
	"errors"
	"strconv"
	"time"

	"masticbank.example/core/record"
)

// maxPending bounds the records of a task that this instance wrote and has not read back.
const maxPending = 4

// Timing holds the durations that apply to all tasks of one stream.
type Timing struct {
	// TTL is how long other instances wait after a record before they acquire the task.
	TTL time.Duration
	// Margin is how much earlier than TTL the holder stops acting.
	Margin time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
}

// Machine is the state machine of one instance for one lease stream. It is not safe for
// concurrent use.
type Machine struct {
	timing Timing
	self   string
	prefix string
	lastID uint64

	started bool
	next    uint64
	// viewStart is the first offset of the view, viewStartedAt the time at which it was read.
	viewStart     uint64
	viewStartedAt time.Time
	tasks         map[string]*task
}

type task struct {
	name   string
	wanted bool
	// last is the offset after the task's last record, lastReadAt the time at which it was
	// read.
	last       uint64
	lastReadAt time.Time
	// epoch and holder are those of the last accepted acquire record in the view.
	epoch    uint64
	holder   string
	known    bool
	released bool

	// held is set while this instance holds the lease of epoch.
	held       bool
	validUntil time.Time
	// pending holds the records of this instance that were not read back yet, oldest first.
	pending []pending
}

type pending struct {
	id        record.ID
	writtenAt time.Time
}

// New returns a Machine for the instance self. prefix must be unique to this process of the
// instance; record IDs start with it.
func New(timing Timing, self, prefix string) *Machine {
	return &Machine{timing: timing, self: self, prefix: prefix, tasks: map[string]*task{}}
}

// SetWanted sets whether the instance should acquire and renew the lease of a task.
func (m *Machine) SetWanted(name string, wanted bool) { m.task(name).wanted = wanted }

// Next returns the offset to read next.
func (m *Machine) Next() uint64 { return m.next }

// Valid reports whether the instance may act as leader of the task at now, and with which
// epoch. Callers must check again after every wait and immediately before each order.
func (m *Machine) Valid(now time.Time, name string) (epoch uint64, ok bool) {
	t, known := m.tasks[name]
	if !known || !t.held || !now.Before(t.validUntil) {
		return 0, false
	}
	return t.epoch, true
}

// Holder returns the last known leader of the task.
func (m *Machine) Holder(name string) (holder string, epoch uint64, ok bool) {
	t, known := m.tasks[name]
	if !known || !t.known || t.released {
		return "", 0, false
	}
	return t.holder, t.epoch, true
}

// Apply applies the batch that a read from Next returned at now.
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
	m.viewStart = first
	m.viewStartedAt = now
	for name, t := range m.tasks {
		m.tasks[name] = &task{name: name, wanted: t.wanted}
	}
}

func (m *Machine) applyLease(now time.Time, offset uint64, id record.ID, l *record.Lease) {
	t := m.task(l.Task)
	switch l.Op {
	case record.LeaseAcquire:
		inView := l.ReadOffset >= m.viewStart
		if inView && t.last <= l.ReadOffset {
			t.accept(offset+1, l.Holder)
			t.confirm(id, m.timing)
		}
	case record.LeaseRenew:
		if t.known && l.Epoch == t.epoch {
			t.confirm(id, m.timing)
		}
	case record.LeaseRelease:
		if t.known && l.Epoch == t.epoch {
			t.released = true
			t.held = false
		}
	}
	t.last = offset + 1
	t.lastReadAt = now
}

func (t *task) accept(epoch uint64, holder string) {
	t.epoch = epoch
	t.holder = holder
	t.known = true
	t.released = false
	t.held = false
}

// confirm extends the lease after a record of this instance was accepted. Records written
// before it can no longer extend the lease.
func (t *task) confirm(id record.ID, timing Timing) {
	for i, p := range t.pending {
		if p.id == id {
			t.held = !t.released
			t.validUntil = p.writtenAt.Add(timing.TTL - timing.Margin)
			t.pending = t.pending[i+1:]
			return
		}
	}
}

// Step returns the records to append together at now: renewals of all held tasks as soon as
// one is due, and acquire records for wanted tasks that are free.
func (m *Machine) Step(now time.Time) []record.Record {
	if !m.started {
		return nil
	}
	var records []record.Record
	renew := m.renewalDue(now)
	for _, t := range m.tasks {
		switch {
		case !t.wanted:
		case t.held && renew:
			records = append(records, m.newRecord(now, t, record.Lease{Op: record.LeaseRenew, Epoch: t.epoch}))
		case !t.held && m.free(now, t) && t.mayWrite(now, m.timing.TTL):
			records = append(records, m.newRecord(now, t, record.Lease{Op: record.LeaseAcquire, ReadOffset: m.next}))
		}
	}
	return records
}

func (m *Machine) renewalDue(now time.Time) bool {
	for _, t := range m.tasks {
		renewAt := t.validUntil.Add(m.timing.Margin - m.timing.TTL + m.timing.Renew)
		if t.wanted && t.held && !now.Before(renewAt) && t.mayWrite(now, m.timing.Renew) {
			return true
		}
	}
	return false
}

func (m *Machine) free(now time.Time, t *task) bool {
	neverHeld := m.viewStart == 0 && t.last == 0
	if t.released || neverHeld {
		return true
	}
	last := m.viewStartedAt
	if t.lastReadAt.After(last) {
		last = t.lastReadAt
	}
	return now.Sub(last) >= m.timing.TTL
}

// mayWrite reports whether no record is pending or the last one was written at least the
// given time ago.
func (t *task) mayWrite(now time.Time, after time.Duration) bool {
	n := len(t.pending)
	return n == 0 || now.Sub(t.pending[n-1].writtenAt) >= after
}

// Release ends all leases and returns the records to append. The instance wants no task
// afterwards.
func (m *Machine) Release(now time.Time) []record.Record {
	var records []record.Record
	for _, t := range m.tasks {
		t.wanted = false
		if t.held {
			records = append(records, m.newRecord(now, t, record.Lease{Op: record.LeaseRelease, Epoch: t.epoch}))
			t.held = false
		}
		t.pending = nil
	}
	return records
}

func (m *Machine) newRecord(now time.Time, t *task, l record.Lease) record.Record {
	m.lastID++
	id := record.ID(m.prefix + "/" + strconv.FormatUint(m.lastID, 10))
	l.Task = t.name
	l.Holder = m.self
	t.pending = append(t.pending, pending{id: id, writtenAt: now})
	t.pending = t.pending[max(0, len(t.pending)-maxPending):]
	return record.Record{ID: id, Lease: &l}
}

func (m *Machine) task(name string) *task {
	t, ok := m.tasks[name]
	if !ok {
		t = &task{name: name}
		m.tasks[name] = t
	}
	return t
}
