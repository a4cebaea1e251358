package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/attempt"
	"masticbank.example/core/poison"
	"masticbank.example/core/retry"
	"masticbank.example/core/route"
)

const (
	cancelTimeout = time.Second
	// maxFailures bounds the attempts of one request that fail, maxRefusals those
	// that an upstream refuses.
	maxFailures = 6
	maxRefusals = 32
)

// backoff spreads the waits before a new route.
var backoff = retry.Backoff{Base: 20 * time.Millisecond, Cap: 500 * time.Millisecond}

// requestRun carries one request from the queue to its outcome.
type requestRun struct {
	router *Router
	pool   *pool
	req    *Request
	sink   Sink
	// fingerprint identifies what is asked, whoever asks it.
	fingerprint poison.Fingerprint
	machine     *attempt.Machine
	stages      []route.Hop // of the current attempt
	result      Result
	// dispatched is true while admission counts the request as running.
	dispatched bool
	refusal    *admission.Effect
	lastToken  time.Time
	// pendingReleases counts the attempts that replicas still have to forget.
	pendingReleases sync.WaitGroup
	// currentCall is the step under way, or the last one; broken tells that its
	// connection broke, expected the estimate of the answer's length.
	currentCall      call
	connectionBroken bool
	expectedTokens   int
	// version is the model version of the current attempt.
	version string
	// poisoned tells that the request must not run again.
	poisoned bool
	// lastFailure describes the last step that failed.
	lastFailure string
}

// serve runs the request to its end. The context ends when the caller leaves.
func (x *requestRun) serve(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, x.req.Deadline)
	defer cancel()
	x.expectedTokens = x.pool.expectedOutput(x.req)
	x.result = Result{RequestID: x.req.ID, Workspace: x.req.Workspace, Rank: x.req.Rank, Model: x.req.Model}
	effects := x.machine.Start()
	for len(effects) > 0 {
		next := effects[0]
		effects = effects[1:]
		event := x.perform(ctx, next)
		if event == nil {
			continue
		}
		if endsRequest(event) {
			effects = slices.DeleteFunc(effects, startsWork)
		}
		effects = append(effects, x.machine.Step(event)...)
	}
	x.result.Total = time.Since(x.req.Arrived)
	return x.result
}

// endsRequest tells whether an event makes pending effects void.
func endsRequest(e attempt.Event) bool {
	switch e.(type) {
	case attempt.Cancelled, attempt.Expired, attempt.Unroutable:
		return true
	default:
		return false
	}
}

// startsWork tells whether an effect begins work, which is void once the request
// ends. Effects that end it are always carried out.
func startsWork(e attempt.Effect) bool {
	switch e.(type) {
	case attempt.Route, attempt.Send, attempt.Probe, attempt.Emit:
		return true
	default:
		return false
	}
}

// perform carries out one effect and returns the event that answers it, or nil.
func (x *requestRun) perform(ctx context.Context, e attempt.Effect) attempt.Event {
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

func (x *requestRun) emit(e attempt.Emit) attempt.Event {
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
func (x *requestRun) release(e attempt.Release) {
	stages := x.stages
	x.stages = nil
	x.pool.discardStep(x.currentCall)
	tokens := x.req.PromptTokens()
	x.pendingReleases.Add(1)
	x.router.background(func() {
		defer x.pendingReleases.Done()
		x.pool.release(x.req.ID, e.Attempt, stages, tokens)
	})
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
