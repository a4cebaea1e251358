package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/waitlist"
	"masticbank.example/node/exchange"
	"masticbank.example/node/httpserver"
)

const (
	// modelRetryAfter is told to a refused request: the order of the time that a
	// usual answer takes, after which room is free again.
	modelRetryAfter = 3 * time.Second
	// rejectedAtOnce bounds the time in which a part that leaves or gives up layers
	// rejects a request. Later ones have waited for memory, or for another part that
	// died: the part named as at fault may be sound.
	rejectedAtOnce = 100 * time.Millisecond
	// unreachedBlock keeps new paths off a replica that could not be connected to. A
	// single lost packet has the same effect, so that nobody else is told.
	unreachedBlock = time.Second
	// deadBlock keeps new paths off a part that is silent, about as long as the
	// entry of a dead replica stays listed.
	deadBlock = 4 * time.Second
)

// stream is a model request on its way.
type stream struct {
	*call
	g      *Gateway
	pool   *modelPool
	demand pipeline.Demand
	avoid  map[string]bool
	// begun is true when the head of the answer went to the caller.
	begun bool
	// last is the number of the last event that the caller has, -1 without one.
	last int64
	// events counts those passed on by this request.
	events int
	grant  *grant
	// lastAt is when the last event came, or when the request was sent.
	lastAt time.Time
	// lastEvent is when the caller was last sent an event.
	lastEvent time.Time
	// longest is the longest pause between two events, repaths the changes of path.
	longest time.Duration
	repaths int
	// runAt is when the present run began, runFirstAt when its first event came.
	runAt      time.Time
	runFirstAt time.Time
}

// serveModel runs a request over a path through all layers.
func (g *Gateway) serveModel(ctx context.Context, c *call) {
	g.countFirst(c.service.Name)
	s := &stream{call: c, g: g, pool: g.model(c.service), demand: demandOf(c), avoid: map[string]bool{}, last: -1}
	if n, err := strconv.ParseInt(c.LastEvent, 10, 64); err == nil {
		s.last = n
	}
	h := forward.History{Repeatable: c.route.Repeatable(), MaxRuns: c.route.MaxAttempts}
	for {
		if time.Now().Add(s.pool.paused(time.Now())).After(s.waitsUntil()) {
			s.endWithoutPath(ctx, &h)
			return
		}
		s.grant = s.pool.acquire(ctx, s.item(), s.demand, pipeline.Constraint{Avoid: s.avoid})
		if s.grant == nil {
			s.endWithoutPath(ctx, &h)
			return
		}
		if !h.MayHaveRun() && !s.begun && g.refuseBlocked(c) {
			s.grant.release()
			return
		}
		c.sends++
		c.replica = s.grant.path()[0].ID
		outcome, err := s.run(ctx)
		if outcome == forward.Lost {
			s.lost(ctx, err)
		}
		s.grant.release()
		next := h.Step(outcome, func() bool { return g.awaitRetry(ctx, c, s.waitsUntil()) })
		if outcome == forward.Answered || (outcome == forward.Failed && next != forward.Retry) {
			return
		}
		g.log.Info("attempt failed", zap.String("request", c.ID), zap.String("replica", c.replica),
			zap.Stringer("outcome", outcome), zap.Stringer("next", next), zap.Int64("last_event", s.last),
			zap.Int("parts", len(s.grant.path())), zap.Duration("left", c.left(time.Now())),
			zap.Stringer("fingerprint", c.fingerprint), zap.String("denied", c.denied), zap.Error(err))
		if next == forward.Retry {
			continue
		}
		s.end(ctx, next)
		return
	}
}

// demandOf estimates what a request asks of the replicas.
func demandOf(c *call) pipeline.Demand {
	m := c.service.Model
	d := pipeline.Demand{Prompt: c.PromptTokens, Output: c.OutputHint}
	if d.Prompt <= 0 {
		d.Prompt = m.UsualPrompt
	}
	if d.Output <= 0 {
		d.Output = m.UsualOutput
	}
	if c.MaxOutputTokens > 0 {
		d.Output = min(d.Output, c.MaxOutputTokens)
	}
	return d
}

func (s *stream) item() *waitlist.Item {
	return &waitlist.Item{Rank: s.rank, Arrival: s.arrival, GiveUp: s.waitsUntil()}
}

