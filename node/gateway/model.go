package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/lateness"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/waitlist"
	"masticbank.example/node/exchange"
	"masticbank.example/node/httpserver"
)

const (
	// immediateRejection is the time within which a stage that shuts down or unloads layers
	// rejects a request. A later rejection has waited for memory or for another stage that
	// died, and the stage it names may be healthy.
	immediateRejection = 100 * time.Millisecond
	// unreachableBlock is how long new paths avoid a replica to which no connection could be
	// made. A single lost packet can cause this, so it is not reported to other instances.
	unreachableBlock = time.Second
	// unresponsiveBlock is how long new paths avoid an unresponsive stage: about as long as the
	// entry of a dead replica stays listed.
	unresponsiveBlock = 4 * time.Second
)

// stream is the state of one model request.
type stream struct {
	*call
	g        *Gateway
	pool     *modelPool
	demand   pipeline.Demand
	excluded map[string]bool
	// headSent is true once the response head was sent to the client.
	headSent bool
	// lastEventID is the number of the last event that the client received; -1 if none.
	lastEventID int64
	// relayed counts the events that this attempt relayed.
	relayed int
	// runEvents counts the events with an ID that the current run added.
	runEvents int
	// spacedIDs is true if the IDs of the events relayed so far are not consecutive.
	spacedIDs bool
	grant     *grant
	// history records the outcomes of the runs.
	history forward.History
	// lastProgress is when the last event arrived, or when the request was sent if none has.
	lastProgress time.Time
	// lastSent is when the last event was sent to the client.
	lastSent time.Time
	// longestGap is the longest time between two events; repaths counts the path changes.
	longestGap time.Duration
	repaths    int
	// firstEvent is the time from the arrival to the first event.
	firstEvent time.Duration
	delays     delays
	// leftAt is when the request last left a failed replica.
	leftAt time.Time
	// runAt is when the current run began, runFirstEvent when its first event arrived.
	runAt         time.Time
	runFirstEvent time.Time
	// rejections counts the rejections of a begun answer in a row.
	rejections int
	// progressRecorded is true once an attempt's progress has cleared the parts of its prompt.
	progressRecorded bool
}

// serveModel runs a request on a path through all layers, and retries on another path as
// the route's rules and the retry budget allow.
func (g *Gateway) serveModel(ctx context.Context, c *call) {
	g.countFirst(c.service.Name)
	s := &stream{call: c, g: g, pool: g.model(c.service), demand: demandOf(c), excluded: map[string]bool{}, lastEventID: -1}
	s.delays.clock = lateness.NewClock(c.arrival, c.handlerWait)
	if n, err := strconv.ParseInt(c.LastEvent, 10, 64); err == nil {
		s.lastEventID = n
	}
	s.history = forward.History{Idempotent: c.route.Repeatable(), MaxRuns: c.route.MaxAttempts}
	s.serve(ctx)
	g.returnUnused(c, &s.history, false)
}

// serve sends the request until its response has ended or it may not be sent again.
func (s *stream) serve(ctx context.Context) {
	g, c, h := s.g, s.call, &s.history
	for {
		if time.Now().Add(s.pool.paused(time.Now())).After(s.waitLimit()) {
			s.endWithoutPath(ctx, h)
			return
		}
		s.grant = s.pool.acquire(ctx, s.item(), s.demand, pipeline.Constraint{Avoid: s.excluded, Begun: s.begun()})
		s.endPhase(lateness.Path)
		if s.grant == nil {
			s.endWithoutPath(ctx, h)
			return
		}
		if !h.MayHaveRun() && !s.headSent && g.refuseBlocked(c) {
			s.grant.release()
			return
		}
		if h.Arrivals > 0 && !g.renewRetry(ctx, c) {
			s.grant.release()
			s.endWithoutPath(ctx, h)
			return
		}
		c.replica = s.grant.path()[0].ID
		s.endPhase(lateness.Retry)
		outcome, err := s.run(ctx, h.Arrivals > 0)
		if outcome != forward.Responded {
			s.endRun(outcome)
		}
		if outcome == forward.Lost {
			s.recordLostRun(ctx, err)
		}
		s.grant.release()
		if outcome == forward.Withheld && endsRequest(ctx, err) {
			s.endUnsent(ctx, h, err)
			return
		}
		if outcome != forward.Withheld {
			c.denialReason = ""
		}
		next := h.Step(outcome, func() bool {
			s.awaitResend(ctx, outcome)
			return g.awaitRetry(ctx, c, s.waitLimit())
		})
		g.recordLimit(ctx, c, h, next)
		g.returnUnused(c, h, next == forward.Retry)
		if outcome == forward.Responded || (outcome == forward.Failed && next != forward.Retry) {
			return
		}
		g.log.Info("attempt failed", zap.String("request", c.ID), zap.String("replica", c.replica),
			zap.Stringer("outcome", outcome), zap.Stringer("next", next), zap.Int64("last_event", s.lastEventID),
			zap.Int("parts", len(s.grant.path())), zap.String("zones", zonesOf(s.grant.path())),
			zap.Duration("expected_first_event", s.grant.choice.FirstToken), zap.Duration("run_took", time.Since(s.runAt)),
			zap.Duration("silent", time.Since(s.lastProgress)), zap.Duration("left", c.remaining(time.Now())),
			zap.Stringer("fingerprint", c.fingerprint), zap.String("denied", c.denialReason),
			zap.Int("runs", h.Runs), zap.Int("sends", h.Sends), zap.Int("arrivals", h.Arrivals), zap.Float64("available", g.availableRetries(c.service.Name)), zap.Int("incidents", g.crashes.incidents(c)), zap.Error(err))
		if next == forward.Retry {
			s.endPhase(lateness.Retry)
			continue
		}
		s.endIncomplete(ctx, next)
		return
	}
}

