package engine

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/node/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const (
	testModel  = "m"
	testLayers = 7
	testPrompt = "a prompt that is longer than one prefix block of sixty-four bytes, by a little"
)

// post sends a message to an engine, decodes the response into out and returns the
// status.
func post(e *Engine, path string, message, out any) int {
	body, _ := json.Marshal(message)
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	if out != nil {
		_ = json.Unmarshal(w.Body.Bytes(), out)
	}
	return w.Code
}

// drawTiling returns one engine per layer range of a random tiling.
func drawTiling(t *rapid.T, checker *StepChecker) []*Engine {
	var stages []*Engine
	for first := 0; first < testLayers; {
		last := rapid.IntRange(first, testLayers-1).Draw(t, "last")
		e := New(Options{
			ID: fmt.Sprint(first), Model: testModel, Version: "1", Layers: testLayers,
			FirstLayer: first, LastLayer: last, CacheBlocks: 8,
		})
		e.SetStepChecker(checker)
		stages = append(stages, e)
		first = last + 1
	}
	return stages
}

// runStep sends one position through all stages and returns the generated token.
func runStep(stages []*Engine, req wire.StepRequest) (wire.Token, error) {
	var response wire.StepResponse
	for _, e := range stages {
		o := e.Options()
		req.FirstLayer, req.LastLayer = o.FirstLayer, o.LastLayer
		if o.FirstLayer > 0 {
			req.Prompt, req.Tokens, req.Hidden = "", nil, response.Hidden
		}
		response = wire.StepResponse{}
		if status := post(e, wire.PathStep, req, &response); status != http.StatusOK {
			return wire.Token{}, fmt.Errorf("stage %s: status %d", o.ID, status)
		}
	}
	return *response.Token, nil
}

// stepRequest returns the request of a step, or of a prefill up to its position, after
// the given tokens.
func stepRequest(attempt, position, n int, tokens []wire.Token, prefill bool) wire.StepRequest {
	req := wire.StepRequest{
		RequestID: "r", Attempt: attempt, Position: position, Model: testModel, Version: "1",
		Prefill: prefill, MaxTokens: n, CoveredTokens: 1,
	}
	if prefill {
		req.Prompt = testPrompt
		req.CoveredTokens = len(testPrompt)/bytesPerToken + position
	}
	for i, token := range tokens {
		if prefill || i == len(tokens)-1 {
			req.Tokens = append(req.Tokens, token.ID)
		}
	}
	return req
}

// TestOutputIsIndependentOfTilingAndResume checks that the output equals the expected
// one whatever the tiling and the positions at which a new attempt resumes.
func TestOutputIsIndependentOfTilingAndResume(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		checker := NewStepChecker(testLayers)
		var tokens []wire.Token
		for attempt := 0; len(tokens) < n; attempt++ {
			stages := drawTiling(t, checker)
			end := rapid.IntRange(len(tokens)+1, n).Draw(t, "end")
			for prefill := true; len(tokens) < end; prefill = false {
				token, err := runStep(stages, stepRequest(attempt, len(tokens), n, tokens, prefill))
				require.NoError(t, err)
				tokens = append(tokens, token)
			}
			for _, e := range stages {
				require.Empty(t, e.Violations())
			}
		}
		require.Equal(t, ExpectedTokens(testModel, testLayers, testPrompt, n), tokens)
		require.Empty(t, checker.Violations())
	})
}

// TestOutputDependsOnEveryLayer checks that the output changes if a layer is skipped, run
// twice or run out of order.
func TestOutputDependsOnEveryLayer(t *testing.T) {
	right := ExpectedTokens(testModel, testLayers, testPrompt, 1)[0]
	run := func(layers ...int) wire.Token {
		states := make([]layerState, testLayers)
		hidden := embedPrompt(testModel, testPrompt)
		for _, l := range layers {
			hidden = states[l].run(l, hidden)
		}
		return tokenOf(hidden)
	}
	require.Equal(t, right.ID, run(0, 1, 2, 3, 4, 5, 6).ID)
	require.NotEqual(t, right.ID, run(0, 1, 2, 4, 5, 6).ID)
	require.NotEqual(t, right.ID, run(0, 1, 2, 3, 3, 4, 5, 6).ID)
	require.NotEqual(t, right.ID, run(0, 2, 1, 3, 4, 5, 6).ID)
}

// wholeModelEngine returns an engine that holds all layers.
func wholeModelEngine(o Options) *Engine {
	o.Model, o.Version, o.Layers, o.LastLayer = testModel, "1", testLayers, testLayers-1
	return New(o)
}

func TestGapsAndRepeatsAreRefusedAndRecorded(t *testing.T) {
	e := wholeModelEngine(Options{})
	var first, again wire.StepResponse
	var refused wire.ErrorBody
	prefill := stepRequest(1, 0, 4, nil, true)
	prefill.LastLayer = testLayers - 1
	require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefill, &first))

	require.Equal(t, http.StatusConflict, post(e, wire.PathStep, prefill, &refused))
	require.Equal(t, wire.CodeRepeat, refused.Code)
	prefill.Resend = true
	require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefill, &again))
	require.Equal(t, first, again)

	gap := stepRequest(1, 2, 4, []wire.Token{*first.Token}, false)
	gap.LastLayer = testLayers - 1
	require.Equal(t, http.StatusConflict, post(e, wire.PathStep, gap, &refused))
	require.Equal(t, wire.CodeGap, refused.Code)

	unknown := stepRequest(2, 1, 4, []wire.Token{*first.Token}, false)
	unknown.LastLayer = testLayers - 1
	require.Equal(t, http.StatusNotFound, post(e, wire.PathStep, unknown, &refused))
	require.Equal(t, wire.CodeUnknownAttempt, refused.Code)

	wrong := stepRequest(3, 0, 4, nil, true)
	wrong.LastLayer = 2
	require.Equal(t, http.StatusConflict, post(e, wire.PathStep, wrong, &refused))
	require.Equal(t, wire.CodeWrongRange, refused.Code)

	require.Equal(t, 1, e.Runs())
	violations := e.Violations()
	require.Len(t, violations, 2)
	require.Equal(t, wire.CodeRepeat, violations[0].Code)
	require.Equal(t, wire.CodeGap, violations[1].Code)
}

// TestResendAfterTheEnd checks that after the end of an attempt its last step can be sent
// again, older results are discarded, and a further step is a gap.
func TestResendAfterTheEnd(t *testing.T) {
	e := wholeModelEngine(Options{})
	var last, again wire.StepResponse
	for position := range 3 {
		req := stepRequest(1, position, 3, []wire.Token{{ID: 7}}, position == 0)
		req.LastLayer = testLayers - 1
		if req.Prefill {
			req.Tokens = nil
		}
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, req, &last))
	}
	require.Equal(t, finishLength, last.Token.Finish)
	resend := stepRequest(1, 2, 3, []wire.Token{{ID: 7}}, false)
	resend.LastLayer, resend.Resend = testLayers-1, true
	require.Equal(t, http.StatusOK, post(e, wire.PathStep, resend, &again))
	require.Equal(t, last, again)
	resend.Position = 1
	require.Equal(t, http.StatusNotFound, post(e, wire.PathStep, resend, nil))
	require.Equal(t, 3, e.Runs())
	require.Empty(t, e.Violations())
	resend.Position, resend.Resend = 3, false
	require.Equal(t, http.StatusConflict, post(e, wire.PathStep, resend, nil))
	require.Len(t, e.Violations(), 1)
}
