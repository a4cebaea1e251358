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

// maxServiceAttempts bounds the replicas that are tried for one idempotent call.
const maxServiceAttempts = 3

// ServiceRequest is one client call to a plain service.
type ServiceRequest struct {
	ID        string
	Workspace string
	Rank      config.Rank
	Service   string
	Method    string
	// Path is the path and query relative to the service.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key, or empty. KeyDate is the time at which the client
	// created it, or zero.
	Key     string
	KeyDate time.Time
	// FirstUse is true if the client asserts that it has not sent Key before.
	FirstUse bool
	Deadline time.Time
	Arrived  time.Time
}

// fingerprint identifies the content of the call regardless of its ID and key.
func (r *ServiceRequest) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf("service "+r.Service, string(r.Body), r.Method, r.Path, r.Workspace)
}

// ServiceResult is the outcome of a call to a plain service. Response is nil if the
// service did not respond.
type ServiceResult struct {
	Result
	Response *service.Response
	// Replayed is true if the response was recorded by an earlier call with the same
	// key.
	Replayed bool
}

// CallService serves one call. Non-idempotent calls are sent at most once.
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

// callIdempotent sends the call to one replica after another until one responds.
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
		if res.Response != nil || id == "" || ctx.Err() != nil {
			break
		}
		worst = max(worst, res.Execution)
		exclude[id] = true
	}
	if res.Response == nil {
		res.Execution = max(worst, res.Execution)
	}
	return res
}

// callOnce sends the call to one replica. It tries another replica only if nothing was
// executed by the previous one.
func (r *Router) callOnce(ctx context.Context, pool *servicePool, req *ServiceRequest) ServiceResult {
	exclude := map[string]bool{}
	for {
		res, id := r.callReplica(ctx, pool, req, exclude, false)
		if res.Response != nil || id == "" || ctx.Err() != nil || res.Execution != execution.NotRun {
			return res
		}
		exclude[id] = true
	}
}

// callReplica sends the call to the least loaded replica and returns the replica's ID,
// or an empty ID if none is available.
func (r *Router) callReplica(ctx context.Context, pool *servicePool, req *ServiceRequest, exclude map[string]bool, idempotent bool) (ServiceResult, string) {
	c, ok := pool.beginCall(exclude)
	if !ok {
		res := failedResult(CodeNoUpstream, execution.NotRun, "no replica is available")
		res.RetryAfter = retryAfterFailure
		return res, ""
	}
	defer pool.endCall(c)
	response, err := r.sendCall(ctx, pool, c, req.fingerprint(), service.Call{
		Method: req.Method, Path: req.Path, Header: req.Header, Body: req.Body, Idempotent: idempotent,
	})
	if err != nil {
		return failureResult(ctx, err), c.id
	}
	if isLeavingRefusal(response) {
		pool.observe(c.replica, health.Leaving{Source: health.FromUpstream})
		return failedResult(CodeUpstreamFailed, execution.NotRun, "the replica leaves"), c.id
	}
	pool.observe(c.replica, health.Progress{Connection: c.number})
	r.poison.recordCompletion(req.fingerprint())
	res := ServiceResult{Response: response}
	res.Complete = true
	res.Execution = execution.Ran
	res.Attempts = len(exclude) + 1
	return res, c.id
}

// sendCall sends a call and reports a missing response or a broken connection to the
// pool. An idempotent call ends as soon as the replica is found unresponsive; any
// other call waits for its response until the deadline, because it cannot be repeated.
func (r *Router) sendCall(ctx context.Context, pool *servicePool, c serviceCall, f poison.Fingerprint, call service.Call) (*service.Response, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if call.Idempotent {
		stop := context.AfterFunc(c.attemptCtx, cancel)
		defer stop()
	}
	probeTimer := time.AfterFunc(c.probeAfter, func() {
		pool.observe(c.replica, health.Unresponsive{Connection: c.number})
	})
	defer probeTimer.Stop()
	response, err := r.opts.Services.Do(callCtx, c.address, call)
	switch {
	case err == nil || callCtx.Err() != nil:
	case isInvalidHead(err):
		// The replica is probed, but it responded: this is no evidence of a crash.
		pool.observe(c.replica, health.ConnectionFailed{Connection: c.number})
	case connectionFailed(err):
		pool.recordConnectionLoss(c, f, err)
	}
	return response, err
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
		return CodeDeadlinePassed
	}
	return CodeCancelled
}
