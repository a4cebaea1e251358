package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/poison"
	"masticbank.example/core/routing"
	"masticbank.example/node/caller"
	"masticbank.example/node/exchange"
)

const (
	// firstAttemptShare is the fraction of the remaining time that the first replica gets for
	// a repeatable request before another one is tried, if there is one and the retry budget
	// allows it.
	firstAttemptShare = 0.4
	// plainRetryAfter is the Retry-After when all replicas of a plain service are full.
	// Their requests take a few tens of milliseconds.
	plainRetryAfter = 100 * time.Millisecond
)

// plainResponse is a complete response of a replica.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

// servePlain forwards a request with a short response, which is relayed once it is
// complete.
func (g *Gateway) servePlain(ctx context.Context, c *call) {
	pool := g.plain(c.service.Name)
	g.countFirst(c.service.Name)
	h := forward.History{Idempotent: c.route.Kind == routing.Idempotent, MaxRuns: c.route.MaxAttempts}
	g.sendUntilDone(ctx, c, pool, &h)
	g.returnUnused(c, &h, false)
}

// sendUntilDone sends the request until there is a response for the client or it may not be sent
// again.
func (g *Gateway) sendUntilDone(ctx context.Context, c *call, pool *plainPool, h *forward.History) {
	tried := map[string]bool{}
	for {
		replica, ok := pool.selectReplica(time.Now(), tried)
		if !ok {
			g.endWithoutReplica(ctx, c, pool, h, len(tried))
			return
		}
		if !h.MayHaveRun() && g.refuseBlocked(c) {
			return
		}
		if h.Arrivals > 0 && !g.renewRetry(ctx, c) {
			g.endWithoutReplica(ctx, c, pool, h, len(tried))
			return
		}
		tried[replica.ID] = true
		c.replica = replica.ID
		claimed := new(atomic.Bool)
		outcome, response, err := g.sendPlain(ctx, c, pool, replica, h, func() bool {
			if _, ok := pool.selectReplica(time.Now(), tried); ok && g.retryDenial(ctx, c) == "" {
				claimed.Store(true)
			}
			return claimed.Load()
		})
		if claimed.Load() {
			h.Paid++
		}
		if outcome == forward.Withheld && endsRequest(ctx, err) {
			g.endUnsent(ctx, c, h, err)
			return
		}
		if outcome != forward.Withheld {
			c.denialReason = ""
		}
		next := h.Step(outcome, func() bool { return g.awaitPlainRetry(ctx, c) })
		g.recordLimit(ctx, c, h, next)
		g.returnUnused(c, h, next == forward.Retry)
		if outcome != forward.Responded {
			g.log.Info("attempt failed", zap.String("request", c.ID), zap.String("replica", replica.ID),
				zap.Stringer("outcome", outcome), zap.Stringer("next", next), zap.Int("sends", h.Sends),
				zap.Duration("left", c.remaining(time.Now())),
				zap.Stringer("fingerprint", c.fingerprint), zap.String("denied", c.denialReason),
				zap.Int("runs", h.Runs), zap.Int("arrivals", h.Arrivals), zap.Float64("available", g.availableRetries(c.service.Name)), zap.Int("incidents", g.crashes.incidents(c)), zap.Error(err))
		}
		switch next {
		case forward.Retry:
			continue
		case forward.Deliver:
			g.deliver(c, response)
		case forward.Refuse:
			g.endWithoutReplica(ctx, c, pool, h, len(tried))
		case forward.GiveUp:
			g.giveUp(ctx, c)
		}
		return
	}
}

// endsRequest reports whether a request that was withheld with the error must not be sent to another
// replica either.
func endsRequest(ctx context.Context, err error) bool {
	return errors.Is(err, errMayCrashReplica) || caller.Check(ctx) != nil
}

