// Package service calls plain services beside the model engines. A call that
// may not be repeated is sent at most once.
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
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 90 * time.Second
	idlePerHost    = 64
	maxAnswerBytes = 16 << 20
)

// Call is one request to a service.
type Call struct {
	Method string
	// Path is the path and query that the service sees.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is true when the call may be repeated.
	Idempotent bool
}

// Answer is the service's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is a call without an answer.
type Error struct {
	// Execution is NotRun only when nothing was written to the service.
	Execution execution.Status
	Err       error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls services by HTTP/1.1. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	// single opens a connection for each call: a transport resends a call by
	// itself only on a connection that was used before.
	single *http.Transport
}

// New returns a client without connections.
func New() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		pooled: &http.Transport{
			DialContext:            d.DialContext,
			MaxIdleConnsPerHost:    idlePerHost,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: bounded.HeadBytes,
		},
		single: &http.Transport{
			DialContext:            d.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: bounded.HeadBytes,
		},
	}
}

// Do sends the call to the service at address (host:port). The error is an
// *Error.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
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
		tr = c.single
		// Without GetBody the transport cannot send the body again.
		req.GetBody = nil
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, callError(err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, callError(err, true)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

func callError(err error, connected bool) error {
	status := execution.NotRun
	if connected {
		status = execution.Unknown
	}
	return &Error{Execution: status, Err: err}
}
