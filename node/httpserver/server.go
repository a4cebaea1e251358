// Package httpserver runs a net/http handler on nbhttp.
//
// It adds what nbhttp leaves to its user: a request context that ends when the
// caller closes the connection, an HTTP answer to a message that cannot be
// parsed, and a shutdown that waits for requests in progress.
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
	// headerBytes is the part of a message allowed beyond its body.
	headerBytes = 64 << 10
	// watchPeriod is the usual time between two checks for closed connections.
	watchPeriod = 20 * time.Millisecond
	// closeLinger is the time that a caller gets to close its connection.
	closeLinger = 2 * time.Second
	// rejectLinger is how long a rejected connection stays open, so that the
	// caller can read the answer.
	rejectLinger = time.Second
)

// Options configures a Server.
type Options struct {
	// Address is IP:port; port 0 takes a free one.
	Address string
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// MaxRequests is the largest number of requests handled at once.
	MaxRequests int
	// IdleTimeout closes a connection that sends no request.
	IdleTimeout time.Duration
	// WatchPeriod is the time between two checks for callers that have left; 0 means
	// 20 ms. Each check wakes the process.
	WatchPeriod time.Duration
	// Handler serves the requests.
	Handler http.Handler
	// Malformed writes the body of an answer to a message that cannot be
	// parsed. It must be safe for concurrent use.
	Malformed func(status int) []byte
}

// Server is a running HTTP server. It is safe for concurrent use.
type Server struct {
	engine   *nbhttp.Engine
	opts     Options
	active   sync.WaitGroup
	inFlight atomic.Int64
	mu       sync.Mutex
	closing  bool
	// draining answers ask callers to close their connections.
	draining atomic.Bool
	requests map[*nbio.Conn]context.CancelFunc
	// answering holds the connections whose handler has returned while nbhttp
	// may still be writing the end of the answer.
	answering map[*nbio.Conn]struct{}
	rejected  sync.Map // *nbio.Conn -> struct{}
	// opened counts connections. The accepting goroutine adds to it before the
	// polling goroutine sees the connection, and that one loads it: the kernel
	// orders the two already, the counter tells the race detector so.
	opened    atomic.Uint64
	stopWatch context.CancelFunc
	watchDone chan struct{}
}

// Start listens and serves until Shutdown.
func Start(o Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	if o.WatchPeriod <= 0 {
		o.WatchPeriod = watchPeriod
	}
	s := &Server{opts: o, requests: map[*nbio.Conn]context.CancelFunc{}, answering: map[*nbio.Conn]struct{}{}, watchDone: make(chan struct{})}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:                 "tcp",
		Addrs:                   []string{o.Address},
		MaxLoad:                 o.MaxConnections,
		MessageHandlerPoolSize:  o.MaxRequests,
		ReadLimit:               o.MaxBodyBytes + headerBytes,
		MaxHTTPBodySize:         o.MaxBodyBytes,
		KeepaliveTime:           o.IdleTimeout,
		ReleaseWebsocketPayload: true,
		Handler:                 http.HandlerFunc(s.serve),
		SupportServerOnly:       true,
	})
	s.engine.OnOpen(func(net.Conn) { s.opened.Add(1) })
	s.engine.OnData(s.onData)
	if err := s.engine.Start(); err != nil {
		return nil, trace.Wrap(err, "listening on %s", o.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopWatch = cancel
	go s.watch(ctx)
	return s, nil
}

// Addr returns the address listened on.
func (s *Server) Addr() string {
	return s.engine.Addrs[0]
}

// InFlight returns the number of requests being handled.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Shutdown refuses new requests, waits until the requests in progress are
// answered or ctx ends, and closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		s.waitAnswered(ctx)
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
	s.engine.Stop()
	return err
}

// Drain makes every answer from now on ask the caller to close its connection.
// Requests are served until Shutdown.
func (s *Server) Drain() { s.draining.Store(true) }

// Abort closes the connection of an answer that cannot be completed, so that it
// does not look complete to the caller.
func Abort(w http.ResponseWriter) {
	if aw, ok := w.(*writer); ok && aw.conn != nil {
		_ = aw.conn.CloseWithError(errAborted)
	}
}

