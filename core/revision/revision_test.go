package revision_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/record"
	"masticbank.example/core/revision"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const (
	maxReaders = 4
	maxBatch   = 3
)

func validate(content []byte) error {
	if len(content) == 0 || content[0] == '!' {
		return errors.New("invalid")
	}
	return nil
}

// model simulates a log with retention, its readers, and records and states in transit.
type model struct {
	records [][]byte
	first   uint64
	readers []*revision.Machine
	highest []uint64
	delayed [][]byte
	states  []record.Snapshot
	known   map[uint64]string
	results map[record.ID]bool
	ids     int
}

func (m *model) read(from uint64, limit int) record.Batch {
	end := uint64(len(m.records))
	from = max(from, m.first)
	b := record.Batch{First: m.first, Next: from}
	for b.Next < end && len(b.Entries) < limit {
		b.Entries = append(b.Entries, record.Entry{Offset: b.Next, Data: m.records[b.Next]})
		b.Next++
	}
	return b
}

func (m *model) encode(t *rapid.T, r record.Record) []byte {
	m.ids++
	r.ID = record.ID(fmt.Sprint(m.ids))
	data, err := record.Encode(r)
	require.NoError(t, err)
	return data
}

// check compares the revision that reader i claims to know with those of all other readers.
func (m *model) check(t *rapid.T, i int) {
	s := m.readers[i].State()
	require.GreaterOrEqual(t, s.Revision, m.highest[i], "revision decreased")
	m.highest[i] = s.Revision
	if s.Revision == 0 {
		return
	}
	if known, ok := m.known[s.Revision]; ok {
		require.Equal(t, known, string(s.Content), "revision %d", s.Revision)
	}
	m.known[s.Revision] = string(s.Content)
}

func (m *model) apply(t *rapid.T, i int) {
	r := m.readers[i]
	for _, result := range r.Apply(m.read(r.NextRead(), maxBatch)) {
		undecided := !result.Accepted && !result.Invalid && result.Winner.ID == ""
		if undecided {
			continue
		}
		if won, ok := m.results[result.ID]; ok {
			require.Equal(t, won, result.Accepted, "different results of proposal %s", result.ID)
		}
		m.results[result.ID] = result.Accepted
	}
	m.check(t, i)
}

func (m *model) pick(t *rapid.T) int { return rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader") }

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"join": func(t *rapid.T) {
			if len(m.readers) == maxReaders {
				t.Skip()
			}
			m.readers = append(m.readers, revision.New(validate))
			m.highest = append(m.highest, 0)
		},
		"read":       func(t *rapid.T) { m.apply(t, m.pick(t)) },
		"read again": func(t *rapid.T) { m.apply(t, m.pick(t)) },
		"propose": func(t *rapid.T) {
			base := m.readers[m.pick(t)].State().Revision
			mark := rapid.SampledFrom([]string{"", "", "!"}).Draw(t, "mark")
			data := m.encode(t, record.Record{Proposal: &record.Proposal{
				Base: base, Content: fmt.Appendf(nil, "%sc%d", mark, m.ids),
			}})
			m.delayed = append(m.delayed, data)
		},
		"snapshot": func(t *rapid.T) {
			r := m.readers[m.pick(t)]
			if !r.CaughtUp() {
				t.Skip()
			}
			s := r.State()
			m.delayed = append(m.delayed, m.encode(t, record.Record{Snapshot: &s}))
		},
		"append": func(t *rapid.T) {
			if len(m.delayed) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "record")
			m.records = append(m.records, m.delayed[i])
			lost := rapid.Bool().Draw(t, "response lost")
			if !lost {
				m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
			}
		},
		"garbage": func(*rapid.T) { m.records = append(m.records, []byte("{")) },
		"truncate": func(t *rapid.T) {
			m.first = rapid.Uint64Range(m.first, uint64(len(m.records))).Draw(t, "first")
		},
		"hand out": func(t *rapid.T) { m.states = append(m.states, m.readers[m.pick(t)].State()) },
		"offer": func(t *rapid.T) {
			if len(m.states) == 0 {
				t.Skip()
			}
			i := m.pick(t)
			m.readers[i].Offer(rapid.SampledFrom(m.states).Draw(t, "state"))
			m.check(t, i)
		},
	}
}

// Readers that start at any offset agree on every revision, and no reader's revision
// decreases.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			readers: []*revision.Machine{revision.New(validate)},
			highest: []uint64{0},
			known:   map[uint64]string{},
			results: map[record.ID]bool{},
		}
		t.Repeat(m.actions())
		m.settle(t)
	})
}

// settle appends a snapshot from a reader that has caught up, if any, and lets every reader
// catch up: all must reach the same revision.
func (m *model) settle(t *rapid.T) {
	writer := -1
	for i := range m.readers {
		m.drain(t, i)
		if m.readers[i].CaughtUp() {
			writer = i
		}
	}
	if writer < 0 {
		return
	}
	s := m.readers[writer].State()
	m.records = append(m.records, m.encode(t, record.Record{Snapshot: &s}))
	for i := range m.readers {
		m.drain(t, i)
		require.Equal(t, s.Revision, m.readers[i].State().Revision)
	}
}

func (m *model) drain(t *rapid.T, i int) {
	for range 2*len(m.records) + 2 {
		m.apply(t, i)
	}
}

func batch(t *testing.T, first, from uint64, records ...record.Record) record.Batch {
	b := record.Batch{First: first, Next: from}
	for i, r := range records {
		r.ID = record.ID(fmt.Sprint("r", from+uint64(i)))
		data, err := record.Encode(r)
		require.NoError(t, err)
		b.Entries = append(b.Entries, record.Entry{Offset: b.Next, Data: data})
		b.Next++
	}
	return b
}

func TestStatusReportsReason(t *testing.T) {
	m := revision.New(validate)
	require.Equal(t, revision.Status{Reason: revision.ReasonReading}, m.Status())
	m.SetUnavailable()
	require.Equal(t, revision.Status{Reason: revision.ReasonUnavailable}, m.Status())
	m.Apply(batch(t, 0, 0))
	require.Equal(t, revision.Status{Reason: revision.ReasonEmpty}, m.Status())

	stale := record.Record{Snapshot: &record.Snapshot{Revision: 2, Next: 4, Content: []byte("c")}}
	m.Apply(batch(t, 5, 5, stale))
	m.Apply(batch(t, 5, 6))
	require.Equal(t, revision.Status{Reason: revision.ReasonNoAnchor}, m.Status())
	m.SetUnavailable()
	m.Offer(record.Snapshot{Revision: 3, Next: 6, Content: []byte("d")})
	require.True(t, m.Status().Ready)
	m.Apply(batch(t, 5, 6))
	require.Equal(t, revision.Status{Ready: true}, m.Status())

	b := batch(t, 5, 6)
	b.Entries = []record.Entry{{Offset: 6, Data: []byte(`{"v":2,"id":"x"}`)}}
	b.Next = 7
	m.Apply(b)
	require.Equal(t, revision.Status{Ready: true, Reason: revision.ReasonVersion}, m.Status())
}
