package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Delays of dialing and accepting.
const (
	// minRedialDelay and maxRedialDelay bound the delay before dialing again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when no
	// file descriptors are available.
	acceptRetryDelay = 50 * time.Millisecond
)

// errSessionRejected means that another session with the same peer is preferred
// or that there are too many sessions.
var errSessionRejected = errors.New("session rejected")

// acceptLoop accepts connections until the listener is closed. It closes new
// connections at once while MaxSessions handshakes are running.
func (n *Node) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logger.Warn("accepting a peer connection failed", zap.Error(err))
			if !sleep(n.openCtx, acceptRetryDelay) {
				return
			}
			continue
		}
		select {
		case n.handshakes <- struct{}{}:
			n.tasks.Go(func() { n.acceptSession(conn) })
		default:
			_ = conn.Close()
		}
	}
}

// acceptSession authenticates an accepted connection and serves its session
// until it ends.
func (n *Node) acceptSession(raw net.Conn) {
	counted := &countingConn{Conn: raw}
	conn := n.withTLS(counted, false, "")
	result, err := n.runHandshake(n.openCtx, counted, conn, func(ctx context.Context) (handshakeResult, error) {
		return newHandshake(&n.options, 0).accept(ctx, conn)
	})
	<-n.handshakes
	if err != nil {
		n.logger.Warn("handshake with a peer failed", zap.Stringer("from", raw.RemoteAddr()), zap.Error(err))
		return
	}
	_, _ = n.serve(conn, counted, result, false) // serve logs the reason for the end
}

// runHandshake runs one handshake within the handshake timeout and closes the
// connection if it fails.
func (n *Node) runHandshake(parent context.Context, raw, conn net.Conn, run func(context.Context) (handshakeResult, error)) (handshakeResult, error) {
	ctx, cancel := context.WithTimeout(parent, n.options.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	result, err := run(ctx)
	if !stop() && err == nil {
		err = trace.Wrap(ctx.Err())
	}
	if err != nil {
		_ = raw.Close()
		_ = conn.Close()
		return handshakeResult{}, trace.Wrap(err)
	}
	return result, nil
}

// dialLoop keeps a session with r until ctx ends, with exponential backoff
// between attempts.
func (n *Node) dialLoop(ctx context.Context, r *remote) {
	delay := minRedialDelay
	for n.waitUntilDisconnected(ctx, r) {
		if !sleep(ctx, jitter(delay)) {
			return
		}
		if n.currentSession(r.id) != nil {
			continue
		}
		established, err := n.dialSession(ctx, r)
		if established {
			delay = minRedialDelay
			continue
		}
		if ctx.Err() == nil {
			n.logger.Debug("dialing a peer failed", zap.String("peer", r.id), zap.Error(err))
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// waitUntilDisconnected returns true when there is no session with r, and false
// if ctx ends first.
func (n *Node) waitUntilDisconnected(ctx context.Context, r *remote) bool {
	for n.currentSession(r.id) != nil {
		select {
		case <-ctx.Done():
			return false
		case <-r.disconnected:
		}
	}
	return ctx.Err() == nil
}

// dialSession opens one connection and serves its session until it ends.
func (n *Node) dialSession(ctx context.Context, r *remote) (established bool, err error) {
	n.mu.Lock()
	address, previous := r.address, r.lastSession
	r.endedTotals.dials++
	n.mu.Unlock()
	dialer := net.Dialer{Timeout: n.options.HandshakeTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, trace.ConnectionProblem(err, "dial")
	}
	counted := &countingConn{Conn: raw}
	conn := n.withTLS(counted, true, address)
	result, err := n.runHandshake(ctx, counted, conn, func(ctx context.Context) (handshakeResult, error) {
		return newHandshake(&n.options, previous).dial(ctx, conn)
	})
	if err != nil {
		return false, trace.Wrap(err)
	}
	if result.remoteID != r.id {
		_ = raw.Close()
		return false, trace.NotFound("instance at %s has ID %q, want %q", address, result.remoteID, r.id)
	}
	return n.serve(conn, counted, result, true)
}

// jitter returns a random duration from d/2 to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// sleep waits for d. It returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