var errAborted = errors.New("answer cannot be completed")

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.enter() {
		s.refuse(w)
		return
	}
	defer s.active.Done()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn := connOf(w)
	if conn != nil {
		if s.draining.Load() {
			r.Close = true
		}
		deferClose(w, r, conn)
		// The idle timeout counts between requests, not during one.
		_ = conn.SetReadDeadline(time.Time{})
		s.track(conn, cancel)
		defer s.untrack(conn)
	}
	s.opts.Handler.ServeHTTP(newWriter(w, conn), r.WithContext(ctx))
}

// deferClose leaves it to a caller that asked for it to close the connection, and
// closes it only some time later. nbhttp would close it with the answer, while
// the caller does the same: the poller then may hold an event of the closed
// connection for a descriptor that a new one has got, and close that one.
func deferClose(w http.ResponseWriter, r *http.Request, conn *nbio.Conn) {
	if !r.Close || !r.ProtoAtLeast(1, 1) {
		return
	}
	r.Close = false
	w.Header().Set("Connection", "close")
	time.AfterFunc(closeLinger, func() { closeIdle(conn) })
}

// closeIdle closes a connection once it has no answer to send.
func closeIdle(conn *nbio.Conn) {
	if conn.ExecuteLen() > 0 {
		time.AfterFunc(closeLinger, func() { closeIdle(conn) })
		return
	}
	_ = conn.Close()
}

// enter counts a request, or returns false when the server shuts down.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.active.Add(1)
	return true
}

// refuse answers a request that came after Shutdown.
func (s *Server) refuse(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", "1")
	h.Set("X-Masticbank-Execution", "not_run")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(s.opts.Malformed(http.StatusServiceUnavailable))
}

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
	case *nbhttp.Conn:
		return unwrap(c.Conn)
	default:
		return nil
	}
}

func (s *Server) track(c *nbio.Conn, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[c] = cancel
}

func (s *Server) untrack(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, c)
	s.answering[c] = struct{}{}
}

// waitAnswered waits until the answers of all returned handlers are written.
func (s *Server) waitAnswered(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for s.dropAnswered() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dropAnswered forgets the connections whose answers are written and returns the
// number of the others. nbhttp writes the end of an answer in the job that ran
// the handler.
func (s *Server) dropAnswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.answering {
		if closed, _ := c.IsClosed(); closed || c.ExecuteLen() == 0 {
			delete(s.answering, c)
		}
	}
	return len(s.answering)
}

// watch cancels requests whose connection was closed. nbio runs its own close
// callback on the connection's job queue, behind the handler that is to be
// told, so the state is polled.
func (s *Server) watch(ctx context.Context) {
	defer close(s.watchDone)
	ticker := time.NewTicker(s.opts.WatchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.cancelClosed()
			s.dropAnswered()
		}
	}
}

func (s *Server) cancelClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cancel := range s.requests {
		if closed, _ := c.IsClosed(); closed {
			cancel()
			delete(s.requests, c)
		}
	}
}

// onData parses input; a message that cannot be parsed gets an answer before
// its connection is closed.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	s.opened.Load()
	if _, ok := s.rejected.Load(c); ok {
		return
	}
	parser, ok := c.Session().(nbhttp.ParserCloser)
	if !ok {
		return
	}
	err := parser.Parse(data)
	if err == nil {
		return
	}
	s.reject(c, err)
}

func (s *Server) reject(c *nbio.Conn, cause error) {
	if c.ExecuteLen() > 0 {
		_ = c.CloseWithError(cause)
		return
	}
	status := http.StatusBadRequest
	if errors.Is(cause, nbhttp.ErrTooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	s.rejected.Store(c, struct{}{})
	if _, err := c.Write(rawAnswer(status, s.opts.Malformed(status))); err != nil {
		_ = c.CloseWithError(cause)
	}
	time.AfterFunc(rejectLinger, func() {
		_ = c.CloseWithError(cause)
		s.rejected.Delete(c)
	})
}