// waitsUntil is when the caller has waited so long, since its request came or since the
// last event, that it would leave before another one reached it.
func (s *stream) waitsUntil() time.Time {
	since := s.arrival
	if s.begun {
		since = s.lastEvent
	}
	end := since.Add(waitlist.LongestWait(s.route.Objective, s.route.GapObjective))
	if s.deadline.Before(end) {
		return s.deadline
	}
	return end
}

func (s *stream) endWithoutPath(ctx context.Context, h *forward.History) {
	if h.MayHaveRun() || s.begun {
		s.end(ctx, forward.GiveUp)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		s.g.finish(s.call, statusCallerLeft, "caller_left")
		return
	}
	why, retryAfter := "no_room", modelRetryAfter
	if left := s.pool.paused(time.Now()); left > 0 {
		why, retryAfter = outcomePaused, left
	} else if !s.pool.covered() {
		why = "layers_missing"
	}
	s.g.refuse(s.call, http.StatusServiceUnavailable, why, retryAfter)
}

// end finishes a request without a whole answer.
func (s *stream) end(ctx context.Context, next forward.Next) {
	switch {
	case s.begun:
		httpserver.Abort(s.writer)
		why := "stream_broken"
		if errors.Is(ctx.Err(), context.Canceled) {
			why = "caller_left"
		}
		s.g.finish(s.call, statusCallerLeft, why, zap.Int64("last_event", s.last), zap.Int("events", s.events))
	case next == forward.Refuse:
		s.g.refuse(s.call, http.StatusServiceUnavailable, "rejected_everywhere", modelRetryAfter)
	default:
		s.g.giveUp(ctx, s.call)
	}
}

// run sends the request over the granted path and passes its events on.
func (s *stream) run(ctx context.Context) (forward.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := s.grant.path()
	first := path[0]
	send := Send{Replica: first.ID, Rank: s.rank, Path: path}
	if s.last >= 0 && s.begun {
		send.LastEvent = strconv.FormatInt(s.last, 10)
	}
	s.lastAt = time.Now()
	s.beginRun(s.lastAt)
	resp, err := s.head(ctx, cancel, first, s.g.request(s.call, send, false))
	if err != nil {
		s.blame(first, err)
		return outcomeOf(err), err
	}
	defer resp.Close()
	s.g.crashes.sign(first.ID)
	info := s.g.opts.Codec.Answer(resp.Status, resp.Header)
	s.noteAnswer(first, info)
	switch {
	case info.ID != s.ID:
		resp.Discard()
		return forward.Lost, errOtherRequest
	case info.NotRun:
		drain(resp)
		s.rejected(info, first)
		return forward.Rejected, nil
	case unsigned(resp.Status, info):
		resp.Discard()
		return forward.Lost, errUnsigned
	case resp.Status != http.StatusOK:
		return s.failed(resp)
	}
	return s.relay(ctx, cancel, resp)
}

// headResult is what comes of waiting for the head of an answer.
type headResult struct {
	resp *exchange.Response
	err  error
}

// head sends the request and waits for the head of the answer, watching for
// parts that are silent.
func (s *stream) head(ctx context.Context, cancel context.CancelFunc, first pipeline.Hop, r *exchange.Request) (*exchange.Response, error) {
	done := make(chan headResult, 1)
	go func() {
		resp, err := s.g.opts.Client.Do(ctx, first.Address, r)
		done <- headResult{resp, err}
	}()
	watch := s.newWatch()
	defer watch.stop()
	for {
		select {
		case res := <-done:
			return res.resp, res.err
		case <-watch.timer.C:
			if watch.check(ctx) {
				cancel()
				res := <-done
				if res.err == nil {
					res.resp.Close()
				}
				return nil, &exchange.Error{Sent: true, Err: errPartSilent}
			}
		}
	}
}

// errCaller means that the caller does not take its answer.
var errCaller = errors.New("the caller takes no more")

var errPartSilent = errors.New("a part of the path is silent")

// blame takes the first replica out of use after an error of its connection.
func (s *stream) blame(first pipeline.Hop, err error) {
	s.avoid[first.ID] = true
	var ee *exchange.Error
	if errors.As(err, &ee) && !ee.Sent && !errors.Is(err, context.Canceled) {
		s.pool.block(first.ID, unreachedBlock, "no connection")
	}
}

