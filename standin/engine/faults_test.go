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

// client sends steps to a served engine over connections of its own.
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

func serveWhole(t *testing.T) (*Engine, *Server) {
	e := whole(Options{})
	s, err := Listen("127.0.0.1:0", e)
	require.NoError(t, err)
	e.Attach(s)
	t.Cleanup(func() {
		e.Close()
		s.Close()
	})
	return e, s
}

func TestAnswerFaults(t *testing.T) {
	e, s := serveWhole(t)
	c := newClient(t, s)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.CloseMidAnswer}))
	_, err := c.step(prefillOf("half", 0, 1))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)

	require.NoError(t, e.Inject(fault.Fault{Kind: fault.ForeignIdentity}))
	answer, err := c.step(prefillOf("mine", 0, 1))
	require.NoError(t, err)
	require.Equal(t, "foreign-mine", answer.RequestID)

	for _, kind := range []fault.Kind{fault.AnswerTwice, fault.DelayedDuplicate} {
		require.NoError(t, e.Inject(fault.Fault{Kind: kind, DelayMillis: 1}))
		body, _ := json.Marshal(prefillOf(string(kind), 0, 1))
		require.Equal(t, 2, rawAnswers(t, s, body))
	}
	answer, err = c.step(prefillOf("after", 0, 1))
	require.NoError(t, err)
	require.Equal(t, "after", answer.RequestID)
	require.ErrorIs(t, e.Inject(fault.Fault{Kind: "none"}), fault.ErrUnknown)
}

// Connections opened before the fault stay silent; new ones work.
func TestHangConnections(t *testing.T) {
	e, s := serveWhole(t)
	before, after := newClient(t, s), newClient(t, s)
	_, err := before.step(prefillOf("first", 0, 1))
	require.NoError(t, err)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.HangConnections}))
	silent := make(chan error, 1)
	go func() {
		_, err := before.step(prefillOf("silent", 0, 1))
		silent <- err
	}()
	_, err = after.step(prefillOf("new", 0, 1))
	require.NoError(t, err)
	require.Empty(t, silent)
	e.Restore()
	require.NoError(t, <-silent)
	require.Equal(t, 3, e.Runs())
}

// A poisoned prompt crashes the engine, which loses its sequences.
func TestPoisonCrashesEngine(t *testing.T) {
	e, s := serveWhole(t)
	c := newClient(t, s)
	_, err := c.step(prefillOf("held", 0, 9))
	require.NoError(t, err)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.Poison, Text: "po"}))
	poisoned := prefillOf("bad", 0, 9)
	poisoned.Prompt = "a poison"
	_, err = c.step(poisoned)
	require.Error(t, err)
	_, err = newClient(t, s).step(prefillOf("refused", 0, 1))
	require.ErrorContains(t, err, "refused")
	e.Restore()
	next := prefillOf("held", 0, 9)
	next.Prefill, next.Prompt, next.Position, next.Tokens = false, "", 1, []int{1}
	_, err = c.step(next)
	require.ErrorContains(t, err, wire.CodeUnknownAttempt)
}

func TestFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := whole(Options{Fencing: fencing})
		target := wire.Order{Fence: 5, Model: testModel, Version: "2", LastLayer: testLayers - 1}
		var answer wire.OrderResponse
		require.Equal(t, http.StatusOK, post(e, wire.PathOrder, target, &answer))
		require.Equal(t, wire.OrderResponse{Accepted: true, Fence: 5}, answer)
		target.Fence, target.Version = 4, "1"
		require.Equal(t, http.StatusOK, post(e, wire.PathOrder, target, &answer))
		require.Equal(t, wire.OrderResponse{Accepted: !fencing, Fence: 5}, answer)
		held := map[bool]string{true: "2", false: "1"}[fencing]
		require.Equal(t, held, e.State().Version)
	}
}

// rawAnswers counts the answers that one request gets on its connection.
func rawAnswers(t *testing.T, s *Server, body []byte) int {
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

// When everything hangs, new connections get no answer either.
func TestHangAll(t *testing.T) {
	e, s := serveWhole(t)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.HangAll}))
	silent := make(chan error, 1)
	go func() {
		_, err := newClient(t, s).step(prefillOf("silent", 0, 1))
		silent <- err
	}()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.faults.seen) > 0
	}, 5*time.Second, time.Millisecond)
	require.Zero(t, e.Runs())
	require.Empty(t, silent)
	e.Restore()
	require.NoError(t, <-silent)
}
