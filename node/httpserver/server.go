// Package httpserver runs a net/http handler on nbhttp.
//
// It adds what nbhttp does not provide: a request context that is canceled when the
// client closes the connection, an HTTP response to a message that cannot be parsed,
// and a graceful shutdown that waits for requests in progress.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxHeaderBytes is by how much what the parser keeps of a message may exceed the maximum size of
	// its body.
	maxHeaderBytes = 64 << 10
	// defaultCheckPeriod is the default interval between checks for closed connections
	// and for responses that are completely written.
	defaultCheckPeriod = 20 * time.Millisecond
	// closeGracePeriod is the time for which the server waits for a client to close its
	// connection before it does so itself.
	closeGracePeriod = 2 * time.Second
	// reportedDelay is the lateness of a periodic check that is reported.
	reportedDelay = 250 * time.Millisecond
	// unlimited is the deadline that nbhttp sets on connections without a request. It sets
	// the first one of a connection when a request may already be handled, which a shorter
	// one would cut, so the server closes idle connections itself.
	unlimited = 100 * 365 * 24 * time.Hour
	// idleCheckPeriod is the interval between checks for connections that have been idle
	// for too long, at most a quarter of the idle timeout.
	idleCheckPeriod = time.Second
	// rejectGracePeriod is the time for which a connection stays open after the
	// response to a message that cannot be parsed, so that the client can read it.
	rejectGracePeriod = time.Second
)

// Options configures a Server.
type Options struct {
	// Address is IP:port; port 0 selects a free port.
	Address string
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// MaxBufferedBytes is the maximum number of bytes of all requests that are received or
	// handled, with the memory that parsing takes, and as many may be kept of responses that
	// clients have yet to read; 0 means 32 MiB. A request that would exceed it is refused before
	// its end, unless its connection holds less than its share, at least 16 KiB.
	MaxBufferedBytes int
	// HeadLimits, if set, returns the limits on the head of a request. It must not block.
	HeadLimits func() HeadLimits
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// MaxRequests is the maximum number of requests handled concurrently.
	MaxRequests int
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// ClosedCheckPeriod is the interval between checks for connections that clients
	// have closed; 0 means 20 ms. Each check wakes the process.
	ClosedCheckPeriod time.Duration
	// Handler handles the requests.
	Handler http.Handler
	// OnDelay, if set, is called with the delay when a periodic check ran late by more than
	// reportedDelay: the process did not get the processor, or its work took it. It must not
	// block.
	OnDelay func(time.Duration)
	// OnRefused, if set, is called with the reason when a request is refused before its end. It
	// must not block.
	OnRefused func(error)
	// OnConnectionEnd, if set, is called when a connection has ended with a request in progress, or
	// was closed here within a second after its last request. It is called for at most
	// maxEndsReported connections a second with a request cut by the server, and for as many
	// others. It must not block.
	OnConnectionEnd func(ConnectionEnd)
	// ServerErrorBody returns the body of a response that the server writes by itself:
	// to a message that cannot be parsed, or to a request during shutdown. It must be
	// safe for concurrent use.
	ServerErrorBody func(status int) []byte
}

// Server is a running HTTP server. It is safe for concurrent use.
type Server struct {
	engine   *nbhttp.Engine
	acceptor *acceptor
	opts     Options
	active   sync.WaitGroup
	inFlight atomic.Int64
	mu       sync.Mutex
	closing  bool
	stopping bool // all connections are being closed
	// draining is set while responses ask clients to close their connections.
	draining atomic.Bool
	// connections holds the open connections.
	connections map[*nbio.Conn]*connState
	// requests holds the cancel functions of requests in progress.
	requests map[*nbio.Conn]context.CancelCauseFunc
	// buffered is the number of bytes of the requests that are received or handled.
	buffered int
	// unflushed holds the connections whose handler has returned while nbhttp may
	// still be writing the end of the response.
	unflushed map[*nbio.Conn]struct{}
	// unsent is the number of bytes of responses that nbio keeps.
	unsent atomic.Int64
	// cutsReported counts the ends of connections with a request cut by the server that were reported
	// since endPeriod, endsReported the others, endsOmitted those not reported since the last one that was.
	cutsReported, endsReported, endsOmitted int
	endPeriod                               time.Time
	checkDelay                              atomic.Int64 // of the last periodic check, in nanoseconds
	// beforeClose, if set, is called between the last look at an unused connection and its close.
	// It is for tests.
	beforeClose func()
	stopWatch   context.CancelFunc
	watchDone   chan struct{}
}