// rejected takes the part at fault out of use for a moment.
func (s *stream) rejected(info Answer, first pipeline.Hop) {
	id := s.pool.idAt(info.FailingPart)
	if id == "" {
		id = first.ID
	}
	s.avoid[id] = true
	state := s.pool.state(id)
	s.g.log.Info("part rejected a request", zap.String("request", s.ID), zap.String("part", id),
		zap.Bool("first", id == first.ID), zap.Int("from", state.From), zap.Int("to", state.To),
		zap.Duration("after", time.Since(s.lastAt)),
		zap.Float64("room", state.Room), zap.Float64("own", state.Own.Reserved), zap.Float64("foreign", state.Foreign.Reserved))
	atOnce := time.Since(s.lastAt) < rejectedAtOnce && !state.Full()
	if count := s.pool.rejected(id, atOnce); count > 0 && s.g.opts.OnRejected != nil {
		s.g.opts.OnRejected(id, count)
	}
}

// failed passes on an answer that is no stream, unless another replica is tried.
func (s *stream) failed(resp *exchange.Response) (forward.Outcome, error) {
	body, err := s.hold.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil || s.begun {
		return forward.Lost, err
	}
	s.g.deliver(s.call, &plainAnswer{status: resp.Status, header: resp.Header, body: body})
	return forward.Answered, nil
}

// relay passes whole events on as they arrive.
func (s *stream) relay(ctx context.Context, cancel context.CancelFunc, resp *exchange.Response) (forward.Outcome, error) {
	events := make(chan event)
	stop := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		readEvents(resp.Body, events, stop)
	}()
	whole := false
	defer func() {
		if !whole {
			cancel() // ends a read under way
		}
		close(stop)
		<-finished
	}()
	watch := s.newWatch()
	defer watch.stop()
	for {
		select {
		case ev := <-events:
			before := s.last
			done, outcome, err := s.take(ctx, resp, ev)
			if done {
				whole = outcome == forward.Answered
				return outcome, err
			}
			// Comments that a stalled replica goes on sending are no progress.
			if s.last > before || s.last < 0 {
				watch.progress()
			}
		case <-watch.timer.C:
			if watch.check(ctx) {
				return forward.Lost, errPartSilent
			}
		case <-ctx.Done():
			return forward.Lost, ctx.Err()
		}
	}
}

// take handles one event; done tells that the run is over.
func (s *stream) take(ctx context.Context, resp *exchange.Response, ev event) (done bool, o forward.Outcome, err error) {
	if errors.Is(ev.err, io.EOF) {
		s.begin(resp)
		s.g.crashes.succeeded(s.fingerprint)
		s.g.finish(s.call, resp.Status, "delivered", zap.Int("events", s.events), zap.Int("parts", len(s.grant.path())),
			zap.Duration("longest_pause", s.longest), zap.Int("repaths", s.repaths), zap.String("zones", zonesOf(s.grant.path())))
		return true, forward.Answered, nil
	}
	if ev.err != nil {
		return true, forward.Lost, ev.err
	}
	if ev.id >= 0 && ev.id <= s.last {
		return false, 0, nil // the caller has it from an earlier run
	}
	s.grant.firstToken()
	s.begin(resp)
	if s.events == 0 {
		s.g.opts.Metrics.FirstEvent(s.rank, time.Since(s.arrival))
	}
	if _, err := s.writer.Write(ev.data); err != nil {
		return true, forward.Lost, errors.Join(errCaller, err)
	}
	s.g.crashes.sign(s.grant.path()[0].ID)
	s.writer.(http.Flusher).Flush()
	if ev.id >= 0 {
		s.last = ev.id
	}
	now := time.Now()
	if s.events > 0 {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.events++
	s.lastAt, s.lastEvent = now, now
	if s.runFirstAt.IsZero() {
		s.runFirstAt = now
	}
	return false, 0, nil
}

// zonesOf lists the zones of a path, each as often as the path enters it.
func zonesOf(p pipeline.Path) string {
	var out []string
	for i, h := range p {
		if i == 0 || h.Zone != p[i-1].Zone {
			out = append(out, h.Zone)
		}
	}
	return strings.Join(out, " ")
}

// begin sends the head of the first run's answer.
func (s *stream) begin(resp *exchange.Response) {
	if s.begun {
		return
	}
	s.begun = true
	h := s.writer.Header()
	for k, v := range s.g.opts.Codec.ToCaller(resp.Header) {
		h[k] = v
	}
	s.writer.WriteHeader(resp.Status)
}