// endUnsent ends a request that must not be sent any more: its client left, its time is over, or it
// may crash the next replica.
func (g *Gateway) endUnsent(ctx context.Context, c *call, h *forward.History, err error) {
	g.log.Info("request not sent", zap.String("request", c.ID), zap.String("replica", c.replica), zap.Int("sends", h.Sends),
		zap.Duration("left", c.remaining(time.Now())), zap.Error(err))
	if h.MayHaveRun() || callerLeft(ctx) {
		g.giveUp(ctx, c)
		return
	}
	reason := "deadline_" + c.deadlineSource
	switch {
	case isStopping(ctx):
		reason = outcomeStopping
	case errors.Is(err, errMayCrashReplica):
		reason = outcomeCrashesReplicas
	}
	g.sendRefusal(c, http.StatusServiceUnavailable, reason, plainRetryAfter)
}

// endWithoutReplica sends the error response when no replica is left to try.
func (g *Gateway) endWithoutReplica(ctx context.Context, c *call, pool *plainPool, h *forward.History, tried int) {
	switch {
	case h.MayHaveRun():
		g.giveUp(ctx, c)
	case pool.paused(time.Now()) > 0:
		g.sendRefusal(c, http.StatusServiceUnavailable, outcomeReplicasPaused, pool.paused(time.Now()))
	case tried > 0:
		g.sendRefusal(c, http.StatusServiceUnavailable, "rejected_everywhere", plainRetryAfter)
	default:
		g.sendRefusal(c, http.StatusServiceUnavailable, "no_replica", noReplicaRetryAfter)
	}
}

// giveUp ends a request that may have run, with an error response if the client is still
// connected.
func (g *Gateway) giveUp(ctx context.Context, c *call) {
	switch err := caller.Check(ctx); {
	case isStopping(ctx):
		g.sendRefusal(c, http.StatusBadGateway, outcomeStopping, 0)
	case errors.Is(err, context.Canceled):
		g.logEnd(c, statusClientClosed, "caller_left")
	case err != nil:
		g.sendRefusal(c, http.StatusGatewayTimeout, "deadline_"+c.deadlineSource, 0)
	default:
		g.sendRefusal(c, http.StatusBadGateway, "answer_lost", 0)
	}
}

// statusClientClosed is the logged status for clients that closed their connection.
const statusClientClosed = 499

// errReplaced means that a run that took long was ended for another one.
var errReplaced = errors.New("another replica is tried in place of a slow one")

// sendPlain sends the request to one replica and reads the whole response. It records the
// result for the replica's load, its health and the detection of crashes. If the replica takes
// too long and claimRetry finds a replacement, the run is ended for it.
func (g *Gateway) sendPlain(ctx context.Context, c *call, pool *plainPool, replica Replica, h *forward.History, claimRetry func() bool) (forward.Outcome, *plainResponse, error) {
	now := time.Now()
	if h.MayRetryLost() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		stop := endWhenReplaced(cancel, time.Duration(float64(c.remaining(now))*firstAttemptShare), claimRetry)
		defer cancel(nil)
		defer stop()
	}
	pool.recordSend(replica)
	sent := time.Now()
	outcome, response, err := g.exchangePlain(ctx, c, replica, h, pool)
	switch {
	case outcome == forward.Responded && response.status < http.StatusMultipleChoices:
		g.crashes.recordSuccess(c)
	case outcome == forward.Lost && mayBeCrash(err) && !errors.Is(c.http.Context().Err(), context.Canceled) && g.stopping.Err() == nil && pool.listed(replica):
		listed := poison.Process{Replica: replica.ID, StartTime: replica.StartTime}
		g.crashes.recordLostRun(c, []poison.Process{g.crashes.process(listed, sent)}, sent, false)
		g.crashes.scheduleCheck(listed, replica.Address, sent)
	}
	pool.recordOutcome(time.Now(), replica, outcome, time.Since(now))
	return outcome, response, err
}

// endWhenReplaced calls cancel once wait has passed and claimRetry returns true, which it is asked
// every budgetPollInterval. The returned function ends that and waits for a call in progress.
func endWhenReplaced(cancel context.CancelCauseFunc, wait time.Duration, claimRetry func() bool) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-timer.C:
			}
			if claimRetry() {
				cancel(errReplaced)
				return
			}
			timer.Reset(budgetPollInterval)
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

