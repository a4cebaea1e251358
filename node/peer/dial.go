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

// Bounds of the wait before dialing again.
const (
	minRedial = 50 * time.Millisecond
	maxRedial = 5 * time.Second
	// acceptPause is the wait after a failed accept, such as for want of file
	// descriptors.
	acceptPause = 50 * time.Millisecond
)

// errRefused says that a session lost against another one with the same peer,
// or that there are too many.
var errRefused = errors.New("session refused")

// acceptAll accepts connections until the listener is closed.
func (n *Node) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logger.Warn("accept peer connection", zap.Error(err))
			if !wait(n.opening, acceptPause) {
				return
			}
			continue
		}
		select {
		case n.handshakes <- struct{}{}:
			n.tasks.Go(func() { n.acceptOne(conn) })
		default:
			_ = conn.Close()
		}
	}
}

func (n *Node) acceptOne(raw net.Conn) {
	counted := &countedConn{Conn: raw}
	conn := n.secure(counted, false, "")
	agreed, err := n.shake(n.opening, counted, conn, func(ctx context.Context) (agreement, error) {
		return newHandshake(&n.options, 0).accept(ctx, conn)
	})
	<-n.handshakes
	if err != nil {
		n.logger.Warn("peer connection refused", zap.Stringer("from", raw.RemoteAddr()), zap.Error(err))
		return
	}
	_, _ = n.serve(conn, counted, agreed, false) // serve logs why it ended
}

// shake runs one handshake within the handshake timeout and closes the
// connection if it fails.
func (n *Node) shake(parent context.Context, raw, conn net.Conn, run func(context.Context) (agreement, error)) (agreement, error) {
	ctx, cancel := context.WithTimeout(parent, n.options.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	agreed, err := run(ctx)
	if !stop() && err == nil {
		err = trace.Wrap(ctx.Err())
	}
	if err != nil {
		_ = raw.Close()
		_ = conn.Close()
		return agreement{}, trace.Wrap(err)
	}
	return agreed, nil
}

// dialLoop keeps a session with r until ctx ends.
func (n *Node) dialLoop(ctx context.Context, r *remote) {
	pause := minRedial
	for n.waitUnconnected(ctx, r) {
		if !wait(ctx, jitter(pause)) {
			return
		}
		if n.current(r.id) != nil {
			continue
		}
		established, err := n.dialOnce(ctx, r)
		if established {
			pause = minRedial
			continue
		}
		if ctx.Err() == nil {
			n.logger.Debug("dial peer", zap.String("peer", r.id), zap.Error(err))
		}
		pause = min(2*pause, maxRedial)
	}
}

// waitUnconnected returns true when there is no session with r, and false when
// ctx has ended.
func (n *Node) waitUnconnected(ctx context.Context, r *remote) bool {
	for n.current(r.id) != nil {
		select {
		case <-ctx.Done():
			return false
		case <-r.wake:
		}
	}
	return ctx.Err() == nil
}

// dialOnce opens one connection and serves its session until the end.
func (n *Node) dialOnce(ctx context.Context, r *remote) (established bool, err error) {
	n.mu.Lock()
	address, previous := r.address, r.lastSession
	r.ended.dials++
	n.mu.Unlock()
	dialer := net.Dialer{Timeout: n.options.HandshakeTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, trace.ConnectionProblem(err, "dial")
	}
	counted := &countedConn{Conn: raw}
	conn := n.secure(counted, true, address)
	agreed, err := n.shake(ctx, counted, conn, func(ctx context.Context) (agreement, error) {
		return newHandshake(&n.options, previous).dial(ctx, conn)
	})
	if err != nil {
		return false, trace.Wrap(err)
	}
	if agreed.remoteID != r.id {
		_ = raw.Close()
		return false, trace.NotFound("instance at %s is %q, not %q", address, agreed.remoteID, r.id)
	}
	return n.serve(conn, counted, agreed, true)
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// wait pauses for d; it returns false as soon as ctx ends.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
