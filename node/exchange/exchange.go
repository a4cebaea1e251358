// Package exchange sends one HTTP/1.1 request to a replica and reads its answer,
// with a pool of connections.
//
// It is used in place of net/http's transport where the router has to know
// whether anything was sent, must never send a request twice by itself, passes
// the request target on byte for byte, and must not take bytes that belong to an
// earlier request for an answer. Messages are parsed by net/http.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/bounded"
)

// Request is one request. The body is sent with its length.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that was used just now, or a new one, since the
	// request cannot be repeated.
	Fresh bool
}

// Error is a request without a usable answer.
type Error struct {
	// Sent is true when the replica may have read the request.
	Sent bool
	// Timeout is true when the deadline passed first.
	Timeout bool
	Err     error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is the head of an answer and its body. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Reused is true when the connection had served a request before.
	Reused bool

	conn   *conn
	client *Client
	stop   func() bool
	ended  bool
	broken bool
}

// Client keeps connections to replicas. It is safe for concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*conn
}

// Options configures a Client.
type Options struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that the replica states no time for.
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one replica.
	IdlePerAddress int
	// UnackedTimeout ends a connection whose data is not acknowledged; 0 leaves
	// the system's default.
	UnackedTimeout time.Duration
}

const (
	// keepAliveMargin is subtracted from the idle time that a replica states, for
	// the way there.
	keepAliveMargin = 500 * time.Millisecond
	// freshAge is the age of the last answer up to which a connection is good
	// enough for a request that cannot be repeated.
	freshAge = 400 * time.Millisecond
	// readBuffer is the size of the buffer of a connection, in bytes.
	readBuffer = 4096
)

type conn struct {
	net.Conn
	address  string
	reader   *bufio.Reader
	meter    *meter
	lastUsed time.Time
	// idleLimit is the idle time after which the replica closes it.
	idleLimit time.Duration
	used      bool
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{opts: o, idle: map[string][]*conn{}}
}

// Do sends a request to address (IP:port) and returns when the head of the answer
// is there. The error is an *Error. ctx bounds the whole exchange, the body too.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.get(ctx, address, r.Fresh)
	if err != nil {
		return nil, &Error{Timeout: timedOut(ctx, err), Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.exchange(cn, r)
	if err != nil {
		stop()
		c.drop(cn)
		return nil, &Error{Sent: true, Timeout: timedOut(ctx, err), Err: err}
	}
	resp.stop = stop
	return resp, nil
}

func (c *Client) exchange(cn *conn, r *Request) (*Response, error) {
	if _, err := cn.Write(encode(r)); err != nil {
		return nil, trace.Wrap(err, "sending to %s", cn.address)
	}
	cn.meter.limit(bounded.HeadBytes)
	resp, err := readHead(cn.reader, r.Method)
	if cn.meter.exceeded {
		return nil, trace.Wrap(ErrHeadTooLarge, "answer of %s", cn.address)
	}
	cn.meter.limit(unlimited)
	if err != nil {
		return nil, trace.Wrap(err, "answer of %s", cn.address)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Reused: cn.used, conn: cn, client: c}
	out.Body = &body{response: out, reader: resp.Body}
	out.broken = resp.Close
	cn.idleLimit = keepAlive(resp.Header)
	return out, nil
}

// readHead reads heads until one is final.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, trace.BadParameter("status 101 was not asked for")
		}
	}
}

// encode writes the head and body of a request. Headers have been checked by the
// server that parsed them.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// keepAlive returns the idle time that a replica states, or 0.
func keepAlive(h http.Header) time.Duration {
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

// body notes the end of the answer.
type body struct {
	response *Response
	reader   io.Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.response.ended = true
	case err != nil:
		b.response.broken = true
	}
	return n, err
}

// Close gives the connection back if the whole answer was read and nothing
// follows it, else closes it. Closing tells the replica to stop.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	// stop returns false when the context ended and the deadline of the
	// connection was moved to the past.
	intact := r.stop()
	if !intact || !r.ended || r.broken || cn.reader.Buffered() > 0 {
		r.client.drop(cn)
		return
	}
	r.client.put(cn)
}

// Discard marks the connection as unusable, so that Close closes it.
func (r *Response) Discard() { r.broken = true }

func (c *Client) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	for {
		cn := c.take(address)
		if cn == nil {
			return c.dial(ctx, address)
		}
		age := time.Since(cn.lastUsed)
		if age > c.limit(cn) || (fresh && age > freshAge) || !quiet(cn) {
			c.drop(cn)
			continue
		}
		_ = cn.SetDeadline(time.Time{})
		return cn, nil
	}
}

// limit is how long the connection may be idle.
func (c *Client) limit(cn *conn) time.Duration {
	if cn.idleLimit > 0 {
		return min(cn.idleLimit-keepAliveMargin, c.opts.IdleTimeout)
	}
	return c.opts.IdleTimeout
}

// take returns the connection used last, or nil.
func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(cn *conn) {
	cn.used = true
	cn.lastUsed = time.Now()
	c.mu.Lock()
	list := c.idle[cn.address]
	if len(list) < c.opts.IdlePerAddress {
		c.idle[cn.address] = append(list, cn)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.drop(cn)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	d := &net.Dialer{Timeout: c.opts.DialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := setUnackedTimeout(nc, c.opts.UnackedTimeout); err != nil {
		nc.Close()
		return nil, trace.Wrap(err, "connection to %s", address)
	}
	m := &meter{source: nc}
	return &conn{Conn: nc, address: address, meter: m, reader: bufio.NewReaderSize(m, readBuffer)}, nil
}

// Refused tells whether address refuses a new connection: nothing listens there.
func (c *Client) Refused(ctx context.Context, address string) bool {
	d := &net.Dialer{Timeout: c.opts.DialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = nc.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) drop(cn *conn) { cn.Close() }

// Prune closes the connections that were idle for too long.
func (c *Client) Prune() {
	c.mu.Lock()
	var old []*conn
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.lastUsed) > c.limit(cn) {
				old = append(old, cn)
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
	for _, cn := range old {
		c.drop(cn)
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
			c.drop(cn)
		}
	}
}

func timedOut(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
