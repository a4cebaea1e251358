// Package httpjson implements engine.Client for model engines that speak the JSON
// messages of package wire over HTTP/1.1.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"masticbank.example/node/bounded"
	"masticbank.example/node/caller"
	"masticbank.example/node/engine"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/statusline"
	"masticbank.example/node/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// idlePerEngine bounds the idle connections kept open to one engine.
	idlePerEngine = 64
	// maxResponseBytes bounds the size of one response body.
	maxResponseBytes = 16 << 20
)

// Client implements engine.Client.
type Client struct {
	mu         sync.Mutex
	transports map[string]*fieldline.Transport // by address
}

var _ engine.Client = (*Client)(nil)

// New returns a client without open connections.
func New() *Client {
	return &Client{transports: map[string]*fieldline.Transport{}}
}

// Step implements engine.Client. A step whose client has left is not sent (see package caller).
func (c *Client) Step(ctx context.Context, t engine.Target, r *wire.StepRequest) (*wire.StepResponse, error) {
	if err := caller.Check(ctx); err != nil {
		return nil, newCallError(ctx, err, false)
	}
	out := &wire.StepResponse{}
	return out, c.call(ctx, c.transport(t), http.MethodPost, t, wire.PathStep, r, out)
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, t engine.Target, r *wire.CancelRequest) error {
	return c.call(ctx, c.transport(t), http.MethodPost, t, wire.PathCancel, r, nil)
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, t engine.Target) (*wire.LoadReport, error) {
	out := &wire.LoadReport{}
	return out, c.call(ctx, c.transport(t), http.MethodGet, t, wire.PathLoad, nil, out)
}

// Probe implements engine.Client.
func (c *Client) Probe(ctx context.Context, t engine.Target) error {
	transport := fieldline.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: bounded.MaxHeaderBytes})
	defer transport.CloseIdleConnections()
	return c.call(ctx, transport, http.MethodGet, t, wire.PathProbe, nil, nil)
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, t engine.Target, from uint64) (*wire.CacheEvents, error) {
	out := &wire.CacheEvents{}
	path := fmt.Sprintf("%s?from=%d", wire.PathCacheEvents, from)
	return out, c.call(ctx, c.transport(t), http.MethodGet, t, path, nil, out)
}

// AssignLayers implements engine.Client.
func (c *Client) AssignLayers(ctx context.Context, t engine.Target, a *wire.LayerAssignment) (*wire.LayerAssignmentResponse, error) {
	out := &wire.LayerAssignmentResponse{}
	return out, c.call(ctx, c.transport(t), http.MethodPost, t, wire.PathLayerAssignment, a, out)
}

// State implements engine.Client.
func (c *Client) State(ctx context.Context, t engine.Target) (*wire.EngineState, error) {
	var out struct {
		wire.EngineState
		FirstLayer *int `json:"first_layer"`
		LastLayer  *int `json:"last_layer"`
	}
	if err := c.call(ctx, c.transport(t), http.MethodGet, t, wire.PathState, nil, &out); err != nil {
		return nil, err
	}
	state := &out.EngineState
	switch {
	case out.FirstLayer != nil && out.LastLayer != nil:
		state.FirstLayer, state.LastLayer = *out.FirstLayer, *out.LastLayer
	case state.Model != "":
		return nil, fmt.Errorf("state of %s lacks the first or last layer that it holds", t.ID)
	}
	return state, nil
}

// ReplaceConnections implements engine.Client.
func (c *Client) ReplaceConnections(t engine.Target) {
	c.Release(t)
}

// Release implements engine.Client.
func (c *Client) Release(t engine.Target) {
	c.mu.Lock()
	tr := c.transports[t.Address]
	delete(c.transports, t.Address)
	c.mu.Unlock()
	if tr != nil {
		tr.CloseIdleConnections()
	}
}

func (c *Client) transport(t engine.Target) *fieldline.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	tr, ok := c.transports[t.Address]
	if !ok {
		tr = fieldline.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idlePerEngine,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		})
		c.transports[t.Address] = tr
	}
	return tr
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := caller.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return d.DialContext(ctx, network, address)
}

// call sends one request and decodes its response. Requests with a body are not
// replayable, so the transport never sends one twice by itself.
func (c *Client) call(ctx context.Context, tr *fieldline.Transport, method string, t engine.Target, path string, in, out any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, method, "http://"+t.Address+path, in)
	if err != nil {
		return &engine.CallError{Proof: engine.ProofNotSent, Code: engine.CodeProtocol, Err: err}
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return newCallError(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	if err := statusline.CheckFinal(resp, tr); err != nil {
		return &engine.CallError{Proof: engine.ProofNone, Code: engine.CodeProtocol, Err: err}
	}
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return newCallError(ctx, err, true)
	}
	return decodeResponse(resp.StatusCode, data, in, out)
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func newCallError(ctx context.Context, err error, connected bool) error {
	ce := &engine.CallError{Proof: engine.ProofNone, Code: engine.CodeConnection, Err: err}
	if !connected {
		ce.Proof = engine.ProofNotSent
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		ce.Code = engine.CodeTimeout
	case ctx.Err() != nil:
		ce.Code = engine.CodeCancelled
	case errors.Is(err, fieldline.ErrInvalid):
		ce.Code = engine.CodeProtocol
	}
	return ce
}

// refusalCodes holds the error codes with which an engine states that it did not
// execute the call.
var refusalCodes = map[string]bool{
	wire.CodeLeaving:        true,
	wire.CodeOverloaded:     true,
	wire.CodeWrongRange:     true,
	wire.CodeGap:            true,
	wire.CodeUnknownAttempt: true,
	wire.CodeMalformed:      true,
}

// errOtherStep means that a refusal does not identify the step that was sent. It may be an
// earlier response that the engine wrote once more.
var errOtherStep = errors.New("the refusal belongs to another step")

func decodeResponse(status int, data []byte, in, out any) error {
	if status < http.StatusBadRequest {
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return &engine.CallError{Code: engine.CodeProtocol, Err: err}
		}
		return nil
	}
	var body wire.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &engine.CallError{Code: engine.CodeProtocol, Err: fmt.Errorf("status %d: %w", status, err)}
	}
	if step, ok := in.(*wire.StepRequest); ok && (body.Step == nil || *body.Step != *step.ID()) {
		return &engine.CallError{Code: engine.CodeProtocol, Err: fmt.Errorf("%w: %s: %s", errOtherStep, body.Code, body.Message)}
	}
	ce := &engine.CallError{Code: body.Code, Err: errors.New(body.Message)}
	if refusalCodes[body.Code] {
		ce.Proof = engine.ProofRefused
	}
	return ce
}