// Start starts a server, which runs until Shutdown.
func Start(o Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	if o.ClosedCheckPeriod <= 0 {
		o.ClosedCheckPeriod = defaultCheckPeriod
	}
	if o.MaxBufferedBytes <= 0 {
		o.MaxBufferedBytes = defaultBufferedBytes
	}
	// The address comes first: an engine that is stopped right after its start may not end.
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", o.Address)
	}
	s := &Server{opts: o, connections: map[*nbio.Conn]*connState{}, requests: map[*nbio.Conn]context.CancelCauseFunc{}, unflushed: map[*nbio.Conn]struct{}{}, watchDone: make(chan struct{})}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		MaxLoad:                 o.MaxConnections,
		MessageHandlerPoolSize:  o.MaxRequests,
		ReadLimit:               o.MaxBodyBytes + maxHeaderBytes + 2*parsedBytes,
		MaxHTTPBodySize:         o.MaxBodyBytes,
		KeepaliveTime:           unlimited,
		ReleaseWebsocketPayload: true,
		Handler:                 http.HandlerFunc(s.serve),
		SupportServerOnly:       true,
	})
	s.engine.OnOpen(func(c net.Conn) { s.opened(unwrap(c)) })
	s.engine.OnClose(func(c net.Conn, err error) { s.closed(unwrap(c), err) })
	s.engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		s.beginRead(c)
		return s.engine.PollerBufferPtr(c)
	})
	s.engine.OnReadBufferFree(func(c *nbio.Conn, _ *[]byte) { s.endRead(c) })
	s.engine.OnData(s.onData)
	s.engine.OnWrittenSize(s.countSent)
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return nil, trace.Wrap(err)
	}
	a, err := startAcceptor(s, listener)
	if err != nil {
		_ = listener.Close()
		s.engine.Stop()
		return nil, trace.Wrap(err, "preparing the pollers")
	}
	s.mu.Lock() // pollers pass it before they read
	s.acceptor = a
	s.mu.Unlock()
	s.acceptor.awaitPollers()
	go s.acceptor.run()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopWatch = cancel
	go s.watchConnections(ctx)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string {
	return s.acceptor.listener.Addr().String()
}

// online returns the number of open connections.
func (s *Server) online() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// InFlight returns the number of requests being handled.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Shutdown refuses new requests, waits until the responses to all requests in
// progress are written or ctx ends, and closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		s.waitFlushed(ctx)
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = trace.Wrap(ctx.Err(), "requests still in progress")
	}
	s.stopWatch()
	<-s.watchDone
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.acceptor.close()
	s.engine.Stop()
	return err
}

// Drain closes idle connections, now and when requests end, and makes all later responses ask
// the client to close the connection. Requests are still served until Shutdown.
func (s *Server) Drain() { s.draining.Store(true) }

// Abort closes the connection of a response that cannot be completed, so that the
// client does not mistake it for a complete one.
func Abort(w http.ResponseWriter) {
	if aw, ok := w.(*writer); ok && aw.info.conn != nil {
		closeUnlessLeft(aw.info.conn, errAborted)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.beginRequest() {
		s.refuseDuringShutdown(w)
		return
	}
	defer s.active.Done()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	info := &requestInfo{readAt: time.Now(), conn: connOf(w)}
	if info.conn != nil {
		if info.session, _ = info.conn.Session().(*session); info.session != nil {
			info.session.ahead.Add(-1)
		}
	}
	ctx := info.newContext()
	defer info.cancel(nil)
	conn := info.conn
	if conn != nil {
		if s.draining.Load() {
			r.Close = true
		}
		s.deferClose(w, r, conn)
		s.track(conn, info)
		defer s.untrack(conn, info)
	}
	// Responses without a body are written by nbhttp after the handler.
	if info.awaitSent() != nil {
		info.awaitClosed()
		return
	}
	s.opts.Handler.ServeHTTP(newWriter(w, r, info), r.WithContext(ctx))
	info.awaitClosed()
}

// deferClose handles requests with "Connection: close" of HTTP/1.1 clients. It lets the
// client close the connection and closes it only after closeGracePeriod. nbhttp would
// close it with the response, at the same time as the client (see closeUnlessLeft).
func (s *Server) deferClose(w http.ResponseWriter, r *http.Request, conn *nbio.Conn) {
	if !r.Close || !r.ProtoAtLeast(1, 1) {
		return
	}
	r.Close = false
	w.Header().Set("Connection", "close")
	time.AfterFunc(closeGracePeriod, func() { s.closeAnnounced(conn) })
}

// closeAnnounced closes a connection whose response has announced that, unless another request on it
// is in progress, for which it waits.
func (s *Server) closeAnnounced(conn *nbio.Conn) {
	s.closeIfUnused(conn, errAnnouncedClose, func(*connState) bool { return true })
	if closed, _ := conn.IsClosed(); !closed {
		time.AfterFunc(closeGracePeriod, func() { s.closeAnnounced(conn) })
	}
}

// beginRequest registers a request with Shutdown. It returns false if the server is
// already shutting down.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.active.Add(1)
	return true
}

