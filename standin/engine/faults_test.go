package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

// client sends steps to an engine over HTTP, on connections of its own.
type client struct {
	http    http.Client
	address string
}

func newClient(t *testing.T, s *Server) *client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &client{http: http.Client{Transport: transport}, address: "http://" + s.Address()}
}

func (c *client) step(req wire.StepRequest) (wire.StepResponse, error) {
	var out wire.StepResponse
	body, _ := json.Marshal(req)
	r, err := c.http.Post(c.address+wire.PathStep, "application/json", bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return out, err
	}
	if r.StatusCode != http.StatusOK {
		return out, errors.New(string(data))
	}
	return out, json.Unmarshal(data, &out)
}

// serveWholeModel starts an engine with all layers behind a server.
func serveWholeModel(t *testing.T) (*Engine, *Server) {
	e := wholeModelEngine(Options{})
	s, err := Listen("127.0.0.1:0", e)
	require.NoError(t, err)
	e.AttachNetwork(s)
	t.Cleanup(func() {
		e.Close()
		s.Close()
	})
	return e, s
}

func TestResponseFaults(t *testing.T) {
	e, s := serveWholeModel(t)
	c := newClient(t, s)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.CloseMidResponse}))
	_, err := c.step(prefillRequest("half", 0, 1))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)

	require.NoError(t, e.Inject(fault.Fault{Kind: fault.WrongRequestID}))
	response, err := c.step(prefillRequest("mine", 0, 1))
	require.NoError(t, err)
	require.Equal(t, "foreign-mine", response.RequestID)

	for _, kind := range []fault.Kind{fault.DuplicateResponse, fault.DelayedDuplicate} {
		require.NoError(t, e.Inject(fault.Fault{Kind: kind, DelayMillis: 1}))
		body, _ := json.Marshal(prefillRequest(string(kind), 0, 1))
		require.Equal(t, 2, countRawResponses(t, s, body))
	}
	response, err = c.step(prefillRequest("after", 0, 1))
	require.NoError(t, err)
	require.Equal(t, "after", response.RequestID)
	require.ErrorIs(t, e.Inject(fault.Fault{Kind: "none"}), fault.ErrUnknown)
}

// TestHangConnections checks that connections opened before the fault get no response,
// while new ones work.
func TestHangConnections(t *testing.T) {
	e, s := serveWholeModel(t)
	before, after := newClient(t, s), newClient(t, s)
	_, err := before.step(prefillRequest("first", 0, 1))
	require.NoError(t, err)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.HangConnections}))
	hung := make(chan error, 1)
	go func() {
		_, err := before.step(prefillRequest("silent", 0, 1))
		hung <- err
	}()
	_, err = after.step(prefillRequest("new", 0, 1))
	require.NoError(t, err)
	require.Empty(t, hung)
	e.Restore()
	require.NoError(t, <-hung)
	require.Equal(t, 3, e.Runs())
}

// TestPoisonCrashesEngine checks that a prompt with the poison text crashes the engine,
// and that the engine loses its sequences.
func TestPoisonCrashesEngine(t *testing.T) {
	e, s := serveWholeModel(t)
	c := newClient(t, s)
	_, err := c.step(prefillRequest("held", 0, 9))
	require.NoError(t, err)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.Poison, Text: "po"}))
	poisoned := prefillRequest("bad", 0, 9)
	poisoned.Prompt = "a poison"
	_, err = c.step(poisoned)
	require.Error(t, err)
	_, err = newClient(t, s).step(prefillRequest("refused", 0, 1))
	require.ErrorContains(t, err, "refused")
	e.Restore()
	next := prefillRequest("held", 0, 9)
	next.Prefill, next.Prompt, next.Position, next.Tokens = false, "", 1, []int{1}
	_, err = c.step(next)
	require.ErrorContains(t, err, wire.CodeUnknownAttempt)
}

func TestFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := wholeModelEngine(Options{Fencing: fencing})
		target := wire.LayerAssignment{Fence: 5, Model: testModel, Version: "2", LastLayer: testLayers - 1}
		var response wire.LayerAssignmentResponse
		require.Equal(t, http.StatusOK, post(e, wire.PathLayerAssignment, target, &response))
		require.Equal(t, wire.LayerAssignmentResponse{Accepted: true, Fence: 5}, response)
		target.Fence, target.Version = 4, "1"
		require.Equal(t, http.StatusOK, post(e, wire.PathLayerAssignment, target, &response))
		require.Equal(t, wire.LayerAssignmentResponse{Accepted: !fencing, Fence: 5}, response)
		wantVersion := map[bool]string{true: "2", false: "1"}[fencing]
		require.Equal(t, wantVersion, e.State().Version)
	}
}

// countRawResponses sends a request on a connection of its own and counts the responses.
func countRawResponses(t *testing.T, s *Server, body []byte) int {
	conn, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+wire.PathStep, bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, request.Write(conn))
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	return bytes.Count(data, []byte("HTTP/1.1 200 OK"))
}

// TestHangAll checks that with this fault new connections get no response either.
func TestHangAll(t *testing.T) {
	e, s := serveWholeModel(t)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.HangAll}))
	hung := make(chan error, 1)
	go func() {
		_, err := newClient(t, s).step(prefillRequest("silent", 0, 1))
		hung <- err
	}()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.faults.seenAddresses) > 0
	}, 5*time.Second, time.Millisecond)
	require.Zero(t, e.Runs())
	require.Empty(t, hung)
	e.Restore()
	require.NoError(t, <-hung)
}
