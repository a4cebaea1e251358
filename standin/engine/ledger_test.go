package engine

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

// A step that runs on two replicas, or skips layers, is seen over all engines,
// although each of them sees only its own part.
func TestLedgerSeesAcrossEngines(t *testing.T) {
	ledger := NewLedger(testLayers)
	start := func(first, last int) *Engine {
		e := New(Options{
			Model: testModel, Version: "1", Layers: testLayers, FirstLayer: first, LastLayer: last,
		})
		e.SetLedger(ledger)
		return e
	}
	run := func(e *Engine, request string) wire.StepResponse {
		req := prefillOf(request, 0, 1)
		o := e.Options()
		req.FirstLayer, req.LastLayer = o.FirstLayer, o.LastLayer
		req.Hidden = hiddenState{positions: []uint64{1}}.encode()
		var response wire.StepResponse
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, req, &response))
		return response
	}
	front, copyOfFront, back := start(0, 2), start(0, 2), start(5, 6)
	run(front, "twice")
	run(copyOfFront, "twice")
	run(front, "skip")
	run(back, "skip")
	var codes []string
	for _, v := range ledger.Violations() {
		codes = append(codes, v.RequestID+" "+v.Code)
	}
	require.Equal(t, []string{"twice " + wire.CodeRepeat, "skip " + wire.CodeGap}, codes)
	require.True(t, ledger.Ran("skip"))
	require.False(t, ledger.Ran("other"))
}

// A crashed engine behind a plain server cuts every connection that brings a
// request.
func TestCrashWithoutNetwork(t *testing.T) {
	e := whole(Options{})
	out := make(chan int, 1)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.Crash}))
	call(context.Background(), e, prefillOf("r", 0, 1), out)
	require.Zero(t, <-out)
	e.Restore()
	call(context.Background(), e, prefillOf("r", 0, 1), out)
	require.Equal(t, http.StatusOK, <-out)
}
