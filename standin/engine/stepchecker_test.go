package engine

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

// TestStepCheckerAcrossEngines checks that the step checker detects a step that runs on
// two replicas and one that skips layers. A single engine sees only its own layer range
// and cannot detect them.
func TestStepCheckerAcrossEngines(t *testing.T) {
	checker := NewStepChecker(testLayers)
	start := func(first, last int) *Engine {
		e := New(Options{
			Model: testModel, Version: "1", Layers: testLayers, FirstLayer: first, LastLayer: last,
		})
		e.SetStepChecker(checker)
		return e
	}
	run := func(e *Engine, request string) wire.StepResponse {
		req := prefillRequest(request, 0, 1)
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
	for _, v := range checker.Violations() {
		codes = append(codes, v.RequestID+" "+v.Code)
	}
	require.Equal(t, []string{"twice " + wire.CodeRepeat, "skip " + wire.CodeGap}, codes)
	require.True(t, checker.Ran("skip"))
	require.False(t, checker.Ran("other"))
}

// TestCrashWithoutNetwork checks that a crashed engine without an attached server aborts
// the connection of every request.
func TestCrashWithoutNetwork(t *testing.T) {
	e := wholeModelEngine(Options{})
	out := make(chan int, 1)
	require.NoError(t, e.Inject(fault.Fault{Kind: fault.Crash}))
	postStepAsync(context.Background(), e, prefillRequest("r", 0, 1), out)
	require.Zero(t, <-out)
	e.Restore()
	postStepAsync(context.Background(), e, prefillRequest("r", 0, 1), out)
	require.Equal(t, http.StatusOK, <-out)
}