// refuseDuringShutdown writes the error response to a request that arrived during
// shutdown.
func (s *Server) refuseDuringShutdown(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", "1")
	h.Set("X-Masticbank-Execution", "not_run")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(s.opts.ServerErrorBody(http.StatusServiceUnavailable))
}

// connOf returns the connection of a response, or nil if it is unknown.
func connOf(w http.ResponseWriter) *nbio.Conn {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil
	}
	return unwrap(res.Parser.Conn)
}

func unwrap(c net.Conn) *nbio.Conn {
	switch c := c.(type) {
	case *nbio.Conn:
		return c
	case *countingConn:
		return c.Conn
	case *nbhttp.Conn:
		return unwrap(c.Conn)
	default:
		return nil
	}
}

// track registers the cancel function of a request in progress and completes its info.
func (s *Server) track(c *nbio.Conn, info *requestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[c] = info.cancel
	if st := s.connections[c]; st != nil {
		info.state, info.readAt = st, st.readAt
		if len(st.waiting) > 0 {
			info.buffered, st.waiting = st.waiting[0], st.waiting[1:]
			st.ahead -= info.buffered
		}
		st.receiving = false
		st.requests++
	}
}

// untrack removes a request whose handler has returned and records its connection as
// unflushed.
func (s *Server) untrack(c *nbio.Conn, info *requestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffered -= info.buffered
	delete(s.requests, c)
	s.unflushed[c] = struct{}{}
	if closed, _ := c.IsClosed(); closed {
		s.noteEndLocked(c)
	}
	if st := s.connections[c]; st != nil {
		st.idleSince = time.Now()
	}
}

// onData parses received data. A message that cannot be parsed gets an error response
// before its connection is closed.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	if s.acceptor.handle(c) {
		return
	}
	sess, ok := c.Session().(*session)
	if !ok {
		return
	}
	if sess.rejected.Load() {
		sess.drop(len(data))
		return
	}
	if err := s.parse(sess, data); err != nil && sess.rejected.CompareAndSwap(false, true) {
		s.reject(sess, err)
	}
}

// reject writes the error response to a message that cannot be parsed or kept and closes the
// connection after rejectGracePeriod. The requests before it on the connection are answered
// first. The session is marked as rejected.
func (s *Server) reject(sess *session, cause error) {
	c := sess.conn
	status, reason := http.StatusBadRequest, errMalformed(cause)
	switch {
	case errors.Is(cause, nbhttp.ErrTooLong), errors.Is(cause, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(cause, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(cause, errHeadTooSlow):
		status = http.StatusRequestTimeout
		s.reportRefused(cause)
	case errors.Is(cause, errTooManyAhead):
		status = http.StatusServiceUnavailable
		s.reportRefused(cause)
	case errors.Is(cause, errOutOfMemory):
		status, reason = http.StatusServiceUnavailable, cause
		s.reportRefused(cause)
	}
	c.Execute(func() {
		if !hasLeft(c) {
			// If the write fails, it closes the connection.
			_, _ = sess.Write(rawResponse(status, s.opts.ServerErrorBody(status)))
		}
		time.AfterFunc(rejectGracePeriod, func() {
			closeUnlessLeft(c, reason)
		})
	})
}
