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
			effects = slices.DeleteFunc(effects, starts)
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

// starts tells whether an effect begins work, which is void once the request
// ends. Effects that end it are always carried out.
func starts(e attempt.Effect) bool {
	switch e.(type) {
	case attempt.Route, attempt.Send, attempt.Probe, attempt.Emit:
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
	x.pool.ended(x.call)
	tokens := x.req.PromptTokens()
	x.releases.Add(1)
	x.router.background(func() {
		defer x.releases.Done()
		x.pool.release(x.req.ID, e.Attempt, hops, tokens)
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
