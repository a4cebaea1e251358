package httpjson_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/caller"
	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/wire"
)

// TestStepOfClientThatLeftIsNotSent guards against steps that are sent on after their client has
// left. The engine must still be told to cancel what it runs for that client.
func TestStepOfClientThatLeftIsNotSent(t *testing.T) {
	var steps, cancels atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case wire.PathStep:
			steps.Add(1)
		case wire.PathCancel:
			cancels.Add(1)
		}
	}))
	defer s.Close()
	c := httpjson.New()
	target := engine.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://")}
	defer c.Release(target)
	base, cancel := context.WithCancel(context.Background())
	ctx := caller.WithConnection(base, cancel)
	require.NoError(t, c.Cancel(context.WithoutCancel(ctx), target, &wire.CancelRequest{}))
	_, err := c.Step(ctx, target, &wire.StepRequest{})
	var failure *engine.CallError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, engine.ProofNotSent, failure.Proof)
	require.Equal(t, engine.CodeCancelled, failure.Code)
	require.Zero(t, steps.Load())
	require.EqualValues(t, 1, cancels.Load())
}

// TestMissingLayerOfAStateIsTheFirst guards against steps for the first layer that are sent to an engine
// whose state does not say which layers it holds.
func TestMissingLayerOfAStateIsTheFirst(t *testing.T) {
	state := func(body string) (*wire.EngineState, error) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer s.Close()
		c := httpjson.New()
		target := engine.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://")}
		defer c.Release(target)
		return c.State(context.Background(), target)
	}
	got, err := state(`{"model":"m","version":"2","first_layer":0,"last_layer":3,"fence":7}`)
	require.NoError(t, err)
	require.Equal(t, &wire.EngineState{Model: "m", Version: "2", LastLayer: 3, Fence: 7}, got)
	for _, body := range []string{`{}`, `null`, `{"model":"","first_layer":null}`} {
		got, err := state(body)
		require.NoError(t, err, body)
		require.Equal(t, &wire.EngineState{}, got, "an engine may hold no model: %s", body)
	}
	for _, body := range []string{`{"model":"m"}`, `{"model":"m","last_layer":3}`, `{"model":"m","first_layer":0}`, `{"model":"m","first_layer":0,"last_layer":null}`} {
		_, err := state(body)
		require.Error(t, err, body)
	}
}
