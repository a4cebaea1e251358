package httpjson_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/statusline"
	"masticbank.example/node/wire"
)

// requireNoResult requires that responses with the given head, which lacks the length, are neither results
// nor refusals: the step may have run.
func requireNoResult(t *testing.T, head string, cause error) {
	step := &wire.StepRequest{RequestID: "r", Attempt: 1}
	refusal, err := json.Marshal(wire.ErrorBody{Code: wire.CodeOverloaded, Step: step.ID()})
	require.NoError(t, err)
	s := fieldlinetest.Serve(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(refusal), refusal))
	c := httpjson.New()
	target := engine.Target{ID: "e", Address: s.Address}
	defer c.Release(target)
	_, err = c.Step(context.Background(), target, step)
	var failure *engine.CallError
	require.ErrorAs(t, err, &failure)
	require.ErrorIs(t, err, cause)
	require.Equal(t, engine.ProofNone, failure.Proof)
	require.Equal(t, engine.CodeProtocol, failure.Code)
	_, err = c.Load(context.Background(), target)
	require.ErrorIs(t, err, cause)
	require.ErrorIs(t, c.Probe(context.Background(), target), cause)
}

// TestInvalidStatusIsNoResponse guards against a response whose status is none that is taken for the
// result of a step, or for a refusal.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			requireNoResult(t, "HTTP/1.1 "+status+" x\r\n", statusline.ErrInvalid)
		})
	}
}

// TestInvalidFieldLineIsNoResponse guards against a response with an invalid field line that is taken for
// the result of a step, for a refusal or for a load report.
func TestInvalidFieldLineIsNoResponse(t *testing.T) {
	for fault, line := range fieldlinetest.Invalid {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nA: 1\r\n" + line,
			"HTTP/1.1 503 Service Unavailable\r\nA: 1\r\n" + line,
			"HTTP/1.1 103 Early Hints\r\nA: 1\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n",
		} {
			t.Run(fault+" "+head, func(t *testing.T) { requireNoResult(t, head, fieldline.ErrInvalid) })
		}
	}
}

// TestUnusualFieldLinesAreAccepted guards against valid field lines that are taken for invalid ones.
func TestUnusualFieldLinesAreAccepted(t *testing.T) {
	s := fieldlinetest.Serve(t, "HTTP/1.1 200 OK\r\n"+fieldlinetest.Unusual+"Content-Length: 2\r\n\r\n{}")
	c := httpjson.New()
	target := engine.Target{ID: "e", Address: s.Address}
	defer c.Release(target)
	for range 2 {
		_, err := c.Step(context.Background(), target, &wire.StepRequest{RequestID: "r", Attempt: 1})
		require.NoError(t, err)
	}
	require.NoError(t, c.Probe(context.Background(), target))
}
