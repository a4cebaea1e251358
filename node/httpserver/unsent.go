package httpserver

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// session is the session of a connection. It counts the bytes that nbio keeps because the system has
// not taken them; nbio drops them when it closes the connection.
type session struct {
	*nbhttp.Parser
	conn   *nbio.Conn
	unsent atomic.Int64
	server *Server
	// ahead is the number of requests that were read and wait for their handlers.
	ahead atomic.Int32
	// rejected is set when a message is refused; what follows is dropped.
	rejected atomic.Bool
	dropped  int // bytes; only the poller uses it
	message  message
}

// Write writes to the connection. All writes to it must come here.
func (s *session) Write(b []byte) (int, error) {
	s.unsent.Add(int64(len(b)))
	s.server.unsent.Add(int64(len(b)))
	return s.conn.Write(b)
}

// countingConn is the connection that nbhttp writes responses to.
type countingConn struct {
	*nbio.Conn
	session *session
}

func (c *countingConn) Write(b []byte) (int, error) { return c.session.Write(b) }

// addConn adds a connection to its poller, whose thread must call it.
func (s *Server) addConn(c *nbio.Conn) {
	conn := &nbhttp.Conn{Conn: c}
	s.engine.AddConnNonTLSNonBlocking(conn, nil, func() {})
	if parser, ok := c.Session().(*nbhttp.Parser); ok {
		sess := &session{Parser: parser, conn: c, server: s}
		parser.Processor = &processor{Processor: parser.Processor, server: s, session: sess}
		conn.Conn = &countingConn{Conn: c, session: sess}
		c.SetSession(sess)
	}
}

// countSent records that the system has taken n bytes.
func (s *Server) countSent(c *nbio.Conn, _ []byte, n int) {
	if sess, ok := c.Session().(*session); ok {
		sess.unsent.Add(-int64(n))
		s.unsent.Add(-int64(n))
	}
}

// flushedLocked reports whether the end of a connection's last response is sent, or its client has
// read nothing of it for maxWriteStall. nbhttp writes the end of a response in the job that ran the
// handler.
func (s *Server) flushedLocked(c *nbio.Conn, now time.Time) bool {
	if closed, _ := c.IsClosed(); closed {
		return true
	}
	if c.ExecuteLen() > 0 {
		return false
	}
	st := s.connections[c]
	sess, ok := c.Session().(*session)
	if st == nil || !ok {
		return true
	}
	unsent := sess.unsent.Load()
	if unsent != st.unsent {
		st.unsent, st.unsentSince = unsent, now
	}
	if unsent > 0 && now.Sub(st.unsentSince) < maxWriteStall {
		return false
	}
	st.idleSince, st.unsent = now, 0
	return true
}
