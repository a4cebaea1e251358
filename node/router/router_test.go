package router

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"masticbank.example/core/attempt"
	"masticbank.example/core/execution"
	"masticbank.example/core/limit"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// withRouter runs f with a router whose replicas have responded to their first probe,
// after the tick that computes the capacity of its queue. f runs in a synctest bubble
// with its fake clock. When f returns, no capacity may be left in use.
func withRouter(t *testing.T, engines *fakeEngines, list []wire.Instance, f func(t *testing.T, r *Router, m *discardCounter)) {
	synctest.Test(t, func(t *testing.T) {
		m := &discardCounter{}
		r := newTestRouter(engines, m, list, 4)
		synctest.Wait()
		time.Sleep(tickPeriod)
		synctest.Wait()
		defer r.Close()
		f(t, r, m)
		synctest.Wait()
		require.Empty(t, leakedCapacity(r))
	})
}

// leakedCapacity describes what the router still counts as in use, or returns "".
func leakedCapacity(r *Router) string {
	p := r.pool(testModel)
	if s := p.queue.stats(0); s.InFlight != 0 || s.Queued != 0 {
		return fmt.Sprintf("queue: %d in flight, %d queued", s.InFlight, s.Queued)
	}
	if n := len(p.queue.waiting); n != 0 {
		return fmt.Sprintf("queue: %d goroutines waiting", n)
	}
	for _, u := range p.status().Upstreams {
		if u.InFlight != 0 {
			return fmt.Sprintf("route table: %d in flight on %s", u.InFlight, u.ID)
		}
	}
	for id, u := range p.upstreams {
		if len(u.probeWaiters) != 0 || len(u.runningSteps) != 0 || u.inFlight != 0 {
			return fmt.Sprintf("%s: %d pending probe results, %d steps, %d attempts", id, len(u.probeWaiters), len(u.runningSteps), u.inFlight)
		}
	}
	return ""
}

func testRequest(id string, tokens int, deadline time.Duration) *Request {
	now := time.Now()
	return &Request{
		ID: id, Workspace: workspaceName(0), Model: testModel, Prompt: "prompt",
		MaxTokens: tokens, Arrived: now, Deadline: now.Add(deadline),
	}
}

func completeResponse(id string, tokens int) []string {
	out := make([]string, 0, tokens)
	for i := range tokens {
		out = append(out, tokenText(id, i))
	}
	return out
}

// Responses to another request, attempt or position, and responses without the output
// of their stage, must be discarded; the client gets its own response complete and in
// order.
func TestMismatchedResponsesAreDiscarded(t *testing.T) {
	cases := map[string]struct {
		kind  attempt.DiscardReason
		alter func(*wire.StepResponse)
	}{
		"other request":      {attempt.DiscardMismatched, func(r *wire.StepResponse) { r.RequestID = "other" }},
		"late attempt":       {attempt.DiscardMismatched, func(r *wire.StepResponse) { r.Attempt-- }},
		"duplicate position": {attempt.DiscardMismatched, func(r *wire.StepResponse) { r.Position-- }},
		"position ahead":     {attempt.DiscardMismatched, func(r *wire.StepResponse) { r.Position++ }},
		"no output":          {attempt.DiscardMalformed, func(r *wire.StepResponse) { r.Hidden, r.Token = nil, nil }},
		"output of both a last and an inner stage": {attempt.DiscardMalformed, func(r *wire.StepResponse) {
			r.Hidden, r.Token = []byte{1}, &wire.Token{Text: "wrong"}
		}},
	}
	for name, c := range cases {
		for stage := range 3 {
			t.Run(fmt.Sprintf("%s at stage %d", name, stage), func(t *testing.T) {
				engines := &fakeEngines{}
				engines.onStep = func(_ context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
					resp := correctResponse(r)
					if r.Attempt == 1 && r.Position == 2 && r.FirstLayer == stage*testLayers/3 {
						c.alter(resp)
					}
					return resp, true, nil
				}
				withRouter(t, engines, fleet(3, 9), func(t *testing.T, r *Router, m *discardCounter) {
					sink := &textSink{}
					res := r.Generate(context.Background(), testRequest("a", 5, time.Minute), sink)
					require.True(t, res.Complete)
					require.Equal(t, completeResponse("a", 5), sink.texts)
					require.Equal(t, 2, res.Attempts)
					require.Equal(t, map[attempt.DiscardReason]int{c.kind: 1}, m.discarded)
				})
			})
		}
	}
}

