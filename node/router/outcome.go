package router

import (
	"context"
	"errors"

	"masticbank.example/core/admission"
	"masticbank.example/core/attempt"
	"masticbank.example/node/engine"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/statusline"
)

// finish records the outcome of the request. Its slot is freed once its replicas have
// been released.
func (x *requestRun) finish(o attempt.Outcome) {
	x.result.Complete = o.Complete
	x.result.Execution = o.Execution
	x.result.Attempts = o.Attempts
	if !o.Complete {
		x.setFailure(o)
	}
	if !x.dispatched {
		return
	}
	x.dispatched = false
	if o.Complete {
		x.pool.observeOutput(x.req, o.Tokens)
		x.router.poison.recordCompletion(x.fingerprint)
	}
	x.router.background(func() { x.freeSlot(o) })
}

// freeSlot frees the slot of the request once its replicas have been released. A
// request that failed is cancelled instead of completed, because its duration does not
// reflect the throughput of the pool.
func (x *requestRun) freeSlot(o attempt.Outcome) {
	x.pendingReleases.Wait()
	if !o.Complete {
		x.pool.queue.cancel(x.req.ID)
		return
	}
	x.pool.queue.done(x.req.ID, float64(x.req.PromptTokens()+o.Tokens))
}

// setFailure sets the code, message and retry hint of an unsuccessful result.
func (x *requestRun) setFailure(o attempt.Outcome) {
	x.result.Message = o.Reason
	if x.lastFailure != "" {
		x.result.Message += " (last failure at " + x.lastFailure + ")"
	}
	switch o.Reason {
	case attempt.ReasonAttempts:
		x.result.Code = CodeAttemptsExhausted
		x.result.RetryAfter = retryAfterFailure
	case attempt.ReasonDeadline:
		x.result.Code = CodeDeadlinePassed
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
	}
}

func refusalCode(r admission.Reason) Code {
	switch r {
	case admission.ReasonUnmeetableDeadline:
		return CodeDeadlineUnreachable
	case admission.ReasonDeadlineWhileQueued:
		return CodeDeadlinePassed
	case admission.ReasonWorkspaceFull:
		return CodeWorkspaceQueueFull
	case admission.ReasonPoolFull:
		return CodePoolQueueFull
	default:
		return CodeRefused
	}
}

// refused reports whether an engine refused a call in its protocol.
func refused(err error) bool {
	var ce *engine.CallError
	return errors.As(err, &ce) && ce.Proof == engine.ProofRefused
}

// isInvalidHead reports whether a replica responded with a head that cannot be relied on.
func isInvalidHead(err error) bool {
	return errors.Is(err, statusline.ErrInvalid) || errors.Is(err, fieldline.ErrInvalid)
}

func contextEvent(ctx context.Context) attempt.Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.Expired{}
	}
	return attempt.Cancelled{}
}
