package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/attempt"
	"masticbank.example/core/execution"
	"masticbank.example/core/poison"
	"masticbank.example/core/retry"
	"masticbank.example/core/route"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

const (
	cancelTimeout = time.Second
	// maxAttempts bounds the routes tried for one request.
	maxAttempts = 6
)

// backoff spreads the waits before a new route.
var backoff = retry.Backoff{Base: 20 * time.Millisecond, Cap: 500 * time.Millisecond}

// run carries one request from the queue to its outcome.
type run struct {
	router *Router
	pool   *pool
	req    *Request
	sink   Sink
	// fingerprint identifies what is asked, whoever asks it.
	fingerprint poison.Fingerprint
	machine     *attempt.Machine
	hops        []route.Hop // of the current attempt
	result      Result
	// dispatched is true while admission counts the request as running.
	dispatched bool
	refusal    *admission.Effect
	lastToken  time.Time
	// releases counts the attempts that replicas still have to forget.
	releases sync.WaitGroup
	// call is the step under way, or the last one; broken tells that its
	// connection broke, expected the estimate of the answer's length.
	call     call
	broken   bool
	expected int
	// version is the model version of the current attempt.
	version string
	// poisoned tells that the request must not run again.
	poisoned bool
	// lastFailure describes the last step that failed.
	lastFailure string
}

// serve runs the request to its end. The context ends when the caller leaves.
func (x *run) serve(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, x.req.Deadline)
	defer cancel()
	x.expected = x.pool.expectedOutput(x.req)
	x.result = Result{RequestID: x.req.ID, Workspace: x.req.Workspace, Rank: x.req.Rank, Model: x.req.Model}
	effects := x.machine.Start()
	for len(effects) > 0 {
		next := effects[0]
		effects = effects[1:]
		event := x.perform(ctx, next)
		if event == nil {
			continue
		}
		if ends(event) {
			effects = nil
		}
		effects = append(effects, x.machine.Step(event)...)
	}
	x.result.Total = time.Since(x.req.Arrived)
	return x.result
}

// ends tells whether an event makes pending effects void.
func ends(e attempt.Event) bool {
	switch e.(type) {
	case attempt.Cancelled, attempt.Expired, attempt.Unroutable:
		return true
	default:
		return false
	}
}

// perform carries out one effect and returns the event that answers it, or nil.
func (x *run) perform(ctx context.Context, e attempt.Effect) attempt.Event {
	switch e := e.(type) {
	case attempt.Route:
		return x.route(ctx, e)
	case attempt.Send:
		return x.send(ctx, e)
	case attempt.Probe:
		return x.probe(ctx, e)
	case attempt.Emit:
		return x.emit(e)
	case attempt.Release:
		x.release(e)
	case attempt.Drop:
		x.result.Dropped++
		x.router.metrics.Dropped(e.Kind)
	case attempt.Finish:
		x.finish(e.Outcome)
	}
	return nil
}

func (x *run) route(ctx context.Context, e attempt.Route) attempt.Event {
	if e.Attempt == 1 {
		return x.firstRoute(ctx)
	}
	if e.Retry {
		x.result.Retries++
	}
	return x.nextRoute(ctx, e)
}

// firstRoute waits for admission and chooses the first chain.
func (x *run) firstRoute(ctx context.Context) attempt.Event {
	effect, err := x.pool.queue.enter(ctx, admission.Request{
		ID:        x.req.ID,
		Workspace: x.req.Workspace,
		Rank:      x.req.Rank,
		Cost:      float64(x.req.PromptTokens() + x.expected),
		Deadline:  x.req.Deadline,
	})
	for {
		if err != nil {
			return contextEvent(ctx)
		}
		if effect.Kind == admission.Refuse {
			x.refusal = &effect
			return attempt.Unroutable{Reason: refusalMessage(effect)}
		}
		x.dispatched = true
		d := x.pool.choose(x.routeRequest(nil))
		if d.Outcome == route.Chosen {
			x.result.QueueWait = time.Since(x.req.Arrived)
			x.pool.first()
			return x.routed(d.Chain)
		}
		x.dispatched = false
		effect, err = x.pool.queue.reenter(ctx, x.req.ID)
	}
}