// After a step times out, its replica is probed on a new connection. If the probe
// succeeds, the connections are replaced and the step is sent again in the same
// attempt. If it fails, the attempt is given up.
func TestUnansweredStepIsProbed(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("alive=", alive), func(t *testing.T) {
			engines := &fakeEngines{}
			unresponsive := ""
			engines.onStep = func(ctx context.Context, e engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
				if r.Position == 1 && r.FirstLayer > 0 && r.Attempt == 1 && !r.Resend {
					unresponsive = e.ID
					return nil, true, blockUntilDone(ctx)
				}
				return correctResponse(r), true, nil
			}
			engines.probe = func(e engine.Target) error {
				if e.ID == unresponsive && !alive {
					return connectionLostError()
				}
				return nil
			}
			withRouter(t, engines, fleet(2, 6), func(t *testing.T, r *Router, _ *discardCounter) {
				sink := &textSink{}
				res := r.Generate(context.Background(), testRequest("a", 3, time.Minute), sink)
				require.True(t, res.Complete)
				require.Equal(t, completeResponse("a", 3), sink.texts)
				if alive {
					require.Equal(t, 1, res.Attempts)
					require.Equal(t, []string{unresponsive}, engines.replaced)
					return
				}
				require.Equal(t, 2, res.Attempts)
				require.NotContains(t, res.Route, unresponsive)
			})
		})
	}
}

// A step that times out on every connection while its replica responds to probes ends
// the attempt. The replica must not be left with open calls.
func TestStepUnansweredAfterResend(t *testing.T) {
	engines := &fakeEngines{}
	engines.onStep = func(ctx context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
		if r.Position == 1 && r.FirstLayer > 0 && r.Attempt == 1 {
			return nil, true, blockUntilDone(ctx)
		}
		return correctResponse(r), true, nil
	}
	withRouter(t, engines, fleet(2, 6), func(t *testing.T, r *Router, _ *discardCounter) {
		sink := &textSink{}
		res := r.Generate(context.Background(), testRequest("a", 3, time.Minute), sink)
		require.True(t, res.Complete)
		require.Equal(t, completeResponse("a", 3), sink.texts)
		require.Equal(t, 2, res.Attempts)
	})
}

// The status not_run may be reported to the client only if every engine that was
// written to has refused.
func TestExecutionStatusIsProven(t *testing.T) {
	steps := func(outcomes ...string) func(context.Context, engine.Target, *wire.StepRequest) (*wire.StepResponse, bool, error) {
		n := 0
		return func(_ context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
			outcome := outcomes[min(n, len(outcomes)-1)]
			n++
			switch outcome {
			case "refused":
				return nil, false, refusalError(wire.CodeOverloaded)
			case "unsent":
				return nil, false, &engine.CallError{Proof: engine.ProofNotSent, Code: engine.CodeConnection, Err: errors.New("refused")}
			case "lost":
				return nil, false, connectionLostError()
			case "malformed":
				return nil, true, &engine.CallError{Code: engine.CodeProtocol, Err: errors.New("not JSON")}
			default:
				return correctResponse(r), true, nil
			}
		}
	}
	cases := []struct {
		outcomes []string
		want     execution.Status
	}{
		{[]string{"refused"}, execution.NotRun},
		{[]string{"unsent"}, execution.NotRun},
		{[]string{"unsent", "refused"}, execution.NotRun},
		{[]string{"lost", "refused"}, execution.Unknown},
		{[]string{"refused", "lost", "refused"}, execution.Unknown},
		{[]string{"malformed", "refused"}, execution.Unknown},
		{[]string{"answered", "refused"}, execution.Ran},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.outcomes), func(t *testing.T) {
			engines := &fakeEngines{onStep: steps(c.outcomes...)}
			withRouter(t, engines, fleet(2, 16), func(t *testing.T, r *Router, _ *discardCounter) {
				res := r.Generate(context.Background(), testRequest("a", 3, time.Minute), &textSink{})
				require.False(t, res.Complete)
				require.Equal(t, CodeAttemptsExhausted, res.Code)
				require.Equal(t, c.want, res.Execution)
			})
		})
	}
}

