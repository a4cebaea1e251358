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
	"masticbank.example/core/health"
	"masticbank.example/core/poison"
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

// fingerprint identifies the call, whatever its ID and key.
func (r *ServiceRequest) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf("service "+r.Service, string(r.Body), r.Method, r.Path, r.Workspace)
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
	r.recordResult(res.Result)
	return res
}

func (r *Router) callService(ctx context.Context, req *ServiceRequest) ServiceResult {
	r.mu.RLock()
	pool := r.services[req.Service]
	r.mu.RUnlock()
	if pool == nil {
		return failedResult(CodeUnknownService, execution.NotRun, "unknown service "+req.Service)
	}
	if r.poison.blocked(req.fingerprint()) {
		return failedResult(CodePoison, execution.NotRun, poisonMessage)
	}
	cfg := pool.config()
	deadline := req.Arrived.Add(cfg.Timeout)
	if req.Deadline.Before(deadline) {
		deadline = req.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	effect, err := pool.queue.admit(ctx, admission.Request{
		ID: req.ID, Workspace: req.Workspace, Rank: req.Rank, Cost: 1, Deadline: deadline,
	})
	if err != nil {
		return failedResult(contextCode(ctx), execution.NotRun, err.Error())
	}
	if effect.Kind == admission.Refuse {
		res := failedResult(refusalCode(effect.Reason), execution.NotRun, refusalMessage(effect))
		res.RetryAfter = effect.RetryAfter
		return res
	}
	defer pool.queue.done(req.ID, 1)
	idempotent := slices.Contains(cfg.IdempotentMethods, req.Method)
	switch {
	case idempotent:
		return r.callIdempotent(ctx, pool, req)
	case req.Key != "":
		return r.callKeyed(ctx, pool, req)
	default:
		return r.callOnce(ctx, pool, req)
	}
}

// callIdempotent tries other replicas until one answers.
func (r *Router) callIdempotent(ctx context.Context, pool *servicePool, req *ServiceRequest) ServiceResult {
	exclude := map[string]bool{}
	res := failedResult(CodeNoUpstream, execution.NotRun, "no replica is available")
	worst := execution.NotRun
	for attempt := range maxServiceAttempts {
		if attempt > 0 && r.poison.blocked(req.fingerprint()) {
			break
		}
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
	c, ok := pool.beginCall(exclude)
	if !ok {
		res := failedResult(CodeNoUpstream, execution.NotRun, "no replica is available")
		res.RetryAfter = retryAfterFailure
		return res, ""
	}
	defer pool.endCall(c)
	answer, err := r.sendCall(ctx, pool, c, req.fingerprint(), service.Call{
		Method: req.Method, Path: req.Path, Header: req.Header, Body: req.Body, Idempotent: idempotent,
	})
	if err != nil {
		return failureResult(ctx, err), c.id
	}
	if isLeavingRefusal(answer) {
		pool.observe(c.replica, health.Leaving{Source: health.FromUpstream})
		return failedResult(CodeUpstreamFailed, execution.NotRun, "the replica leaves"), c.id
	}
	pool.observe(c.replica, health.Progress{Connection: c.number})
	r.poison.recordCompletion(req.fingerprint())
	res := ServiceResult{Answer: answer}
	res.Complete = true
	res.Execution = execution.Ran
	res.Attempts = len(exclude) + 1
	return res, c.id
}

// sendCall sends a call and tells the pool of silence and of a failed connection. A
// call that may be repeated ends when the replica is found not to answer; one
// that may not waits for its answer as long as it can.
func (r *Router) sendCall(ctx context.Context, pool *servicePool, c serviceCall, f poison.Fingerprint, call service.Call) (*service.Answer, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if call.Idempotent {
		stop := context.AfterFunc(c.attemptCtx, cancel)
		defer stop()
	}
	silence := time.AfterFunc(c.probeAfter, func() {
		pool.observe(c.replica, health.Silent{Connection: c.number})
	})
	defer silence.Stop()
	answer, err := r.opts.Services.Do(callCtx, c.address, call)
	if err != nil && callCtx.Err() == nil && connectionFailed(err) {
		pool.recordConnectionLoss(c, f, err)
	}
	return answer, err
}

func failureResult(ctx context.Context, err error) ServiceResult {
	status := execution.Unknown
	var se *service.Error
	if errors.As(err, &se) {
		status = se.Execution
	}
	code := CodeUpstreamFailed
	if ctx.Err() != nil {
		code = contextCode(ctx)
	}
	return failedResult(code, status, err.Error())
}

func failedResult(code Code, status execution.Status, message string) ServiceResult {
	return ServiceResult{Result: Result{Code: code, Execution: status, Message: message}}
}

func contextCode(ctx context.Context) Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CodeDeadline
	}
	return CodeCancelled
}
