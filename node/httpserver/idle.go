package httpserver

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// connState is what the server knows of an open connection.
type connState struct {
	// requests is the number of requests whose handler has been called.
	requests int
	// receiving is true after data has arrived that belongs to no handled request yet.
	receiving bool
	// reading is true while the poller reads from the connection and parses what it has read.
	reading bool
	// hasRead is true once that read has returned bytes.
	hasRead bool
	// readAt is when data was last read.
	readAt time.Time
	// buffered is the memory of the request that is being read, waiting that of each one that was
	// read and waits for its handler, and ahead the sum of these.
	buffered, ahead int
	waiting         []int
	// headSince is when the head that is being read began; zero if none is.
	headSince time.Time
	// idleSince is when the connection was opened or its last request was handled.
	idleSince time.Time
	openedAt  time.Time
	// unsent is the number of bytes of responses that nbio kept at the last look after a handler had
	// returned, unsentSince when it changed.
	unsent      int64
	unsentSince time.Time
	// endedAt is when the connection was found closed while a request was handled, in which case
	// endedInRequest is true.
	endedAt        time.Time
	endedInRequest bool
	// clientEnded is true once the client is seen to have closed the connection.
	clientEnded atomic.Bool
}

// opened records a new connection.
func (s *Server) opened(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.connections[c] = &connState{idleSince: now, openedAt: now}
}

// received records that n bytes have arrived on a connection. It returns false if they must not be
// kept, because the requests that are received and handled use all memory for them.
func (s *Server) received(c *nbio.Conn, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.connections[c]
	if st == nil {
		return true
	}
	st.receiving, st.hasRead, st.readAt = true, true, time.Now()
	limit := s.opts.MaxBufferedBytes
	share := max(minConnectionShare, limit/max(1, s.opts.MaxConnections))
	if s.buffered+n > limit && st.buffered+st.ahead+n > share {
		return false
	}
	st.buffered += n
	s.buffered += n
	return true
}

// beginRead records that the poller is about to read from a connection, endRead that what it has read
// is parsed, so that a whole request is in the connection's job queue.
func (s *Server) beginRead(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.connections[c]; st != nil {
		st.reading, st.hasRead = true, false
	}
}

func (s *Server) endRead(c *nbio.Conn) {
	s.mu.Lock()
	st := s.connections[c]
	if st == nil {
		s.mu.Unlock()
		return
	}
	st.reading = false
	hasRead := st.hasRead
	s.mu.Unlock()
	if !hasRead && peek(c) == peerEnded {
		st.clientEnded.Store(true) // the poller closes the connection now
	}
}

// closeIdleConnections closes the connections that have served requests and on which none is in
// progress, being received or answered. Clients notice that before they use the connection again. A
// request that arrives at the same time is not read, so its client may send it again.
func (s *Server) closeIdleConnections() {
	s.closeUnused(errDrained, func(st *connState) bool { return st.requests > 0 && !st.receiving })
}

// closeExpiredConnections closes the connections that have been idle for the idle timeout, or have
// not received a whole request in that time.
func (s *Server) closeExpiredConnections(now time.Time) {
	s.closeUnused(errIdle, func(st *connState) bool { return now.Sub(st.idleSince) >= s.opts.IdleTimeout })
}

// closeUnused closes the connections selected by f on which no request is being read, handled or
// answered.
func (s *Server) closeUnused(cause error, f func(*connState) bool) {
	s.mu.Lock()
	var unused []*nbio.Conn
	for c := range s.connections {
		if s.unusedLocked(c, f) {
			unused = append(unused, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unused {
		s.closeIfUnused(c, cause, f)
	}
}

// closeIfUnused closes a connection if f selects it and no request on it is being read, handled or
// answered. Bytes that had arrived at the last look are either unread or known from the connection's
// state. The poller cannot read between the look and the close, as it has to pass beginRead.
func (s *Server) closeIfUnused(c *nbio.Conn, cause error, f func(*connState) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unusedLocked(c, f) || peek(c) != peerSilent {
		return
	}
	if s.beforeClose != nil {
		s.beforeClose()
	}
	_ = c.CloseWithError(cause) // it can only fail if the client was faster
}

// unusedLocked reports whether f selects a connection on which no request is being read, handled or
// answered.
func (s *Server) unusedLocked(c *nbio.Conn, f func(*connState) bool) bool {
	st := s.connections[c]
	if st == nil || st.reading {
		return false
	}
	_, handled := s.requests[c]
	_, unflushed := s.unflushed[c]
	return !handled && !unflushed && c.ExecuteLen() == 0 && f(st)
}
