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

// call posts a step in its own goroutine and sends the status to out.
func call(ctx context.Context, e *Engine, req wire.StepRequest, out chan<- int) {
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

func prefillOf(id string, priority, n int) wire.StepRequest {
	return wire.StepRequest{
		RequestID: id, Attempt: 1, Model: testModel, Version: "1",
		LastLayer: testLayers - 1, Prefill: true, Prompt: "p", Priority: priority,
		CoveredTokens: 100, MaxTokens: n,
	}
}

// Prefills over the slots wait by priority, then by arrival, and a batch shares
// the time of a step.
func TestSlotsAndPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := whole(Options{Slots: 2, PrefillTokensPerSecond: 1000, StepTime: time.Second})
		start := time.Now()
		type ended struct {
			id string
			at time.Duration
		}
		results := make(chan ended, 6)
		for _, c := range []struct {
			id       string
			priority int
		}{{"a", 2}, {"b", 2}, {"late", 2}, {"mid", 1}, {"urgent", 0}, {"later", 2}} {
			out := make(chan int, 1)
			call(t.Context(), e, prefillOf(c.id, c.priority, 1), out)
			synctest.Wait()
			go func() {
				<-out
				results <- ended{c.id, time.Since(start)}
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

// A resend of a step that still runs waits for it; it runs once.
func TestResendWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := whole(Options{PrefillTokensPerSecond: 100})
		out := make(chan int, 2)
		lost, cut := context.WithCancel(t.Context())
		req := prefillOf("r", 0, 2)
		call(lost, e, req, out)
		synctest.Wait()
		cut()
		require.Zero(t, <-out)
		req.Resend = true
		call(t.Context(), e, req, out)
		require.Equal(t, http.StatusOK, <-out)
		require.Equal(t, 1, e.Runs())
		require.Empty(t, e.Violations())
	})
}

// A waiting prefill whose caller leaves has not run and may be sent again.
func TestAbandonedPrefillLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := whole(Options{Slots: 1, MaxWaiting: 1, PrefillTokensPerSecond: 100})
		out := make(chan int, 2)
		call(t.Context(), e, prefillOf("holder", 0, 1), out)
		synctest.Wait()
		lost, cut := context.WithCancel(t.Context())
		waiting := make(chan int, 1)
		call(lost, e, prefillOf("r", 0, 1), waiting)
		synctest.Wait()
		require.Equal(t, http.StatusTooManyRequests, post(e, wire.PathStep, prefillOf("x", 0, 1), nil))
		cut()
		require.Zero(t, <-waiting)
		call(t.Context(), e, prefillOf("r", 0, 1), out)
		require.Equal(t, http.StatusOK, <-out)
		require.Equal(t, http.StatusOK, <-out)
		require.Equal(t, 2, e.Runs())
	})
}

// Idle and cancelled sequences lose their slot; their later steps are refused.
func TestIdleAndCancelledSequencesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := whole(Options{Slots: 2, IdleTimeout: 4 * time.Second})
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillOf("idle", 0, 9), nil))
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillOf("cancelled", 0, 9), nil))
		cancelled := wire.CancelRequest{RequestID: "cancelled", Attempt: 1}
		require.Equal(t, http.StatusNoContent, post(e, wire.PathCancel, cancelled, nil))
		require.Equal(t, 1, e.LoadReport().Running)
		time.Sleep(10 * time.Second)
		require.Zero(t, e.LoadReport().Running)
		for _, id := range []string{"idle", "cancelled"} {
			next := prefillOf(id, 0, 9)
			next.Prefill, next.Prompt, next.Position, next.Tokens = false, "", 1, []int{1}
			var refused wire.ErrorBody
			require.Equal(t, http.StatusNotFound, post(e, wire.PathStep, next, &refused))
			require.Equal(t, wire.CodeUnknownAttempt, refused.Code)
		}
		require.Empty(t, e.Violations())
	})
}

// Reports show the load of one lag ago; cached prefixes shorten the prefill.
func TestReportLagAndPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = time.Second
		e := whole(Options{
			ReportLag: lag, CacheBlocks: 2, CacheEventDelay: lag, IdleTimeout: time.Hour,
			PrefillTokensPerSecond: 1000,
		})
		time.Sleep(lag)
		req := prefillOf("r", 0, 9)
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

// A leaving engine finishes what it holds and refuses the rest; a slow one
// takes longer; both faults end by themselves when told so.
func TestLeavingAndSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := whole(Options{StepTime: time.Second})
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillOf("held", 0, 3), nil))
		require.NoError(t, e.Inject(fault.Fault{Kind: fault.Leaving}))
		require.NoError(t, e.Inject(fault.Fault{Kind: fault.Slow, Factor: 3, DurationMillis: 10_000}))
		var refused wire.ErrorBody
		require.Equal(t, http.StatusServiceUnavailable, post(e, wire.PathStep, prefillOf("new", 0, 3), &refused))
		require.Equal(t, wire.CodeLeaving, refused.Code)
		require.True(t, e.LoadReport().Leaving)

		next := prefillOf("held", 0, 3)
		next.Prefill, next.Prompt, next.Tokens, next.Position = false, "", []int{1}, 1
		start := time.Now()
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, next, nil))
		require.Equal(t, 3*time.Second, time.Since(start))
		time.Sleep(10 * time.Second)
		require.Equal(t, http.StatusOK, post(e, wire.PathStep, prefillOf("new", 0, 1), nil))
		require.False(t, e.LoadReport().Leaving)
	})
}
