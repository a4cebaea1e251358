package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/fieldline"
)

const (
	// keepAliveMargin is subtracted from the idle timeout that a replica announces, to
	// allow for network latency.
	keepAliveMargin = 500 * time.Millisecond
	// maxFreshIdleTime is the maximum idle time of a connection that is used for a request
	// that must not be retried.
	maxFreshIdleTime = 400 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection in bytes.
	readBufferBytes = 4096
)

// conn is a connection to a replica.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// reader reads through limiter, which reads through fields.
	limiter  *headLimiter
	fields   *fieldline.Reader
	lastUsed time.Time
	// announcedIdleTimeout is the idle timeout that the replica announced, or 0.
	announcedIdleTimeout time.Duration
	reused               bool
	// pooled is true if the connection was idle in the pool, also without an earlier request.
	pooled bool
	// unackedTimeout is the time that was last set with setUnackedTimeout.
	unackedTimeout time.Duration
	carried        carried
}

// acquire returns a usable idle connection or establishes a new one.
func (c *Client) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	if r.Unused {
		return c.dial(ctx, address, r.ID)
	}
	for {
		cn := c.popIdle(address, r.ID)
		if cn == nil {
			return c.dial(ctx, address, r.ID)
		}
		age := time.Since(cn.lastUsed)
		if age > c.maxIdleTime(cn) || (r.Fresh && age > maxFreshIdleTime) || !isReusable(cn) {
			c.discard(cn)
			continue
		}
		_ = cn.SetDeadline(time.Time{})
		cn.carried.add(r.ID)
		return cn, nil
	}
}

// maxIdleTime returns the maximum idle time of a connection.
func (c *Client) maxIdleTime(cn *conn) time.Duration {
	if cn.announcedIdleTimeout > 0 {
		return min(cn.announcedIdleTimeout-keepAliveMargin, c.opts.IdleTimeout)
	}
	return c.opts.IdleTimeout
}

// release returns a connection to the pool after a complete exchange.
func (c *Client) release(cn *conn) {
	cn.reused = true
	cn.lastUsed = time.Now()
	c.addIdle(cn)
}

// addIdle adds a connection to the pool, or closes it if the pool or its list of carried requests is
// full. If nothing was sent on it, its idle time goes on.
func (c *Client) addIdle(cn *conn) {
	cn.pooled = true
	c.mu.Lock()
	list := c.idle[cn.address]
	if len(list) < c.opts.IdlePerAddress && !cn.carried.full() {
		c.idle[cn.address] = append(list, cn)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.discard(cn)
}

func (c *Client) dial(ctx context.Context, address, id string) (*conn, error) {
	d := &net.Dialer{Timeout: c.opts.DialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fields := fieldline.NewReader(nc)
	limiter := &headLimiter{source: fields}
	cn := &conn{Conn: nc, address: address, lastUsed: time.Now(), limiter: limiter, fields: fields, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
	cn.carried.add(id)
	return cn, nil
}

// Refused reports whether a new connection to address is refused, which means that no
// process listens there.
func (c *Client) Refused(ctx context.Context, address string) bool {
	d := &net.Dialer{Timeout: c.opts.DialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = nc.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) discard(cn *conn) { cn.Close() }

// abort closes the connection of a failed exchange. If the context has ended, the connection is
// reset, which discards bytes of the request that are not delivered yet.
func (c *Client) abort(ctx context.Context, cn *conn) {
	if tcp, ok := cn.Conn.(*net.TCPConn); ok && ctx.Err() != nil {
		_ = tcp.SetLinger(0) // without it the connection is closed as usual
	}
	c.discard(cn)
}

// Prune closes the connections that exceeded their maximum idle time.
func (c *Client) Prune() {
	c.mu.Lock()
	var expired []*conn
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.lastUsed) > c.maxIdleTime(cn) {
				expired = append(expired, cn)
				continue
			}
			kept = append(kept, cn)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	for _, cn := range expired {
		c.discard(cn)
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, list := range idle {
		for _, cn := range list {
			c.discard(cn)
		}
	}
}

// keepAliveTimeout returns the idle timeout in the Keep-Alive header, or 0 if there is
// none.
func keepAliveTimeout(h http.Header) time.Duration {
	const prefix = "timeout="
	for _, part := range bytes.Split([]byte(h.Get("Keep-Alive")), []byte(",")) {
		value, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte(prefix))
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(string(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
