package httpserver

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"masticbank.example/node/caller"
)

// requestInfoKey is the key of a request's *requestInfo in its context.
type requestInfoKey struct{}

// requestInfo is what the server knows of a request in progress.
type requestInfo struct {
	// readAt is when the end of the request was read from its connection.
	readAt  time.Time
	conn    *nbio.Conn // nil if unknown
	state   *connState // of conn; nil if unknown
	session *session   // of conn; nil if unknown
	// buffered is the number of bytes of the request.
	buffered int
	// cancel ends the request's context. The cause says why the connection was closed.
	cancel context.CancelCauseFunc
	// left is set, to the cause, once the client is known to have closed the connection, or is given up.
	left atomic.Pointer[error]
}

// newContext returns the request's context and sets the function that ends it.
func (i *requestInfo) newContext() context.Context {
	ctx, cancel := context.WithCancelCause(context.WithValue(context.Background(), requestInfoKey{}, i))
	i.cancel = cancel
	if i.conn == nil {
		return ctx
	}
	return caller.WithConnection(ctx, i.endIfLeft)
}

// ReadAt returns when the end of the request with the given context was read; its handler may have
// started later. If the client sends requests without waiting for responses, it may be the time of a
// later one. It is false if the context is not that of a request of a Server.
func ReadAt(ctx context.Context) (time.Time, bool) {
	info, ok := ctx.Value(requestInfoKey{}).(*requestInfo)
	if !ok {
		return time.Time{}, false
	}
	return info.readAt, true
}

// endIfLeft ends the request's context if the client has closed its connection, as the system knows
// it at the moment of the call.
func (i *requestInfo) endIfLeft() { _ = i.clientLeft() }

// clientLeft reports whether the client has closed its connection, and if so ends the request's
// context.
func (i *requestInfo) clientLeft() bool {
	if i.left.Load() != nil {
		return true
	}
	if i.conn == nil {
		return false
	}
	switch peek(i.conn) {
	case peerEnded:
		if i.state != nil {
			i.state.clientEnded.Store(true)
		}
	case peerClosed:
	default:
		return false
	}
	i.end(errClientLeft)
	return true
}

// end ends the request's context, and its connection after the handler has returned.
func (i *requestInfo) end(cause error) {
	i.left.CompareAndSwap(nil, &cause)
	i.cancel(cause)
}

// awaitClosed waits until the connection of a client that has left is closed here too, so that
// nbhttp does not complete a response on it. The poller has yet to read the client's close, and must
// close the connection itself (see closeUnlessLeft). The pauses are added up, as a process that was
// frozen has no time left by the clock, though its poller has not run either.
func (i *requestInfo) awaitClosed() {
	if !i.clientLeft() {
		return
	}
	pause := minClosedPoll
	for waited := time.Duration(0); waited < closeGracePeriod; waited += pause {
		if closed, _ := i.conn.IsClosed(); closed {
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, maxClosedPoll)
	}
	_ = i.conn.CloseWithError(*i.left.Load())
}

// The time between two looks whether the poller has closed a connection doubles from minClosedPoll
// to maxClosedPoll.
const (
	minClosedPoll = time.Millisecond
	maxClosedPoll = 40 * time.Millisecond
)

// closeUnlessLeft closes a connection, outside the poller, unless its client has closed it already. The
// poller then closes it when it comes to the event. The system hands out a descriptor again before it
// forgets the events of the former file, so an event of a closed connection may follow for some
// microseconds, and the acceptor alone does not rule out that it hits the next one. Writes that fail
// close a connection too, so whoever writes looks first as well.
func closeUnlessLeft(c *nbio.Conn, cause error) {
	if !hasLeft(c) {
		_ = c.CloseWithError(cause) // it can only fail if the client was faster
	}
}

// hasLeft reports whether the client has closed the connection or reset it, or it is closed. Unread
// bytes belong to a further request, so the client is there.
func hasLeft(c *nbio.Conn) bool {
	state := peek(c)
	return state == peerEnded || state == peerClosed
}

// peerState is what the system knows of the other end of a connection.
type peerState int

const (
	peerSilent peerState = iota // there is nothing to read
	peerSent                    // there are unread bytes
	peerEnded                   // the client has closed or reset the connection
	peerClosed                  // the connection is closed here
)

// peek asks the system about the other end of a connection.
func peek(c *nbio.Conn) peerState {
	state := peerSilent
	open := withDescriptor(c, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = peerSent
		case err == nil, errors.Is(err, syscall.ECONNRESET):
			state = peerEnded
		}
	})
	if !open {
		return peerClosed
	}
	return state
}

// isWritable reports whether the system takes bytes for a connection now, or the connection has
// failed, so that a write does not wait.
func isWritable(c *nbio.Conn) bool {
	ready, err := 0, error(nil)
	open := withDescriptor(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
		for {
			if ready, err = unix.Poll(fds, 0); !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return !open || err != nil || ready > 0
}

// withDescriptor calls f with the descriptor of a connection, which is not closed meanwhile. It
// returns false if the connection is closed.
func withDescriptor(c *nbio.Conn, f func(fd int)) bool {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
