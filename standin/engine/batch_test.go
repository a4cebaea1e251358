package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

// postStepAsync posts a step in a goroutine of its own and sends the status to out, or 0
// if the engine aborted the connection.
func postStepAsync(ctx context.Context, e *Engine, req wire.StepRequest, out chan<- int) {
	body, _ := json.Marshal(req)
	r := httptest.NewRequest(http.MethodPost, wire.PathStep, strings.NewReader(string(body)))
	go func() {
		w := httptest.NewRecorder()
		defer func() {
			if recover() != nil {
				w.Code = 0
			}
			out <- w.Code
		}()
		e.ServeHTTP(w, r.WithContext(ctx))
	}()
}

func prefillRequest(id string, priority, n int) wire.StepRequest {
	return wire.StepRequest{
		RequestID: id, Attempt: 1, Model: testModel, Version: "1",
		LastLayer: testLayers - 1, Prefill: true, Prompt: "p", Priority: priority,
		CoveredTokens: 100, MaxTokens: n,
	}
}

// TestSlotsAndPriority checks that prefills beyond the slots wait in the order of their
// priority, then of their arrival, and that prefills in different slots run in parallel.
func TestSlotsAndPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := wholeModelEngine(Options{Slots: 2, PrefillTokensPerSecond: 1000, StepTime: time.Second})
		start := time.Now()
		type completion struct {
			id string
			at time.Duration
		}
		results := make(chan completion, 6)
		for _, c := range []struct {
			id       string
			priority int
		}{{"a", 2}, {"b", 2}, {"late", 2}, {"mid", 1}, {"urgent", 0}, {"later", 2}} {
			out := make(chan int, 1)
			postStepAsync(t.Context(), e, prefillRequest(c.id, c.priority, 1), out)
			synctest.Wait()
			go func() {
				<-out
				results <- completion{c.id, time.Since(start)}
			}()
		}
		at := map[string]time.Duration{}
		for range 6 {
			r := <-results
			at[r.id] = r.at
		}
		const prefill = 100 * time.Millisecond
		require.Equal(t, map[string]time.Duration{
			"a": prefill, "b": prefill, "urgent": 2 * prefill, "mid": 2 * prefill,
			"late": 3 * prefill, "later": 3 * prefill,
		}, at)
		require.Zero(t, e.LoadReport().Running)
	})
}

// TestResendWhileRunning checks that a resend of a step that is still running waits for
// it, and that the step runs once.
func TestResendWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := wholeModelEngine(Options{PrefillTokensPerSecond: 100})
		out := make(chan int, 2)
		ctx, cancel := context.WithCancel(t.Context())
		req := prefillRequest("r", 0, 2)
		postStepAsync(ctx, e, req, out)
		synctest.Wait()
		cancel()
		require.Zero(t, <-out)
		req.Resend = true
		postStepAsync(t.Context(), e, req, out)
		require.Equal(t, http.StatusOK, <-out)
		require.Equal(t, 1, e.Runs())
		require.Empty(t, e.Violations())
	})
}

// TestAbandonedPrefillLeavesQueue checks that a queued prefill whose client disconnects
// is removed from the queue without having run, and may be sent again.
func TestAbandonedPrefillLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := wholeModelEngine(Options{Slots: 1, MaxWaiting: 1, PrefillTokensPerSecond: 100})
		out := make(chan int, 2)
		postStepAsync(t.Context(), e, prefillRequest("holder", 0, 1), out)
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		waiting := make(chan int, 1)
		postStepAsync(ctx, e, prefillRequest("r", 0, 1), waiting)
		synctest.Wait()
		require.Equal(t, http.StatusTooManyRequests, post(e, wire.PathStep, prefillRequest("x", 0, 1), nil))
		cancel()
		require.Zero(t, <-waiting)
		postStepAsync(t.Context(), e, prefillRequest("r", 0, 1), out)
		require.Equal(t, http.StatusOK, <-out)
		require.Equal(t, http.StatusOK, <-out)
		require.Equal(t, 2, e.Runs())
	})
}

