package httpserver

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/zap"
)

const (
	// recentRequest is how long after its last request a connection that the server closes is
	// reported.
	recentRequest = time.Second
	// maxEndsReported is the maximum number of ends of connections reported in endReportPeriod, for
	// those that cut a request and all others alike.
	maxEndsReported = 32
	endReportPeriod = time.Second
)

// ConnectionEnd describes how a connection ended.
type ConnectionEnd struct {
	// ClosedBy is who closed it: the by of a closeError, or one of the closedBy constants.
	ClosedBy string
	// Cause is the error with which it was closed; nil if there was none.
	Cause error
	// ClientEnded is true if the server saw, while the connection was open, that the client had
	// closed or reset it.
	ClientEnded bool
	// InProgress is true if a request was being received or handled.
	InProgress bool
	// Requests is the number of requests handled.
	Requests int
	// Age is the time since it was opened, SinceRead since bytes were last read from it; 0 if none.
	Age, SinceRead time.Duration
	// CheckDelay is by how much the last periodic check ran late.
	CheckDelay time.Duration
	// Omitted is the number of ends that were not reported before this one.
	Omitted int
}

// Fields returns the fields of a log line.
func (e ConnectionEnd) Fields() []zap.Field {
	return []zap.Field{
		zap.String("closed_by", e.ClosedBy), zap.NamedError("cause", e.Cause), zap.Bool("client_ended", e.ClientEnded),
		zap.Bool("in_progress", e.InProgress), zap.Int("requests", e.Requests), zap.Duration("age", e.Age),
		zap.Duration("since_read", e.SinceRead), zap.Duration("check_delay", e.CheckDelay), zap.Int("omitted", e.Omitted),
	}
}

// Who closed a connection, if not the server with a closeError.
const (
	closedByClient   = "client"       // the poller read the client's close or reset
	closedByWrite    = "write"        // a write failed
	closedByResponse = "response_end" // nbhttp, with the end of a response or its failed write
	closedByShutdown = "shutdown"
)

// closeError is the error with which the server closes a connection.
type closeError struct {
	by    string
	cause error
}

func (e *closeError) Error() string { return e.cause.Error() }

func (e *closeError) Unwrap() error { return e.cause }

func newCloseError(by, text string) error { return &closeError{by: by, cause: errors.New(text)} }

// The errors with which the server closes connections.
var (
	errIdle           = newCloseError("idle", "connection is idle")
	errDrained        = newCloseError("drain", "connection is idle and the server stops")
	errAborted        = newCloseError("abort", "response cannot be completed")
	errAnnouncedClose = newCloseError("connection_close", "connection is closed after its last response")
	errFlooded        = newCloseError("flood", "client goes on sending after a refusal")
	errOutOfMemory    = newCloseError("memory", "no memory is left for the bodies of requests")
	// errClientLeft is also the error of a write to a client that has closed its connection.
	errClientLeft = newCloseError("client_left", "client has closed the connection")
	// errClientStalled is the error of a write to a client that has read nothing for maxWriteStall.
	errClientStalled = newCloseError("stall", "client does not read the response")
)

func errMalformed(cause error) error { return &closeError{by: "malformed", cause: cause} }

// closedBy returns who closed a connection with an error.
func closedBy(err error, shutdown bool) string {
	var own *closeError
	switch {
	case errors.As(err, &own):
		return own.by
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return closedByClient
	case err != nil:
		return closedByWrite
	case shutdown:
		return closedByShutdown
	default:
		return closedByResponse
	}
}

// closed forgets a connection and reports its end. nbio calls it after the connection's handlers.
func (s *Server) closed(c *nbio.Conn, err error) {
	s.mu.Lock()
	st := s.connections[c]
	if st == nil {
		s.mu.Unlock()
		return
	}
	s.buffered -= st.buffered + st.ahead
	if sess, ok := c.Session().(*session); ok {
		s.unsent.Add(-sess.unsent.Load())
	}
	delete(s.connections, c)
	end, reported := s.connectionEndLocked(st, err, time.Now())
	s.mu.Unlock()
	if reported {
		s.opts.OnConnectionEnd(end)
	}
}

// connectionEndLocked describes the end of a connection. It returns false if that is not to be
// reported: clients often close a connection right after a response, and reports are limited.
func (s *Server) connectionEndLocked(st *connState, err error, now time.Time) (ConnectionEnd, bool) {
	if s.opts.OnConnectionEnd == nil {
		return ConnectionEnd{}, false
	}
	if !st.endedAt.IsZero() {
		now = st.endedAt
	}
	by := closedBy(err, s.stopping)
	inProgress := st.endedInRequest || st.receiving
	recent := st.requests > 0 && now.Sub(st.idleSince) <= recentRequest
	usual := by == closedByClient || by == closedByResponse
	if !inProgress && (usual || !recent) {
		return ConnectionEnd{}, false
	}
	if now.Sub(s.endPeriod) >= endReportPeriod {
		s.endPeriod, s.endsReported, s.cutsReported = now, 0, 0
	}
	reported := &s.endsReported
	if inProgress && !usual {
		reported = &s.cutsReported
	}
	if *reported++; *reported > maxEndsReported {
		s.endsOmitted++
		return ConnectionEnd{}, false
	}
	end := ConnectionEnd{
		ClosedBy: by, Cause: err, ClientEnded: st.clientEnded.Load(), InProgress: inProgress, Requests: st.requests,
		Age: now.Sub(st.openedAt), CheckDelay: time.Duration(s.checkDelay.Load()), Omitted: s.endsOmitted,
	}
	if !st.readAt.IsZero() {
		end.SinceRead = now.Sub(st.readAt)
	}
	s.endsOmitted = 0
	return end, true
}

// noteEndLocked records that a connection was found closed while a request on it is handled.
func (s *Server) noteEndLocked(c *nbio.Conn) {
	if st := s.connections[c]; st != nil && st.endedAt.IsZero() {
		st.endedAt, st.endedInRequest = time.Now(), true
	}
}
