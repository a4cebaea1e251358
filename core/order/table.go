package order

import (
	"container/list"
	"errors"
	"time"

	"masticbank.example/core/record"
)

// Table holds the state of all keys that may still be claimed or repeated. It is not safe
// for concurrent use.
type Table struct {
	policy  Policy
	next    uint64
	entries map[record.OrderKey]*entry
	// byAge holds the entries in the order of their last record, oldest first.
	byAge        *list.List
	unavailable  bool
	newerVersion bool
}

type entry struct {
	key     record.OrderKey
	element *list.Element
	readAt  time.Time

	// claim is the record ID of the claim that holds the key, or empty.
	claim       record.ID
	fingerprint string
	expires     time.Time
	outcome     *record.Outcome
	// releasedAt is the offset after the last release.
	releasedAt uint64
}

// NewTable returns an empty Table at the start of the stream.
func NewTable(policy Policy) *Table {
	return &Table{policy: policy, entries: map[record.OrderKey]*entry{}, byAge: list.New()}
}

// Next returns the offset to read next.
func (t *Table) Next() uint64 { return t.next }

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// SetUnavailable records whether the log is unavailable.
func (t *Table) SetUnavailable(unavailable bool) { t.unavailable = unavailable }

// Apply applies the batch that a read from Next returned at now. It returns the keys that
// changed, and whether records were missed after earlier ones had been read, so that the
// Table was reset.
func (t *Table) Apply(now time.Time, b record.Batch) (changed []record.OrderKey, gap bool) {
	t.unavailable = false
	if b.First > t.next {
		gap = t.reset(b.First)
	}
	for _, e := range b.Entries {
		if e.Offset < t.next || t.newerVersion {
			continue
		}
		r, err := record.Decode(e.Data)
		if errors.Is(err, record.ErrVersion) {
			t.newerVersion = true
			continue
		}
		t.next = e.Offset + 1
		if err != nil {
			continue
		}
		if key, ok := t.applyRecord(now, e.Offset, r); ok {
			changed = append(changed, key)
		}
	}
	t.expire(now)
	return changed, gap
}

// reset clears the table and continues at first. It reports whether anything had been read.
func (t *Table) reset(first uint64) bool {
	started := t.next > 0
	t.next = first
	t.entries = map[record.OrderKey]*entry{}
	t.byAge.Init()
	return started
}

func (t *Table) applyRecord(now time.Time, offset uint64, r record.Record) (record.OrderKey, bool) {
	switch {
	case r.Claim != nil:
		t.applyClaim(now, r.ID, r.Claim)
		return r.Claim.Key, true
	case r.Outcome != nil:
		e := t.touch(now, r.Outcome.Key)
		if e.claim == r.Outcome.Claim && e.outcome == nil {
			e.outcome = r.Outcome
		}
		return r.Outcome.Key, true
	case r.Release != nil:
		e := t.touch(now, r.Release.Key)
		e.releasedAt = offset + 1
		if e.claim == r.Release.Claim && e.outcome == nil {
			e.claim = ""
		}
		return r.Release.Key, true
	default:
		return record.OrderKey{}, false
	}
}

func (t *Table) applyClaim(now time.Time, id record.ID, c *record.Claim) {
	e := t.touch(now, c.Key)
	if e.claim != "" || c.ReadOffset < e.releasedAt {
		return
	}
	e.claim = id
	e.fingerprint = c.Fingerprint
	e.expires = now.Add(c.Expiry)
}

func (t *Table) touch(now time.Time, key record.OrderKey) *entry {
	e, ok := t.entries[key]
	if !ok {
		e = &entry{key: key}
		e.element = t.byAge.PushBack(e)
		t.entries[key] = e
	}
	e.readAt = now
	t.byAge.MoveToBack(e.element)
	return e
}

// expire deletes keys that are too old to be claimed.
func (t *Table) expire(now time.Time) {
	for front := t.byAge.Front(); front != nil; front = t.byAge.Front() {
		e, ok := front.Value.(*entry)
		if !ok || now.Sub(e.readAt) <= t.policy.horizon() {
			return
		}
		t.byAge.Remove(front)
		delete(t.entries, e.key)
	}
}

func (t *Table) lookup(key record.OrderKey) entry {
	if e, ok := t.entries[key]; ok {
		return *e
	}
	return entry{key: key}
}