// demandOf estimates the tokens of a request: what the client states, else the model's
// usual numbers.
func demandOf(c *call) pipeline.Demand {
	m := c.service.Model
	d := pipeline.Demand{Prompt: c.PromptTokens, Output: c.OutputHint, Rank: c.rank, PauseObjective: c.route.EventGapObjective}
	if d.Prompt <= 0 {
		d.Prompt = m.MeanPromptTokens
	}
	if d.Output <= 0 {
		d.Output = m.MeanOutputTokens
	}
	if c.MaxOutputTokens > 0 {
		d.Output = min(d.Output, c.MaxOutputTokens)
	}
	return d
}

// begun reports whether the request has run or may have.
func (s *stream) begun() bool { return s.headSent || s.history.MayHaveRun() }

// item returns the request's entry in the list of waiting requests.
func (s *stream) item() *waitlist.Item {
	it := &waitlist.Item{Rank: s.rank, Arrival: s.arrival, RefuseAt: s.waitLimit(), Begun: s.begun()}
	if objective := s.route.LatencyObjective; objective > 0 && !it.Begun {
		it.TimelyUntil = s.arrival.Add(objective - min(s.pool.usualFirstEvent(), objective/2))
	}
	return it
}

// endWithoutPath sends the error response when no path was granted in time.
func (s *stream) endWithoutPath(ctx context.Context, h *forward.History) {
	if s.denialReason == "" {
		s.denialReason = deniedPath
	}
	if h.MayHaveRun() || s.headSent {
		s.endIncomplete(ctx, forward.GiveUp)
		return
	}
	if callerLeft(ctx) {
		s.g.logEnd(s.call, statusClientClosed, "caller_left")
		return
	}
	reason, retryAfter := "no_room", s.pool.retryAfter(s.remaining(time.Now()))
	if left := s.pool.paused(time.Now()); left > 0 {
		reason, retryAfter = outcomeReplicasPaused, left
	} else if !s.pool.covered() {
		reason = "layers_missing"
	}
	s.g.sendRefusal(s.call, http.StatusServiceUnavailable, reason, retryAfter)
}

// endUnsent ends a request that must not be sent any more.
func (s *stream) endUnsent(ctx context.Context, h *forward.History, err error) {
	if s.headSent {
		s.endIncomplete(ctx, forward.GiveUp)
		return
	}
	s.g.endUnsent(ctx, s.call, h, err)
}

// endIncomplete finishes a request whose response is incomplete.
func (s *stream) endIncomplete(ctx context.Context, next forward.Decision) {
	switch {
	case s.headSent:
		httpserver.Abort(s.writer)
		reason := "stream_broken"
		switch {
		case isStopping(ctx):
			reason = outcomeStopping
		case callerLeft(ctx):
			reason = "caller_left"
		}
		s.g.logEnd(s.call, statusClientClosed, reason, zap.Int64("last_event", s.lastEventID), zap.Int("events", s.relayed),
			zap.String("denied", s.denialReason), zap.Int("runs", s.history.Runs), zap.Int("arrivals", s.history.Arrivals),
			zap.Duration("left", s.remaining(time.Now())), zap.Duration("since_event", time.Since(s.lastSent)))
	case next == forward.Refuse:
		s.g.sendRefusal(s.call, http.StatusServiceUnavailable, "rejected_everywhere", s.pool.retryAfter(s.remaining(time.Now())))
	default:
		s.g.giveUp(ctx, s.call)
	}
}