var (
	errResponseMismatch = errors.New("the response belongs to another request")
	// errReplicaChanged means that since it was chosen a replica has left, was replaced, moved
	// layers or asked for a pause.
	errReplicaChanged   = errors.New("a replica changed after it was chosen")
	errUnsignedResponse = errors.New("the response is not signed by a replica")
)

// lacksSignature reports whether a response claims success without the signature that every
// replica adds when it ran the request.
func lacksSignature(status int, info Response) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices && !info.Signed
}

// exchangePlain sends the request, reads the response and classifies the outcome.
func (g *Gateway) exchangePlain(ctx context.Context, c *call, replica Replica, h *forward.History, pool *plainPool) (forward.Outcome, *plainResponse, error) {
	mayRun := func() error {
		if !pool.mayGet(time.Now(), replica) {
			return errReplicaChanged
		}
		return g.retryDenied(c, h.Arrivals > 0)
	}
	request := g.newRequest(c, ForwardOptions{Replica: replica.ID, Rank: -1}, mayRun)
	request.Fresh, request.Last = !h.Idempotent, !h.MayRetryLost()
	resp, err := g.opts.Client.Do(ctx, replica.Address, request)
	if err != nil {
		return outcomeOf(err), nil, err
	}
	defer resp.Close()
	g.crashes.markResponsive(replica.ID)
	info := g.opts.Codec.Response(resp.Status, resp.Header)
	if info.ID != c.ID {
		resp.Discard()
		return forward.Lost, nil, errResponseMismatch
	}
	pool.recordLoad(replica, info)
	g.reportIfLeaving(replica, info)
	if info.Pause > 0 {
		g.logPause(c.ID, replica.ID, info.Pause, pool.pause(replica, info.Pause))
	}
	if info.NotRun {
		g.log.Info("replica rejected a request", zap.String("request", c.ID), zap.String("replica", replica.ID),
			zap.Int("status", resp.Status), zap.Duration("list_age", g.listAge()))
		if info.OtherReplica {
			pool.recordMoved(time.Now(), replica)
		}
		drainBody(resp)
		return forward.Rejected, nil, nil
	}
	body, err := c.memory.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return forward.Lost, nil, err
	}
	if lacksSignature(resp.Status, info) {
		resp.Discard()
		return forward.Lost, nil, errUnsignedResponse
	}
	if c.isUnprovenRefusal(resp.Status) {
		return forward.Lost, nil, errUnprovenRefusal
	}
	response := &plainResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		return forward.Failed, response, nil
	}
	return forward.Responded, response, nil
}

// drainBody reads the rest of a short rejection so that its connection can be reused. The
// connection of a longer one, or of one that does not arrive soon, is closed.
func drainBody(resp *exchange.Response) { resp.Drain(maxDrainBytes, drainTimeout) }

const (
	// maxDrainBytes limits how much of a rejection's body is read.
	maxDrainBytes = 64 << 10
	// drainTimeout limits how long the retry waits for it. The head states all that matters,
	// and the body is usually in the same packet.
	drainTimeout = 50 * time.Millisecond
)

// outcomeOf classifies an error of sending a request: Withheld or Unsent if it certainly did
// not reach the replica, else Lost.
func outcomeOf(err error) forward.Outcome {
	var ee *exchange.Error
	switch {
	case !errors.As(err, &ee):
		return forward.Lost
	case ee.Withheld:
		return forward.Withheld
	case !ee.Sent:
		return forward.Unsent
	default:
		return forward.Lost
	}
}

// deliver sends a complete response of a replica to the client. The server sends another status in
// place of one that it does not know; a failure with another status must not bear the replica's
// signature.
func (g *Gateway) deliver(c *call, response *plainResponse) {
	if response.status >= http.StatusMultipleChoices && http.StatusText(response.status) == "" {
		g.sendRefusal(c, http.StatusBadGateway, "unknown_status", 0, zap.Int("replica_status", response.status))
		return
	}
	h := c.writer.Header()
	for k, v := range g.opts.Codec.ToClient(response.header) {
		h[k] = v
	}
	h.Set("Content-Length", strconv.Itoa(len(response.body)))
	c.writer.WriteHeader(response.status)
	_, err := c.writer.Write(response.body)
	g.logEnd(c, response.status, "delivered", zap.Error(err))
}
