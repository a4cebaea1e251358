// Package exchange implements an HTTP/1.1 client with a connection pool for requests to
// replicas.
//
// It replaces net/http's transport because the router must know whether any part of a
// request was sent, must never retry a request implicitly, must forward the request
// target byte for byte, and must not mistake bytes that belong to an earlier request for
// a response. Messages are parsed by net/http.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/bounded"
	"masticbank.example/node/caller"
	"masticbank.example/node/statusline"
)

// Request is one request. Its body is sent with a Content-Length.
type Request struct {
	// ID, if set, is the ID that the replica states in its response. A connection carries an
	// ID only once: a response that the replica writes again could not be told from the
	// response to a second request with the same ID.
	ID     string
	Method string
	// Target is the request target exactly as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend, if set, is called after all waits, right before the request is encoded and
	// sent. It may replace Header. If it returns an error, the request is not sent. It is called
	// again if the replica has closed the connection meanwhile, so that another one is used.
	BeforeSend func() error
	// Fresh requires a new or very recently used connection. It is set for requests that
	// must not be retried.
	Fresh bool
	// Last is set if no other replica can take over: the request may not be sent again. Its data
	// may stay unacknowledged for longer.
	Last bool
	// Unused requires a connection that has carried no request. It is set for requests
	// without an ID, whose responses could not be told from earlier ones.
	Unused bool
}

// Error is the error of a request without a usable response.
type Error struct {
	// Sent is true if the replica may have received the request.
	Sent bool
	// Withheld is true if nothing was sent for a reason that is not the replica's: the
	// context had ended, the client had left, or the request's BeforeSend failed.
	Withheld bool
	// Timeout is true if a timeout expired or the context ended.
	Timeout bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is the head of a response and a reader of its body. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Reused is true if the connection was used by an earlier request.
	Reused bool

	conn             *conn
	client           *Client
	stopCancellation func() bool
	complete         bool
	notReusable      bool
}

// Client sends requests to replicas and keeps idle connections for reuse. It is safe for
// concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*conn
}

// Options configures a Client.
type Options struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is the maximum idle time of a connection. It is shorter if the replica
	// announces a shorter one.
	IdleTimeout time.Duration
	// IdlePerAddress is the maximum number of idle connections to one replica.
	IdlePerAddress int
	// UnackedTimeout is the time after which a connection with unacknowledged data is
	// closed; 0 means the system's default. UnackedTimeoutLast, if set, replaces it for requests
	// that may not be sent again: their replica may only be silent for a moment.
	UnackedTimeout     time.Duration
	UnackedTimeoutLast time.Duration
}

// New returns a client without open connections.
func New(o Options) *Client {
	return &Client{opts: o, idle: map[string][]*conn{}}
}

// Do sends a request to address (IP:port) and returns when the head of the response was
// received. The error is an *Error. The end of ctx aborts the whole exchange, including
// reading the body. A request is not sent if its client no longer waits (see package caller) or
// if its BeforeSend fails.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	if err := caller.Check(ctx); err != nil {
		return nil, &Error{Withheld: true, Timeout: true, Err: err}
	}
	cn, data, err := c.ready(ctx, address, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.roundTrip(cn, r, data)
	if err != nil {
		stop()
		c.abort(ctx, cn)
		return nil, &Error{Sent: true, Timeout: timedOut(ctx, err), Err: err}
	}
	resp.stopCancellation = stop
	return resp, nil
}

// ready returns a connection for a request, and the request's encoding. The error is an *Error. The
// steps after the connection was taken from the pool take time, in which its replica may close it, so
// it is looked at once more: a request on it would count as sent.
func (c *Client) ready(ctx context.Context, address string, r *Request) (*conn, []byte, error) {
	for {
		cn, err := c.acquire(ctx, address, r)
		if err != nil {
			return nil, nil, &Error{Withheld: errors.Is(ctx.Err(), context.Canceled), Timeout: timedOut(ctx, err), Err: err}
		}
		data, err := prepare(ctx, r)
		if err == nil {
			err = cn.setUnackedTimeout(c.unackedTimeout(r))
		}
		if err != nil {
			c.addIdle(cn)
			return nil, nil, &Error{Withheld: true, Timeout: timedOut(ctx, err), Err: err}
		}
		if !cn.pooled || isReusable(cn) {
			return cn, data, nil
		}
		c.discard(cn)
	}
}

// unackedTimeout returns the time after which a connection with unacknowledged data of the request is
// closed.
func (c *Client) unackedTimeout(r *Request) time.Duration {
	if r.Last && c.opts.UnackedTimeoutLast > 0 {
		return c.opts.UnackedTimeoutLast
	}
	return c.opts.UnackedTimeout
}

// prepare encodes a request, or returns why it must not be sent. The client is asked last, as the
// steps before take time.
func prepare(ctx context.Context, r *Request) ([]byte, error) {
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return nil, err
		}
	}
	data := encode(r)
	return data, caller.Check(ctx)
}

// roundTrip sends a request, whose encoding without a large body is given, on a connection and reads
// the head of the response.
func (c *Client) roundTrip(cn *conn, r *Request, encoded []byte) (*Response, error) {
	cn.fields.ExpectResponse()
	_, err := cn.Write(encoded)
	if err == nil && len(r.Body) > maxJoinedBytes {
		_, err = cn.Write(r.Body)
	}
	if err != nil {
		return nil, trace.Wrap(err, "sending request to %s", cn.address)
	}
	cn.limiter.setLimit(bounded.MaxHeaderBytes)
	resp, err := readHead(cn.reader, r.Method)
	if cn.limiter.exceeded {
		return nil, trace.Wrap(ErrHeadTooLarge, "response from %s", cn.address)
	}
	cn.limiter.setLimit(unlimited)
	if invalid := cn.fields.Err(); err != nil && invalid != nil {
		err = invalid
	}
	if err != nil {
		return nil, trace.Wrap(err, "response from %s", cn.address)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Reused: cn.reused, conn: cn, client: c}
	out.Body = &bodyReader{response: out, reader: resp.Body}
	out.notReusable = resp.Close
	cn.announcedIdleTimeout = keepAliveTimeout(resp.Header)
	return out, nil
}

// readHead reads response heads until the final one and skips interim ones.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := statusline.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// maxJoinedBytes is the maximum size of a body that is copied to be sent together with the head.
const maxJoinedBytes = 64 << 10

// encode encodes the head of a request, and its body unless it is large. The headers need no
// validation because the server that parsed them has validated them.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // writing to a bytes.Buffer never fails
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxJoinedBytes {
		b.Write(r.Body)
	}
	return b.Bytes()
}

// bodyReader reads the body of a response and records whether it was complete.
type bodyReader struct {
	response *Response
	reader   io.Reader
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.response.complete = true
	case err != nil:
		b.response.notReusable = true
	}
	return n, err
}

// Close returns the connection to the pool if the whole response was read and no further
// bytes follow it. Otherwise it closes the connection, which makes the replica cancel the
// request.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	// stopCancellation returns false if the context has ended, so that the connection's
	// deadline is in the past.
	stopped := r.stopCancellation()
	if !stopped || !r.complete || r.notReusable || cn.reader.Buffered() > 0 {
		r.client.discard(cn)
		return
	}
	r.client.release(cn)
}

// Discard marks the connection as not reusable, so that Close closes it.
func (r *Response) Discard() { r.notReusable = true }

// timedOut reports whether err was caused by a timeout or the end of ctx.
func timedOut(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