// nextRoute chooses a chain for a later attempt, as soon as there is one and the
// retry budget pays for it.
func (x *run) nextRoute(ctx context.Context, e attempt.Route) attempt.Event {
	if x.poisoned {
		return attempt.Unroutable{Reason: string(CodePoison)}
	}
	paid := !e.Retry
	for try := e.Attempt - 2; ; try++ {
		delay, ok := backoff.Delay(try, rand.Uint64(), time.Now(), x.req.Deadline, 0)
		if !ok || !sleep(ctx, delay) {
			return contextEvent(ctx)
		}
		if !paid {
			paid = x.pool.mayRetry()
		}
		if !paid {
			continue
		}
		d := x.pool.choose(x.routeRequest(x.exclude(e.Exclude)))
		if d.Outcome == route.Chosen {
			x.router.poisons.place(x.fingerprint, hopIDs(d.Chain.Hops))
			return x.routed(d.Chain)
		}
	}
}

// exclude adds the replicas that a suspect of a crash is to keep away from.
func (x *run) exclude(failed []string) []string {
	return append(slices.Clone(failed), x.router.poisons.avoid(x.fingerprint)...)
}

func hopIDs(hops []route.Hop) []string {
	out := make([]string, 0, len(hops))
	for _, h := range hops {
		out = append(out, h.ReplicaID)
	}
	return out
}

func (x *run) routed(c route.Chain) attempt.Event {
	x.hops = c.Hops
	x.version = x.pool.version()
	x.result.Expected = c.Expected
	x.result.Route = hopIDs(c.Hops)
	hops := make([]attempt.Hop, 0, len(c.Hops))
	for _, h := range c.Hops {
		hops = append(hops, attempt.Hop{ReplicaID: h.ReplicaID, FirstLayer: h.First, LastLayer: h.Last})
	}
	return attempt.Routed{Hops: hops}
}

func (x *run) routeRequest(exclude []string) route.Request {
	return route.Request{
		PromptTokens: x.req.PromptTokens() + x.result.Tokens,
		OutputTokens: max(x.expected-x.result.Tokens, 1),
		Blocks:       prefixBlocks(x.req.Prompt),
		Exclude:      exclude,
	}
}

// send runs one step and translates its end.
func (x *run) send(ctx context.Context, s attempt.Send) attempt.Event {
	req := x.stepRequest(s)
	prefill := 0
	if s.Prefill {
		prefill = req.CoveredTokens
	}
	c, ok := x.pool.begin(s.Hop.ReplicaID, x.fingerprint, prefill, x.router.stepTimeout())
	if !ok {
		return attempt.Refused{Asked: s.Step, Reason: "not_listed"}
	}
	x.call = c
	stepCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	stop := context.AfterFunc(c.live, cancel)
	defer stop()
	start := time.Now()
	resp, err := x.pool.engines.Step(stepCtx, c.target, req)
	if err != nil {
		return x.stepFailed(ctx, s, err)
	}
	x.pool.progressed(c, prefill, resp.CachedTokens, time.Since(start))
	return answered(s, resp)
}

func (x *run) stepRequest(s attempt.Send) *wire.StepRequest {
	req := &wire.StepRequest{
		RequestID:     s.Step.RequestID,
		Attempt:       s.Step.Attempt,
		Position:      s.Step.Position,
		Model:         x.req.Model,
		Version:       x.version,
		FirstLayer:    s.Hop.FirstLayer,
		LastLayer:     s.Hop.LastLayer,
		Priority:      int(x.req.Rank),
		Prefill:       s.Prefill,
		Resend:        s.Resend,
		Tokens:        s.Tokens,
		Hidden:        s.Hidden,
		CoveredTokens: 1,
		MaxTokens:     x.req.MaxTokens,
	}
	if s.Prefill {
		req.CoveredTokens = x.req.PromptTokens() + s.Step.Position
		if s.Step.Stage == 0 {
			req.Prompt = x.req.Prompt
		}
	}
	return req
}

func answered(s attempt.Send, resp *wire.StepResponse) attempt.Event {
	a := attempt.Answered{
		Asked: s.Step,
		Reported: attempt.Identity{
			RequestID: resp.RequestID, Attempt: resp.Attempt, Stage: s.Step.Stage, Position: resp.Position,
		},
		Hidden: resp.Hidden,
	}
	if resp.Token != nil {
		a.Token = &attempt.Token{ID: resp.Token.ID, Text: resp.Token.Text, Finish: resp.Token.Finish}
	}
	return a
}

