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
	// maxFailures bounds the failed attempts of one request, maxRefusals the attempts
	// that an upstream refused.
	maxFailures = 6
	maxRefusals = 32
)

// backoff spaces the attempts to find a new route.
var backoff = retry.Backoff{Base: 20 * time.Millisecond, Cap: 500 * time.Millisecond}

// requestRun executes one request from admission to its outcome.
type requestRun struct {
	router *Router
	pool   *pool
	req    *Request
	sink   Sink
	// fingerprint identifies the content of the request regardless of its ID.
	fingerprint poison.Fingerprint
	machine     *attempt.Machine
	stages      []route.Stage // of the current attempt
	result      Result
	// dispatched is true while admission counts the request as running.
	dispatched bool
	refusal    *admission.Effect
	lastToken  time.Time
	// pendingReleases counts the attempts that still have to be cancelled on their
	// replicas.
	pendingReleases sync.WaitGroup
	// currentCall is the step in progress, or the last one. connectionBroken is true
	// if its connection broke. expectedTokens is the estimated length of the response.
	currentCall      call
	connectionBroken bool
	expectedTokens   int
	// version is the model version of the current attempt.
	version string
	// poisoned is true if the request crashed replicas and must not run again.
	poisoned bool
	// lastFailure describes the most recent step that failed.
	lastFailure string
}

// serve executes the request until it ends. The context is cancelled when the client
// disconnects.
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

// endsRequest reports whether an event ends the request, so that pending effects that
// start work are discarded.
func endsRequest(e attempt.Event) bool {
	switch e.(type) {
	case attempt.Cancelled, attempt.Expired, attempt.Unroutable:
		return true
	default:
		return false
	}
}

// startsWork reports whether an effect starts work. Such effects are discarded when
// the request ends; all others are always performed.
func startsWork(e attempt.Effect) bool {
	switch e.(type) {
	case attempt.Route, attempt.Send, attempt.Probe, attempt.Emit:
		return true
	default:
		return false
	}
}

// perform performs one effect and returns the resulting event, or nil.
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
	case attempt.Discard:
		x.result.DiscardedResponses++
		x.router.metrics.ResponseDiscarded(e.Reason)
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

// release cancels an attempt on its replicas in the background. Router.Close waits for
// it.
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

// sleep waits for d. It returns false if ctx ends first.
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
