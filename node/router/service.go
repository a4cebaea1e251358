package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/config"
	"masticbank.example/core/execution"
	"masticbank.example/node/service"
)

// maxServiceAttempts bounds the replicas tried for one idempotent call.
const maxServiceAttempts = 3

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	ID        string
	Workspace string
	Rank      config.Rank
	Service   string
	Method    string
	// Path is the path and query below the service.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key, KeyDate when the caller made it, or zero.
	Key     string
	KeyDate time.Time
	// FirstUse is true when the caller vouches that it has not sent Key before.
	FirstUse bool
	Deadline time.Time
	Arrived  time.Time
}

// ServiceResult is the outcome of a call to a plain service. Answer is nil
// unless the service answered.
type ServiceResult struct {
	Result
	Answer *service.Answer
	// Replayed is true when the answer was recorded by an earlier call with
	// the same key.
	Replayed bool
}

// CallService serves one call. Calls that may not be repeated are sent at most
// once.
func (r *Router) CallService(ctx context.Context, req *ServiceRequest) ServiceResult {
	res := r.callService(ctx, req)
	res.RequestID = req.ID
	res.Workspace = req.Workspace
	res.Rank = req.Rank
	res.Model = req.Service
	res.Total = time.Since(req.Arrived)
	r.finished(res.Result)
	return res
}

func (r *Router) callService(ctx context.Context, req *ServiceRequest) ServiceResult {
	r.mu.RLock()
	pool := r.services[req.Service]
	r.mu.RUnlock()
	if pool == nil {
		return failedCall(CodeUnknownService, execution.NotRun, "unknown service "+req.Service)
	}
	cfg := pool.config()
	deadline := req.Arrived.Add(cfg.Timeout)
	if req.Deadline.Before(deadline) {
		deadline = req.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	effect, err := pool.queue.enter(ctx, admission.Request{
		ID: req.ID, Workspace: req.Workspace, Rank: req.Rank, Cost: 1, Deadline: deadline,
	})
	if err != nil {
		return failedCall(contextCode(ctx), execution.NotRun, err.Error())
	}
	if effect.Kind == admission.Refuse {
		res := failedCall(refusalCode(effect.Reason), execution.NotRun, effect.Reason.String())
		res.RetryAfter = effect.RetryAfter
		return res
	}
	defer pool.queue.done(req.ID, 1)
	idempotent := slices.Contains(cfg.IdempotentMethods, req.Method)
	switch {
	case idempotent:
		return r.callRepeatable(ctx, pool, req)
	case req.Key != "":
		return r.callKeyed(ctx, pool, req)
	default:
		return r.callOnce(ctx, pool, req)
	}
}

// callRepeatable tries other replicas until one answers.
func (r *Router) callRepeatable(ctx context.Context, pool *servicePool, req *ServiceRequest) ServiceResult {
	exclude := map[string]bool{}
	res := failedCall(CodeNoUpstream, execution.NotRun, "no replica is available")
	worst := execution.NotRun
	for range maxServiceAttempts {
		var id string
		res, id = r.callReplica(ctx, pool, req, exclude, true)
		if res.Answer != nil || id == "" || ctx.Err() != nil {
			break
		}
		worst = max(worst, res.Execution)
		exclude[id] = true
	}
	if res.Answer == nil {
		res.Execution = max(worst, res.Execution)
	}
	return res
}

// callOnce sends the call to one replica. Another replica is tried only when
// nothing was written to the first one.
func (r *Router) callOnce(ctx context.Context, pool *servicePool, req *ServiceRequest) ServiceResult {
	exclude := map[string]bool{}
	for {
		res, id := r.callReplica(ctx, pool, req, exclude, false)
		if res.Answer != nil || id == "" || ctx.Err() != nil || res.Execution != execution.NotRun {
			return res
		}
		exclude[id] = true
	}
}

// callReplica sends the call to the best replica and returns its ID, which is
// empty when there is none.
func (r *Router) callReplica(ctx context.Context, pool *servicePool, req *ServiceRequest, exclude map[string]bool, idempotent bool) (ServiceResult, string) {
	rep := pool.begin(exclude)
	if rep == nil {
		res := failedCall(CodeNoUpstream, execution.NotRun, "no replica is available")
		res.RetryAfter = retryAfterFailure
		return res, ""
	}
	defer pool.end(rep)
	answer, err := r.opts.Services.Do(ctx, rep.instance.Address, service.Call{
		Method: req.Method, Path: req.Path, Header: req.Header, Body: req.Body, Idempotent: idempotent,
	})
	if err != nil {
		return callFailed(ctx, err), rep.instance.ID
	}
	res := ServiceResult{Answer: answer}
	res.Complete = true
	res.Execution = execution.Ran
	res.Attempts = len(exclude) + 1
	return res, rep.instance.ID
}

func callFailed(ctx context.Context, err error) ServiceResult {
	status := execution.Unknown
	var se *service.Error
	if errors.As(err, &se) {
		status = se.Execution
	}
	code := CodeUpstreamFailed
	if ctx.Err() != nil {
		code = contextCode(ctx)
	}
	return failedCall(code, status, err.Error())
}

func failedCall(code Code, status execution.Status, message string) ServiceResult {
	return ServiceResult{Result: Result{Code: code, Execution: status, Message: message}}
}

func contextCode(ctx context.Context) Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CodeDeadline
	}
	return CodeCancelled
}
