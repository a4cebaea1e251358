package httpserver

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// acceptRetryPeriod is the pause after a failed accept, as when no descriptor is left.
const acceptRetryPeriod = 10 * time.Millisecond

// acceptor accepts connections and hands them to their pollers.
//
// A poller fetches events in batches and finds the connection of each by its descriptor. If a new
// connection were added by another thread, its descriptor could be that of a connection that was
// closed after the batch was fetched, whose event would be applied to the new one. So a poller adds
// its connections itself, when it handles an event that was raised after they had been accepted: the
// former connection was closed before, and its events are in earlier batches (see closeUnlessLeft for
// the exception).
type acceptor struct {
	listener net.Listener
	pollers  []*newConnections
	done     chan struct{}
	// online returns the number of open connections that pollers have, of which limit are allowed.
	online func() int
	limit  int
}

// newConnections hands connections to one poller.
type newConnections struct {
	server *Server
	// receiver is a connection of the poller. A byte that is sent to it is the event.
	receiver *nbio.Conn
	sender   int

	mu     sync.Mutex
	closed bool
	// waiting holds accepted connections. The first signaled of them were accepted before the byte
	// under way was sent; none is under way if signaled is 0.
	waiting  []*nbio.Conn
	signaled int
	// began is closed when the poller has handled its first byte.
	began     chan struct{}
	beganOnce sync.Once
}

// startAcceptor prepares the pollers of a server for the connections of a listener. Its engine must be
// started and have no listener of its own.
func startAcceptor(s *Server, listener net.Listener) (*acceptor, error) {
	a := &acceptor{listener: listener, done: make(chan struct{}), online: s.online, limit: s.engine.MaxLoad}
	for i := range s.engine.NPoller {
		p, err := newPollerConnections(s, i)
		if err != nil {
			a.closePollers()
			return nil, trace.Wrap(err)
		}
		a.pollers = append(a.pollers, p)
	}
	return a, nil
}

// awaitPollers waits until all pollers run. One that is stopped before it begins forgets the stop.
func (a *acceptor) awaitPollers() {
	for _, p := range a.pollers {
		p.mu.Lock()
		p.signalLocked()
		p.mu.Unlock()
	}
	for _, p := range a.pollers {
		<-p.began
	}
}

// run accepts connections until close.
func (a *acceptor) run() {
	defer close(a.done)
	for {
		conn, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPeriod)
			continue
		}
		a.accepted(conn)
	}
}

// accepted hands a connection to its poller, unless there are too many.
func (a *acceptor) accepted(conn net.Conn) {
	if a.online()+a.waiting() >= a.limit {
		_ = conn.Close()
		return
	}
	c, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	a.pollers[c.Hash()%len(a.pollers)].add(c)
}

// waiting returns the number of connections that no poller has yet.
func (a *acceptor) waiting() int {
	n := 0
	for _, p := range a.pollers {
		p.mu.Lock()
		n += len(p.waiting)
		p.mu.Unlock()
	}
	return n
}

// handle reports whether c is the receiver of a poller, which has got a byte. It adds the connections
// accepted before to the poller that calls it.
func (a *acceptor) handle(c *nbio.Conn) bool {
	p := a.pollers[c.Hash()%len(a.pollers)]
	if c != p.receiver {
		return false
	}
	p.addToPoller()
	return true
}

// close stops accepting and closes the connections that no poller has. None is added afterwards.
func (a *acceptor) close() {
	_ = a.listener.Close()
	<-a.done
	a.closePollers()
}

func (a *acceptor) closePollers() {
	for _, p := range a.pollers {
		p.close()
	}
}

// newPollerConnections returns the newConnections of the poller with the given index. A connection's
// descriptor chooses its poller, so descriptors are taken until one fits.
func newPollerConnections(s *Server, index int) (*newConnections, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, trace.Wrap(err, "creating a socket pair")
	}
	p := &newConnections{server: s, sender: fds[1], began: make(chan struct{})}
	file := os.NewFile(uintptr(fds[0]), "new connections")
	defer func() { _ = file.Close() }()
	for p.receiver == nil {
		conn, err := net.FileConn(file)
		if err != nil {
			_ = syscall.Close(p.sender)
			return nil, trace.Wrap(err)
		}
		c, err := nbio.NBConn(conn)
		if err != nil {
			_ = conn.Close()
			_ = syscall.Close(p.sender)
			return nil, trace.Wrap(err)
		}
		if c.Hash()%s.engine.NPoller == index {
			p.receiver = c
		} else {
			defer func() { _ = c.Close() }()
		}
	}
	if _, err := s.engine.AddConn(p.receiver); err != nil {
		_ = syscall.Close(p.sender)
		return nil, trace.Wrap(err)
	}
	return p, nil
}

// add makes the poller add a connection.
func (p *newConnections) add(c *nbio.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.waiting = append(p.waiting, c)
	if p.signaled == 0 {
		p.signalLocked()
	}
}

// signalLocked sends a byte for the connections that wait. At most one is under way.
func (p *newConnections) signalLocked() {
	p.signaled = len(p.waiting)
	_, _ = syscall.Write(p.sender, []byte{0})
}

// addToPoller adds the connections that had been accepted when the byte was sent. Those accepted
// later may have the descriptor of an event in the present batch, and wait for a further byte.
func (p *newConnections) addToPoller() {
	p.beganOnce.Do(func() { close(p.began) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	n := p.signaled
	for _, c := range p.waiting[:n] {
		p.server.addConn(c)
	}
	p.waiting = append(p.waiting[:0], p.waiting[n:]...)
	p.signaled = 0
	if len(p.waiting) > 0 {
		p.signalLocked()
	}
}

func (p *newConnections) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.waiting {
		_ = c.Close()
	}
	p.waiting = nil
	_ = syscall.Close(p.sender)
}
