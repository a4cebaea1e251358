package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"masticbank.example/core/execution"
	"masticbank.example/core/order"
	"masticbank.example/node/service"
)

// Orders executes non-idempotent calls at most once per key. Implementations are safe
// for concurrent use.
type Orders interface {
	// Do returns the recorded response of the key, or claims the key and calls send at
	// most once.
	Do(ctx context.Context, call order.Call, send func(ctx context.Context) order.Response) order.Result
}

// retryAfterLog is the Retry-After hint while the log is unavailable.
const retryAfterLog = 5 * time.Second

// callKeyed executes a non-idempotent call under its idempotency key.
func (r *Router) callKeyed(ctx context.Context, pool *servicePool, req *ServiceRequest) ServiceResult {
	if r.opts.Orders == nil {
		return failedResult(CodeLogUnavailable, execution.NotRun, "this instance has no log, which calls with a key need")
	}
	deadline, _ := ctx.Deadline()
	var sent ServiceResult
	res := r.opts.Orders.Do(ctx, order.Call{
		Workspace:   req.Workspace,
		Service:     req.Service,
		Key:         req.Key,
		Fingerprint: keyFingerprint(req),
		Date:        req.KeyDate,
		FirstUse:    req.FirstUse,
		Deadline:    deadline,
	}, func(ctx context.Context) order.Response {
		sent = r.callOnce(ctx, pool, req)
		return newOrderResponse(&sent)
	})
	return keyedResult(&res, &sent)
}

// keyFingerprint returns a hash of method, path and body. A key may be used only for
// calls with the same hash.
func keyFingerprint(req *ServiceRequest) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path, string(req.Body)} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

func newOrderResponse(res *ServiceResult) order.Response {
	r := order.Response{Execution: res.Execution}
	if res.Response != nil {
		r.Status = res.Response.Status
		r.ContentType = res.Response.Header.Get("Content-Type")
		r.Body = res.Response.Body
	}
	return r
}

// keyedResult converts the result of Orders.Do. A response that the service has just
// sent keeps all its headers; a replayed one has only the recorded ones.
func keyedResult(res *order.Result, sent *ServiceResult) ServiceResult {
	if res.Reason != order.ReasonNone {
		out := failedResult(orderCode(res.Reason), res.Execution, string(res.Reason))
		out.RetryAfter = orderRetryAfter(res.Reason)
		return out
	}
	if sent.Response != nil && !res.Replayed {
		out := *sent
		out.Execution = res.Execution
		return out
	}
	if res.Response.Status == 0 {
		out := *sent
		out.Execution = res.Execution
		return out
	}
	out := ServiceResult{Replayed: res.Replayed, Response: &service.Response{
		Status: res.Response.Status,
		Header: http.Header{"Content-Type": {res.Response.ContentType}},
		Body:   res.Response.Body,
	}}
	out.Complete = true
	out.Execution = res.Execution
	return out
}

func orderCode(r order.Reason) Code {
	switch r {
	case order.ReasonMalformed:
		return CodeKeyMalformed
	case order.ReasonKeyReused:
		return CodeKeyReused
	case order.ReasonKeyExpired, order.ReasonKeyFuture:
		return CodeKeyExpired
	case order.ReasonLogUnavailable, order.ReasonVersion:
		return CodeLogUnavailable
	case order.ReasonOverloaded:
		return CodePoolQueueFull
	case order.ReasonRunning, order.ReasonClaimantGone:
		return CodeKeyUndecided
	case order.ReasonDispatchWindowPassed, order.ReasonReleased:
		return CodeDeadlinePassed
	case order.ReasonClientGone:
		return CodeCancelled
	case order.ReasonResponseTooLarge:
		return CodeResponseTooLarge
	default:
		return CodeUpstreamFailed
	}
}

// orderRetryAfter returns the delay after which a call with the same key may succeed,
// or 0.
func orderRetryAfter(r order.Reason) time.Duration {
	switch r {
	case order.ReasonLogUnavailable, order.ReasonOverloaded, order.ReasonDispatchWindowPassed, order.ReasonReleased:
		return retryAfterLog
	case order.ReasonRunning:
		return retryAfterFailure
	default:
		return 0
	}
}
