// Package service is an HTTP client for plain services, which run beside the model
// engines. It sends non-idempotent calls at most once.
package service

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"masticbank.example/core/execution"
	"masticbank.example/node/bounded"
	"masticbank.example/node/caller"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/statusline"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = 90 * time.Second
	idlePerHost      = 64
	maxResponseBytes = 16 << 20
)

// Call is one request to a service.
type Call struct {
	Method string
	// Path is the path and query sent to the service.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is true if the call may be sent more than once.
	Idempotent bool
}

// Response is the response of a service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error describes a call that got no complete response.
type Error struct {
	// Execution is NotRun only if nothing was written to the service.
	Execution execution.Status
	Err       error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls services over HTTP/1.1. It is safe for concurrent use.
type Client struct {
	pooled *fieldline.Transport
	// unpooled opens a new connection for each call. A transport resends a request by
	// itself only on a reused connection.
	unpooled *fieldline.Transport
}

// New returns a client without open connections.
func New() *Client {
	d := &caller.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return &Client{
		pooled: fieldline.NewTransport(&http.Transport{
			DialContext:            d.DialContext,
			MaxIdleConnsPerHost:    idlePerHost,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		}),
		unpooled: fieldline.NewTransport(&http.Transport{
			DialContext:            d.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		}),
	}
}

// Do sends the call to the service at address (host:port). Errors are of type *Error. A call
// whose client has left is not sent (see package caller).
func (c *Client) Do(ctx context.Context, address string, call Call) (*Response, error) {
	if err := caller.Check(ctx); err != nil {
		return nil, &Error{Execution: execution.NotRun, Err: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Error{Execution: execution.NotRun, Err: err}
	}
	req.Header = call.Header.Clone()
	tr := c.pooled
	if !call.Idempotent {
		tr = c.unpooled
		// Without GetBody the transport cannot send the body again.
		req.GetBody = nil
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, newError(err, connected.Load())
	}
	defer resp.Body.Close()
	if err := statusline.CheckFinal(resp, tr); err != nil {
		return nil, newError(err, true)
	}
	body, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, newError(err, true)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

func newError(err error, connected bool) error {
	status := execution.NotRun
	if connected {
		status = execution.Unknown
	}
	return &Error{Execution: status, Err: err}
}