// TestIdleAndCancelledSequencesEnd checks that idle and cancelled sequences release their
// slots, and that later steps of them are refused.
func TestIdleAndCancelledSequencesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := wholeModelEngine(Options{Slots: 2, IdleTimeout: 4 * time.Second})
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillRequest("idle", 0, 9), nil))
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillRequest("cancelled", 0, 9), nil))
		cancelled := wire.CancelRequest{RequestID: "cancelled", Attempt: 1}
		require.Equal(t, http.StatusNoContent, post(e, wire.PathCancel, cancelled, nil))
		require.Equal(t, 1, e.LoadReport().Running)
		time.Sleep(10 * time.Second)
		require.Zero(t, e.LoadReport().Running)
		for _, id := range []string{"idle", "cancelled"} {
			next := prefillRequest(id, 0, 9)
			next.Prefill, next.Prompt, next.Position, next.Tokens = false, "", 1, []int{1}
			var refused wire.ErrorBody
			require.Equal(t, http.StatusNotFound, post(e, wire.PathStep, next, &refused))
			require.Equal(t, wire.CodeUnknownAttempt, refused.Code)
		}
		require.Empty(t, e.Violations())
	})
}

// TestReportLagAndPrefixCache checks that load reports and cache events show the state
// of one lag ago, and that the cache evicts the least recently used block.
func TestReportLagAndPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = time.Second
		e := wholeModelEngine(Options{
			ReportLag: lag, CacheBlocks: 2, CacheEventDelay: lag, IdleTimeout: time.Hour,
			PrefillTokensPerSecond: 1000,
		})
		time.Sleep(lag)
		req := prefillRequest("r", 0, 9)
		req.Prompt = strings.Repeat("x", 3*wire.PrefixBlockBytes)
		req.CoveredTokens = len(req.Prompt) / bytesPerToken
		var first, second wire.StepResponse
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, req, &first))
		require.Zero(t, first.CachedTokens)
		require.Zero(t, e.LoadReport().Running)
		require.Empty(t, e.cache.since(time.Now(), 0).Events)
		time.Sleep(lag)
		require.Equal(t, 1, e.LoadReport().Running)

		blocks := PrefixBlocks(req.Prompt)
		var events []wire.CacheEvent
		for _, event := range e.cache.since(time.Now(), 0).Events {
			event.Sequence = 0
			events = append(events, event)
		}
		require.Equal(t, []wire.CacheEvent{
			{Block: blocks[0]}, {Block: blocks[1]}, {Block: blocks[0], Evicted: true}, {Block: blocks[2]},
		}, events)
		req.RequestID = "again"
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, req, &second))
		require.Zero(t, second.CachedTokens, "the first block was evicted")
		synctest.Wait()
	})
}

// TestLeavingAndSlow checks that a leaving engine continues its sequences and refuses new
// attempts, that a slow one takes longer, and that both faults end after their duration.
func TestLeavingAndSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := wholeModelEngine(Options{StepTime: time.Second})
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillRequest("held", 0, 3), nil))
		require.NoError(t, e.Inject(fault.Fault{Kind: fault.Leaving}))
		require.NoError(t, e.Inject(fault.Fault{Kind: fault.Slow, Factor: 3, DurationMillis: 10_000}))
		var refused wire.ErrorBody
		require.Equal(t, http.StatusServiceUnavailable, post(e, wire.PathStep, prefillRequest("new", 0, 3), &refused))
		require.Equal(t, wire.CodeLeaving, refused.Code)
		require.True(t, e.LoadReport().Leaving)

		next := prefillRequest("held", 0, 3)
		next.Prefill, next.Prompt, next.Tokens, next.Position = false, "", []int{1}, 1
		start := time.Now()
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, next, nil))
		require.Equal(t, 3*time.Second, time.Since(start))
		time.Sleep(10 * time.Second)
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillRequest("new", 0, 1), nil))
		require.False(t, e.LoadReport().Leaving)
	})
}
