package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/attempt"
	"masticbank.example/core/execution"
	"masticbank.example/core/health"
	"masticbank.example/core/route"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

const (
	cancelTimeout = time.Second
	// maxAttempts bounds the routes tried for one request.
	maxAttempts = 6
	// backoffBase and backoffCap bound the wait before a new route, in full
	// jitter.
	backoffBase = 20 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
)

// run carries one request from the queue to its outcome.
type run struct {
	router  *Router
	pool    *pool
	req     *Request
	sink    Sink
	machine *attempt.Machine
	hops    []route.Hop // of the current attempt
	result  Result
	// dispatched is true while admission counts the request as running.
	dispatched bool
	refusal    *admission.Effect
	lastToken  time.Time
	// releases counts the attempts that replicas still have to forget.
	releases sync.WaitGroup
	// call is the step under way, or the last one.
	call call
	// version is the model version of the current attempt.
	version string
	// lastFailure describes the last step that failed.
	lastFailure string
}

// serve runs the request to its end. The context ends when the caller leaves.
func (x *run) serve(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, x.req.Deadline)
	defer cancel()
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
		Cost:      x.req.cost(),
		Deadline:  x.req.Deadline,
	})
	for {
		if err != nil {
			return contextEvent(ctx)
		}
		if effect.Kind == admission.Refuse {
			x.refusal = &effect
			return attempt.Unroutable{Reason: effect.Reason.String()}
		}
		x.dispatched = true
		d := x.pool.choose(x.routeRequest(nil))
		if d.Outcome == route.Chosen {
			x.result.QueueWait = time.Since(x.req.Arrived)
			return x.routed(d.Chain)
		}
		x.dispatched = false
		effect, err = x.pool.queue.reenter(ctx, x.req.ID)
	}
}

// nextRoute chooses a chain for a later attempt, as soon as there is one.
func (x *run) nextRoute(ctx context.Context, e attempt.Route) attempt.Event {
	for try := 0; ; try++ {
		if !sleep(ctx, backoff(e.Attempt+try-2)) {
			return contextEvent(ctx)
		}
		d := x.pool.choose(x.routeRequest(e.Exclude))
		if d.Outcome == route.Chosen {
			return x.routed(d.Chain)
		}
	}
}

func (x *run) routed(c route.Chain) attempt.Event {
	x.hops = c.Hops
	x.version = x.pool.version()
	x.result.Expected = c.Expected
	x.result.Route = x.result.Route[:0]
	hops := make([]attempt.Hop, 0, len(c.Hops))
	for _, h := range c.Hops {
		hops = append(hops, attempt.Hop{ReplicaID: h.ReplicaID, FirstLayer: h.First, LastLayer: h.Last})
		x.result.Route = append(x.result.Route, h.ReplicaID)
	}
	return attempt.Routed{Hops: hops}
}

func (x *run) routeRequest(exclude []string) route.Request {
	return route.Request{
		PromptTokens: x.req.PromptTokens() + x.result.Tokens,
		OutputTokens: x.req.MaxTokens - x.result.Tokens,
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
	c, ok := x.pool.begin(s.Hop.ReplicaID, prefill, x.router.stepTimeout())
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
		return contextEvent(ctx)
	}
	var ce *engine.CallError
	if !errors.As(err, &ce) {
		return attempt.Failed{Asked: s.Step, Reason: engine.CodeProtocol}
	}
	x.lastFailure = s.Hop.ReplicaID + ": " + ce.Error()
	x.reportFailure(ce)
	switch {
	case ce.Proof != engine.ProofNone:
		return attempt.Refused{Asked: s.Step, Reason: ce.Code}
	case ce.Code == engine.CodeTimeout:
		return attempt.Silent{Asked: s.Step}
	default:
		return attempt.Failed{Asked: s.Step, Reason: ce.Code}
	}
}

// reportFailure tells the replica's state machine about a failed step.
func (x *run) reportFailure(ce *engine.CallError) {
	switch ce.Code {
	case wire.CodeLeaving:
		x.pool.leaving(x.call.target.ID, health.FromUpstream)
	case engine.CodeConnection:
		x.pool.lost(x.call)
	}
}

// probe waits for the verdict on a replica whose step made no progress.
func (x *run) probe(ctx context.Context, e attempt.Probe) attempt.Event {
	alive := x.pool.suspect(ctx, x.call)
	if ctx.Err() != nil {
		return contextEvent(ctx)
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
	cost := float64(x.req.PromptTokens() + o.Tokens)
	x.router.background(func() {
		x.releases.Wait()
		x.pool.queue.done(x.req.ID, cost)
	})
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

// backoff returns a random wait before try n, counted from 0.
func backoff(n int) time.Duration {
	limit := min(backoffCap, backoffBase<<min(max(n, 0), 10))
	return rand.N(limit)
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