func (x *run) stepFailed(ctx context.Context, s attempt.Send, err error) attempt.Event {
	if ctx.Err() != nil {
		x.pool.ended(x.call)
		return contextEvent(ctx)
	}
	var ce *engine.CallError
	if !errors.As(err, &ce) {
		ce = &engine.CallError{Code: engine.CodeProtocol, Err: err}
	}
	x.lastFailure = s.Hop.ReplicaID + ": " + ce.Error()
	switch {
	case ce.Proof != engine.ProofNone:
		x.pool.refused(x.call, ce.Code)
		return attempt.Refused{Asked: s.Step, Reason: ce.Code}
	case ce.Code == engine.CodeTimeout, ce.Code == engine.CodeConnection:
		x.broken = ce.Code == engine.CodeConnection
		return attempt.Silent{Asked: s.Step}
	default:
		x.pool.ended(x.call)
		return attempt.Failed{Asked: s.Step, Reason: ce.Code}
	}
}

// probe waits for the verdict on a replica whose step got no answer.
func (x *run) probe(ctx context.Context, e attempt.Probe) attempt.Event {
	alive := x.pool.suspect(ctx, x.call, x.broken)
	if ctx.Err() != nil {
		return contextEvent(ctx)
	}
	if !alive && x.broken {
		x.poisoned = x.router.poisons.verdict(e.Hop.ReplicaID, x.fingerprint)
	}
	return attempt.Probed{Asked: e.Step, Alive: alive}
}

func (x *run) emit(e attempt.Emit) attempt.Event {
	now := time.Now()
	if e.Position == 0 {
		x.result.FirstToken = now.Sub(x.req.Arrived)
	} else {
		x.router.metrics.TokenGap(x.req.Workspace, x.req.Rank, now.Sub(x.lastToken))
	}
	x.lastToken = now
	x.result.Tokens++
	if err := x.sink.Token(e.Token); err != nil {
		return attempt.Cancelled{}
	}
	return nil
}

// release lets the replicas forget an attempt in the background; the router
// waits for it at shutdown.
func (x *run) release(e attempt.Release) {
	hops := x.hops
	x.hops = nil
	tokens := x.req.PromptTokens()
	x.releases.Add(1)
	x.router.background(func() {
		defer x.releases.Done()
		x.pool.release(x.req.ID, e.Attempt, hops, tokens)
	})
}

// finish records the outcome. Admission is told when the replicas are free.
func (x *run) finish(o attempt.Outcome) {
	x.result.Complete = o.Complete
	x.result.Execution = o.Execution
	x.result.Attempts = o.Attempts
	if !o.Complete {
		x.explain(o)
	}
	if !x.dispatched {
		return
	}
	x.dispatched = false
	if o.Complete {
		x.pool.observeOutput(x.req, o.Tokens)
		x.router.poisons.completed(x.fingerprint)
	}
	x.router.background(func() { x.leave(o) })
}

// leave gives the place in the pool back when the replicas are free. A request
// that failed says nothing about the pace of the pool.
func (x *run) leave(o attempt.Outcome) {
	x.releases.Wait()
	if !o.Complete {
		x.pool.queue.cancel(x.req.ID)
		return
	}
	x.pool.queue.done(x.req.ID, float64(x.req.PromptTokens()+o.Tokens))
}

// explain sets code, message and retry hint of an unsuccessful result.
func (x *run) explain(o attempt.Outcome) {
	x.result.Message = o.Reason
	if x.lastFailure != "" {
		x.result.Message += " (last failure at " + x.lastFailure + ")"
	}
	switch o.Reason {
	case attempt.ReasonAttempts:
		x.result.Code = CodeAttempts
		x.result.RetryAfter = retryAfterFailure
	case attempt.ReasonDeadline:
		x.result.Code = CodeDeadline
	case attempt.ReasonCancelled:
		x.result.Code = CodeCancelled
	case string(CodePoison):
		x.result.Code = CodePoison
	default:
		x.result.Code = CodeNoRoute
		x.result.RetryAfter = retryAfterFailure
	}
	if x.refusal != nil {
		x.result.Code = refusalCode(x.refusal.Reason)
		x.result.RetryAfter = x.refusal.RetryAfter
		x.result.Execution = execution.NotRun
	}
}

func refusalCode(r admission.Reason) Code {
	switch r {
	case admission.ReasonHopeless:
		return CodeHopeless
	case admission.ReasonDeadline:
		return CodeDeadline
	case admission.ReasonWorkspaceFull:
		return CodeWorkspaceFull
	case admission.ReasonPoolFull:
		return CodePoolFull
	default:
		return CodeRefused
	}
}

// refused tells whether an engine refused a call in its protocol.
func refused(err error) bool {
	var ce *engine.CallError
	return errors.As(err, &ce) && ce.Proof == engine.ProofRefused
}

func contextEvent(ctx context.Context) attempt.Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.Expired{}
	}
	return attempt.Cancelled{}
}

// sleep waits for d and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
