package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/poison"
	"masticbank.example/core/routing"
	"masticbank.example/node/exchange"
)

const (
	// firstTryShare is the part of the time left that the first replica of a
	// repeatable request gets before another one is asked.
	firstTryShare = 0.4
	// plainRetryAfter is told when all replicas of a plain service are full; their
	// calls take some ten milliseconds.
	plainRetryAfter = 100 * time.Millisecond
)

// plainAnswer is a whole answer of a replica.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain forwards a request whose answer is short. The answer is passed on
// when it is complete.
func (g *Gateway) servePlain(ctx context.Context, c *call) {
	pool := g.plain(c.service.Name)
	g.countFirst(c.service.Name)
	h := forward.History{Repeatable: c.route.Kind == routing.Idempotent, MaxRuns: c.route.MaxAttempts}
	tried := map[string]bool{}
	for {
		replica, ok := pool.pick(time.Now(), tried)
		if !ok {
			g.endWithoutReplica(ctx, c, pool, &h, len(tried))
			return
		}
		if !h.MayHaveRun() && g.refuseBlocked(c) {
			return
		}
		tried[replica.ID] = true
		c.sends++
		c.replica = replica.ID
		outcome, answer, err := g.sendPlain(ctx, c, pool, replica, &h)
		next := h.Step(outcome, func() bool { return g.mayRetry(ctx, c) })
		if outcome != forward.Answered {
			g.log.Info("attempt failed", zap.String("request", c.ID), zap.String("replica", replica.ID),
				zap.Stringer("outcome", outcome), zap.Stringer("next", next), zap.Int("sends", h.Sends),
				zap.Duration("left", c.left(time.Now())),
				zap.Stringer("fingerprint", c.fingerprint), zap.String("denied", c.denied), zap.Error(err))
		}
		switch next {
		case forward.Retry:
			continue
		case forward.Deliver:
			g.deliver(c, answer)
		case forward.Refuse:
			g.endWithoutReplica(ctx, c, pool, &h, len(tried))
		case forward.GiveUp:
			g.giveUp(ctx, c)
		}
		return
	}
}

// endWithoutReplica answers a request for which no replica is left.
func (g *Gateway) endWithoutReplica(ctx context.Context, c *call, pool *plainPool, h *forward.History, tried int) {
	switch {
	case h.MayHaveRun():
		g.giveUp(ctx, c)
	case pool.paused(time.Now()) > 0:
		g.refuse(c, http.StatusServiceUnavailable, outcomePaused, pool.paused(time.Now()))
	case tried > 0:
		g.refuse(c, http.StatusServiceUnavailable, "rejected_everywhere", plainRetryAfter)
	default:
		g.refuse(c, http.StatusServiceUnavailable, "no_replica", noReplicaRetry)
	}
}

// giveUp answers a request that may have run.
func (g *Gateway) giveUp(ctx context.Context, c *call) {
	if errors.Is(ctx.Err(), context.Canceled) {
		g.finish(c, statusCallerLeft, "caller_left")
		return
	}
	if ctx.Err() != nil {
		g.refuse(c, http.StatusGatewayTimeout, "deadline_"+c.late, 0)
		return
	}
	g.refuse(c, http.StatusBadGateway, "answer_lost", 0)
}

// statusCallerLeft is logged for callers that closed their connection.
const statusCallerLeft = 499

// sendPlain sends the request to one replica and reads the whole answer.
func (g *Gateway) sendPlain(ctx context.Context, c *call, pool *plainPool, replica Replica, h *forward.History) (forward.Outcome, *plainAnswer, error) {
	now := time.Now()
	if h.Repeatable && h.Runs+1 < h.MaxRuns {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(float64(c.left(now))*firstTryShare))
		defer cancel()
	}
	pool.begin(replica.ID)
	began := time.Now()
	outcome, answer, err := g.exchangePlain(ctx, c, replica, !h.Repeatable, pool)
	switch {
	case outcome == forward.Answered && answer.status < http.StatusMultipleChoices:
		g.crashes.succeeded(c.fingerprint)
	case outcome == forward.Lost && mayBeCrash(err) && !errors.Is(c.http.Context().Err(), context.Canceled) && pool.listed(replica):
		r := g.crashes.process(poison.Incarnation{Replica: replica.ID, Born: replica.Born}, began)
		g.crashes.lost(c, []poison.Incarnation{r}, began, false)
		g.crashes.check(r, replica.Address)
	}
	pool.end(time.Now(), replica.ID, outcome, time.Since(now))
	return outcome, answer, err
}

var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("the answer is not signed by a replica")
)

// unsigned tells whether an answer claims success without the signature that every
// replica gives with what it ran.
func unsigned(status int, a Answer) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices && !a.Signed
}

func (g *Gateway) exchangePlain(ctx context.Context, c *call, replica Replica, fresh bool, pool *plainPool) (forward.Outcome, *plainAnswer, error) {
	resp, err := g.opts.Client.Do(ctx, replica.Address, g.request(c, Send{Replica: replica.ID, Rank: -1}, fresh))
	if err != nil {
		return outcomeOf(err), nil, err
	}
	defer resp.Close()
	g.crashes.sign(replica.ID)
	info := g.opts.Codec.Answer(resp.Status, resp.Header)
	if info.ID != c.ID {
		resp.Discard()
		return forward.Lost, nil, errOtherRequest
	}
	pool.loaded(replica.ID, info)
	g.noteAnswer(replica, info)
	if info.Pause > 0 {
		g.logPause(c.ID, replica.ID, info.Pause, pool.pause(replica, info.Pause))
	}
	if info.NotRun {
		drain(resp)
		return forward.Rejected, nil, nil
	}
	body, err := c.hold.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return forward.Lost, nil, err
	}
	if unsigned(resp.Status, info) {
		resp.Discard()
		return forward.Lost, nil, errUnsigned
	}
	answer := &plainAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		return forward.Failed, answer, nil
	}
	return forward.Answered, answer, nil
}

// drain reads the rest of a short answer, so that its connection can be used again. The
// connection of a longer one is closed.
func drain(resp *exchange.Response) {
	// An error leaves the connection unusable, which Close sees.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
}

// maxDrainBytes bounds what is read of a rejection.
const maxDrainBytes = 64 << 10

func outcomeOf(err error) forward.Outcome {
	var ee *exchange.Error
	if errors.As(err, &ee) && !ee.Sent {
		return forward.Unsent
	}
	return forward.Lost
}

// deliver passes a whole answer on.
func (g *Gateway) deliver(c *call, a *plainAnswer) {
	h := c.writer.Header()
	for k, v := range g.opts.Codec.ToCaller(a.header) {
		h[k] = v
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.writer.WriteHeader(a.status)
	_, err := c.writer.Write(a.body)
	g.finish(c, a.status, "delivered", zap.Error(err))
}
