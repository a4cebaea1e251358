package router

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/attempt"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// send runs one step and returns the event that describes its outcome.
func (x *requestRun) send(ctx context.Context, s attempt.Send) attempt.Event {
	req := x.stepRequest(s)
	prefill := 0
	if s.Prefill {
		prefill = req.CoveredTokens
	}
	c, ok := x.pool.beginStep(s.Stage.ReplicaID, x.fingerprint, prefill, x.router.stepTimeout())
	if !ok {
		return attempt.Refused{Step: s.Step, Reason: "not_listed"}
	}
	x.currentCall = c
	stepCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	stop := context.AfterFunc(c.attemptCtx, cancel)
	defer stop()
	start := time.Now()
	resp, err := x.pool.engines.Step(stepCtx, c.target, req)
	if err != nil {
		return x.stepFailed(ctx, s, err)
	}
	x.pool.recordStep(c, prefill, resp.CachedTokens, time.Since(start))
	return respondedEvent(s, resp)
}

func (x *requestRun) stepRequest(s attempt.Send) *wire.StepRequest {
	req := &wire.StepRequest{
		RequestID:     s.Step.RequestID,
		Attempt:       s.Step.Attempt,
		Position:      s.Step.Position,
		Model:         x.req.Model,
		Version:       x.version,
		FirstLayer:    s.Stage.FirstLayer,
		LastLayer:     s.Stage.LastLayer,
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

func respondedEvent(s attempt.Send, resp *wire.StepResponse) attempt.Event {
	e := attempt.Responded{
		Step: s.Step,
		Reported: attempt.Identity{
			RequestID: resp.RequestID, Attempt: resp.Attempt, Stage: s.Step.Stage, Position: resp.Position,
		},
		Hidden: resp.Hidden,
	}
	if resp.Token != nil {
		e.Token = &attempt.Token{ID: resp.Token.ID, Text: resp.Token.Text, Finish: resp.Token.Finish}
	}
	return e
}

func (x *requestRun) stepFailed(ctx context.Context, s attempt.Send, err error) attempt.Event {
	if ctx.Err() != nil {
		x.pool.discardStep(x.currentCall)
		return contextEvent(ctx)
	}
	var ce *engine.CallError
	if !errors.As(err, &ce) {
		ce = &engine.CallError{Code: engine.CodeProtocol, Err: err}
	}
	x.lastFailure = s.Stage.ReplicaID + ": " + ce.Error()
	switch {
	case ce.Proof != engine.ProofNone:
		x.pool.recordRefusal(x.currentCall, ce.Code)
		return attempt.Refused{Step: s.Step, Reason: ce.Code}
	case ce.Code == engine.CodeTimeout, ce.Code == engine.CodeConnection:
		x.connectionBroken = ce.Code == engine.CodeConnection
		return attempt.Unresponsive{Step: s.Step}
	case isInvalidHead(err):
		x.pool.recordInvalidResponse(x.currentCall)
		return attempt.Failed{Step: s.Step, Reason: ce.Code}
	default:
		x.pool.discardStep(x.currentCall)
		return attempt.Failed{Step: s.Step, Reason: ce.Code}
	}
}

// probe waits for the result of the probe of a replica whose step got no response.
func (x *requestRun) probe(ctx context.Context, e attempt.Probe) attempt.Event {
	alive := x.pool.checkAlive(ctx, x.currentCall, x.connectionBroken)
	if ctx.Err() != nil {
		return contextEvent(ctx)
	}
	if !alive && x.connectionBroken {
		x.poisoned = x.router.poison.stopAfterCrash(e.Stage.ReplicaID, x.fingerprint)
	}
	return attempt.Probed{Step: e.Step, Alive: alive}
}