// run sends the request over the granted path and relays the events of the response. retry is set if
// a replica may have received it before.
func (s *stream) run(ctx context.Context, retry bool) (forward.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := s.grant.path()
	first := path[0]
	opts := ForwardOptions{Replica: first.ID, Rank: s.rank, Path: path}
	if s.lastEventID >= 0 && s.headSent {
		opts.LastEvent = strconv.FormatInt(s.lastEventID, 10)
	}
	s.lastProgress = time.Now()
	s.beginRun(s.lastProgress)
	mayRun := func() error {
		if !s.grant.mayGet(time.Now()) {
			return errReplicaChanged
		}
		return s.g.retryDenied(s.call, retry)
	}
	request := s.g.newRequest(s.call, opts, mayRun)
	request.Last = !s.history.MayRetryLost()
	resp, err := s.awaitHead(ctx, cancel, first, request)
	if err != nil {
		outcome := outcomeOf(err)
		if outcome != forward.Withheld {
			s.connectionFailed(first, err)
		}
		return outcome, err
	}
	defer resp.Close()
	s.g.crashes.markResponsive(first.ID)
	info := s.g.opts.Codec.Response(resp.Status, resp.Header)
	s.applyResponseInfo(first, info)
	switch {
	case info.ID != s.ID:
		resp.Discard()
		return forward.Lost, errResponseMismatch
	case info.NotRun:
		drainBody(resp)
		s.handleRejection(resp.Status, info, first)
		return forward.Rejected, nil
	case lacksSignature(resp.Status, info):
		resp.Discard()
		return forward.Lost, errUnsignedResponse
	case resp.Status != http.StatusOK || !isEventStream(resp):
		return s.handleOther(resp)
	}
	return s.relay(ctx, cancel, resp)
}

// headResult is the result of waiting for the response head.
type headResult struct {
	resp *exchange.Response
	err  error
}

// awaitHead sends the request and waits for the response head, while it checks for
// unresponsive stages.
func (s *stream) awaitHead(ctx context.Context, cancel context.CancelFunc, first pipeline.Stage, r *exchange.Request) (*exchange.Response, error) {
	done := make(chan headResult, 1)
	go func() {
		resp, err := s.g.opts.Client.Do(ctx, first.Address, r)
		done <- headResult{resp, err}
	}()
	watch := s.newWatch()
	defer watch.stop()
	for {
		lost := false
		select {
		case res := <-done:
			return res.resp, res.err
		case <-watch.timer.C:
			lost = watch.check(ctx)
		case f := <-watch.findings:
			lost = watch.apply(ctx, f)
		case <-s.grant.wake:
			watch.hurry()
		}
		if lost {
			cancel()
			res := <-done
			if res.err == nil {
				res.resp.Close()
			}
			return nil, givenUpError(res.err)
		}
	}
}

// errClientWrite means that writing to the client failed.
var errClientWrite = errors.New("writing to the client failed")

// errStageUnresponsive means that a stage of the path stopped responding.
var errStageUnresponsive = errors.New("a stage of the path is unresponsive")

// connectionFailed keeps new paths away from the first replica after an error of its
// connection.
func (s *stream) connectionFailed(first pipeline.Stage, err error) {
	s.excluded[first.ID] = true
	var ee *exchange.Error
	if errors.As(err, &ee) && !ee.Sent && !errors.Is(err, context.Canceled) {
		s.pool.blockProcess(first, unreachableBlock, "no connection")
	}
}

// handleRejection keeps new paths away from the stage that rejected the request, and
// reports a rejection despite free capacity to the other instances.
func (s *stream) handleRejection(status int, info Response, first pipeline.Stage) {
	stage, ok := s.grant.path().At(info.FailingStage)
	if !ok {
		stage = first
	}
	id := stage.ID
	s.excluded[id] = true
	state := s.pool.state(id)
	s.g.log.Info("stage rejected a request", zap.String("request", s.ID), zap.String("part", id),
		zap.String("replica", first.ID), zap.Bool("first", id == first.ID), zap.Int("from", state.From), zap.Int("to", state.To),
		zap.Duration("after", time.Since(s.lastProgress)), zap.Int("status", status), zap.Duration("list_age", s.g.listAge()),
		zap.Float64("room", state.CacheCapacity), zap.Float64("own", state.Own.Reserved), zap.Float64("foreign", state.Remote.Reserved),
		zap.Float64("reported", state.ReportedUse), zap.Duration("report_age", time.Since(state.ReportedAt)), zap.Float64("use_factor", s.pool.useFactor()))
	immediate := time.Since(s.lastProgress) < immediateRejection && !state.RejectsForMemory()
	if count := s.pool.recordRejection(stage, immediate); count > 0 && s.g.opts.OnRejected != nil {
		s.g.opts.OnRejected(id, count)
	}
}

// errNotEvents means that a run which is to continue a stream was answered with something else.
var errNotEvents = errors.New("the response does not continue the stream")

// handleOther handles a response that is not an event stream: it is delivered whole unless a stream
// has already begun.
func (s *stream) handleOther(resp *exchange.Response) (forward.Outcome, error) {
	if s.headSent {
		resp.Discard()
		return forward.Lost, errNotEvents
	}
	body, err := s.memory.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return forward.Lost, err
	}
	if s.isUnprovenRefusal(resp.Status) {
		return forward.Lost, errUnprovenRefusal
	}
	s.g.deliver(s.call, &plainResponse{status: resp.Status, header: resp.Header, body: body})
	return forward.Responded, nil
}