// A request whose deadline passes in the queue must be reported as not run, and no
// engine may receive it.
func TestDeadlineInQueue(t *testing.T) {
	engines := &fakeEngines{slots: limit.New().Limit()}
	var release chan struct{}
	engines.onStep = func(ctx context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
		select {
		case <-release:
			return correctResponse(r), true, nil
		case <-ctx.Done():
			return nil, true, blockUntilDone(ctx)
		}
	}
	withRouter(t, engines, fleet(1, 1), func(t *testing.T, r *Router, _ *discardCounter) {
		release = make(chan struct{})
		var running sync.WaitGroup
		slots := r.pool(testModel).queue.stats(0).Slots
		require.Positive(t, slots)
		for i := range slots {
			running.Go(func() {
				res := r.Generate(context.Background(), testRequest(fmt.Sprint("running-", i), 1, time.Minute), &textSink{})
				require.True(t, res.Complete)
			})
		}
		synctest.Wait()
		res := r.Generate(context.Background(), testRequest("late", 1, time.Second), &textSink{})
		require.Equal(t, CodeDeadlinePassed, res.Code)
		require.Equal(t, execution.NotRun, res.Execution)
		require.Empty(t, engines.stepsOf("late"))
		close(release)
		running.Wait()
	})
}

// If all replicas are leaving, requests must fail with the code for the deadline, not
// with the code for a client that disconnected.
func TestDeadlineWithoutRoute(t *testing.T) {
	engines := &fakeEngines{}
	engines.onStep = func(context.Context, engine.Target, *wire.StepRequest) (*wire.StepResponse, bool, error) {
		return nil, false, refusalError(wire.CodeLeaving)
	}
	withRouter(t, engines, fleet(1, 128), func(t *testing.T, r *Router, _ *discardCounter) {
		codes := make([]Code, 256)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() {
				codes[i] = r.Generate(context.Background(), testRequest(fmt.Sprint("r", i), 1, time.Second), &textSink{}).Code
			})
		}
		wg.Wait()
		for _, code := range codes {
			require.Equal(t, CodeDeadlinePassed, code)
		}
	})
}

// When the client disconnects, the attempt must be cancelled on every replica of the
// route, including those that have already responded.
func TestClientLeaving(t *testing.T) {
	for stage := range 3 {
		t.Run(fmt.Sprint("stage ", stage), func(t *testing.T) {
			engines := &fakeEngines{}
			ctx, leave := context.WithCancel(context.Background())
			engines.onStep = func(ctx context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
				if r.Position == 1 && r.FirstLayer == stage*testLayers/3 {
					leave()
					return nil, true, blockUntilDone(ctx)
				}
				return correctResponse(r), true, nil
			}
			withRouter(t, engines, fleet(3, 9), func(t *testing.T, r *Router, _ *discardCounter) {
				sink := &textSink{}
				res := r.Generate(ctx, testRequest("a", 5, time.Minute), sink)
				require.Equal(t, CodeCancelled, res.Code)
				require.Equal(t, execution.Ran, res.Execution)
				require.Equal(t, completeResponse("a", 1), sink.texts)
				synctest.Wait()
				var want []cancelledAttempt
				for _, id := range res.Route {
					want = append(want, cancelledAttempt{replica: id, request: "a", attempt: 1})
				}
				require.Len(t, want, 3)
				require.ElementsMatch(t, want, engines.cancelled)
			})
		})
	}
}

// When the client disconnects during the last token, all capacity must be freed, and
// the result must report that the request ran.
func TestClientLeavingAtLastToken(t *testing.T) {
	const tokens = 3
	engines := &fakeEngines{}
	withRouter(t, engines, fleet(2, 6), func(t *testing.T, r *Router, _ *discardCounter) {
		sink := &textSink{fail: func(position int) error {
			if position == tokens-1 {
				return errors.New("client disconnected")
			}
			return nil
		}}
		res := r.Generate(context.Background(), testRequest("a", tokens, time.Minute), sink)
		require.Equal(t, execution.Ran, res.Execution)
		require.Equal(t, 1, res.Attempts)
		synctest.Wait()
		require.Len(t, engines.cancelled, 2)
	})
}

// faultScript chooses the outcome of each step from a seed and the step's identity, so
// that it does not depend on the scheduling of goroutines.
type faultScript struct {
	seed uint64
	// faults is the percentage of steps that fail.
	faults int
}

func (s faultScript) draw(parts ...any) int {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.seed, parts)
	return int(h.Sum64() >> 32)
}

func (s faultScript) onStep(ctx context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
	n := s.draw(r.RequestID, r.Attempt, r.Position, r.FirstLayer, r.Resend)
	resp := correctResponse(r)
	if n%100 >= s.faults {
		return resp, true, nil
	}
	executed := n/100%2 == 0
	switch n / 200 % 7 {
	case 0:
		return nil, false, refusalError(wire.CodeOverloaded)
	case 1:
		return nil, false, &engine.CallError{Proof: engine.ProofNotSent, Code: engine.CodeConnection, Err: errors.New("refused")}
	case 2:
		return nil, executed, connectionLostError()
	case 3:
		return nil, executed, blockUntilDone(ctx)
	case 4:
		resp.RequestID = "other"
		return resp, true, nil
	case 5:
		resp.Hidden, resp.Token = nil, nil
		return resp, true, nil
	default:
		return nil, false, refusalError(wire.CodeLeaving)
	}
}

