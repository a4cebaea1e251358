// Package logtest provides an in-memory logstream.Log with fault injection for tests.
package logtest

import (
	"context"
	"sync"
	"time"

	"masticbank.example/core/record"
	"masticbank.example/node/logstream"
)

// Log is an in-memory log. The zero value is an empty log. It is safe for concurrent
// use.
type Log struct {
	// Delay is the duration of each append. It must be set before the first use.
	Delay time.Duration

	mu              sync.Mutex
	streams         map[string]*stream
	down            bool
	responsesToLose int
	appends         int
	records         int
}

type stream struct {
	first   uint64
	data    [][]byte
	changed chan struct{}
}

var _ logstream.Log = (*Log)(nil)

// SetDown makes all calls fail with ErrUnavailable while down is true.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for _, s := range l.streams {
		s.wake()
	}
}

// LoseResponses makes the next n appends take effect but return ErrUnavailable, as if
// the response was lost.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = n
}

// Truncate removes the records of the stream before offset first.
func (l *Log) Truncate(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first > s.first {
		s.data = s.data[first-s.first:]
		s.first = first
	}
}

// Next returns the offset of the next record of the stream.
func (l *Log) Next(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.first + uint64(len(s.data))
}

// Counts returns the numbers of appends and of records appended.
func (l *Log) Counts() (appends, records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.records
}

// Append implements logstream.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (uint64, error) {
	if l.Delay > 0 {
		select {
		case <-time.After(l.Delay):
		case <-ctx.Done():
			return 0, logstream.ErrUnavailable
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.Err() != nil {
		return 0, logstream.ErrUnavailable
	}
	s := l.stream(name)
	offset := s.first + uint64(len(s.data))
	s.data = append(s.data, records...)
	l.appends++
	l.records += len(records)
	s.wake()
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, logstream.ErrUnavailable
	}
	return offset, nil
}

// Read implements logstream.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (record.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		batch, changed, err := l.read(name, from, limit)
		if err != nil || len(batch.Entries) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-ctx.Done():
			return record.Batch{}, logstream.ErrUnavailable
		}
	}
}

func (l *Log) read(name string, from uint64, limit int) (record.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return record.Batch{}, nil, logstream.ErrUnavailable
	}
	s := l.stream(name)
	end := s.first + uint64(len(s.data))
	b := record.Batch{First: s.first, Next: min(max(from, s.first), end)}
	for b.Next < end && len(b.Entries) < limit {
		b.Entries = append(b.Entries, record.Entry{Offset: b.Next, Data: s.data[b.Next-s.first]})
		b.Next++
	}
	return b, s.changed, nil
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// wake ends the waits of readers.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