// probe succeeds for three probes in four.
func (s faultScript) probe(e engine.Target) error {
	if s.draw("probe", e.ID, time.Now().UnixNano())%4 == 0 {
		return connectionLostError()
	}
	return nil
}

// randomRequest is one randomly generated request and its outcome.
type randomRequest struct {
	id       string
	tokens   int
	deadline time.Duration
	// leaveAt is the position of the token at which the sink fails, or -1.
	leaveAt int
	// leaveAfter is the time after which the client disconnects, or 0.
	leaveAfter time.Duration

	res  Result
	sink textSink
}

func drawRequests(rt *rapid.T) []*randomRequest {
	out := make([]*randomRequest, rapid.IntRange(1, 24).Draw(rt, "requests"))
	for i := range out {
		out[i] = &randomRequest{
			id:         fmt.Sprint("r", i),
			tokens:     rapid.IntRange(1, 6).Draw(rt, "tokens"),
			deadline:   rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 10 * time.Second, time.Minute}).Draw(rt, "deadline"),
			leaveAt:    rapid.SampledFrom([]int{-1, -1, -1, 0, 2}).Draw(rt, "leaveAt"),
			leaveAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, 500 * time.Millisecond, 5 * time.Second}).Draw(rt, "leaveAfter"),
		}
	}
	return out
}

func (d *randomRequest) run(r *Router) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.leaveAfter > 0 {
		stop := time.AfterFunc(d.leaveAfter, cancel)
		defer stop.Stop()
	}
	d.sink.fail = func(position int) error {
		if position == d.leaveAt {
			return errors.New("client disconnected")
		}
		return nil
	}
	d.res = r.Generate(ctx, testRequest(d.id, d.tokens, d.deadline), &d.sink)
}

// check returns a description of what is wrong with the outcome, or "".
func (d *randomRequest) check(f *fakeEngines) string {
	want := completeResponse(d.id, d.tokens)
	if len(d.sink.texts) > len(want) || fmt.Sprint(d.sink.texts) != fmt.Sprint(want[:len(d.sink.texts)]) {
		return fmt.Sprintf("%s got %q", d.id, d.sink.texts)
	}
	// If the sink fails at the last token, either value of Complete is accepted.
	leftAtLast := d.leaveAt == d.tokens-1
	if !leftAtLast && d.res.Complete != (len(d.sink.texts) == len(want)) {
		return fmt.Sprintf("%s: complete is %v after %d of %d tokens", d.id, d.res.Complete, len(d.sink.texts), len(want))
	}
	if d.res.Code == CodeCancelled && d.leaveAfter == 0 && d.leaveAt < 0 {
		return d.id + ": cancelled although its client did not disconnect"
	}
	for _, s := range f.stepsOf(d.id) {
		if s.executed && d.res.Execution == execution.NotRun {
			return fmt.Sprintf("%s was reported as not_run after %s ran position %d", d.id, s.replica, s.position)
		}
	}
	return ""
}

// With random faults and disconnects, each request must end exactly once, no client
// may get a part of another's response or a wrong not_run, and all capacity must be
// freed.
func TestCapacityReturnsAfterEveryOutcome(t *testing.T) {
	seen := map[Code]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := faultScript{
			seed:   rapid.Uint64().Draw(rt, "seed"),
			faults: rapid.SampledFrom([]int{0, 5, 20, 60}).Draw(rt, "faults"),
		}
		stages := rapid.IntRange(1, 4).Draw(rt, "stages")
		list := fleet(stages, stages*rapid.IntRange(1, 4).Draw(rt, "replicas"))
		requests := drawRequests(rt)
		engines := &fakeEngines{onStep: s.onStep, probe: s.probe, slots: rapid.IntRange(1, 4).Draw(rt, "slots")}
		wrong := ""
		withRouter(t, engines, list, func(_ *testing.T, r *Router, _ *discardCounter) {
			var wg sync.WaitGroup
			for _, d := range requests {
				wg.Go(func() { d.run(r) })
			}
			wg.Wait()
			for _, d := range requests {
				seen[d.res.Code]++
				if problem := d.check(engines); problem != "" {
					wrong = problem
				}
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
	for _, code := range []Code{"", CodeDeadlinePassed, CodeCancelled, CodeAttemptsExhausted} {
		require.Positive(t, seen[code], "no request ended with code %q", code)
	}
}
