package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/pipeline"
	"masticbank.example/node/exchange"
)

// relay forwards whole events to the client as they arrive.
func (s *stream) relay(ctx context.Context, cancel context.CancelFunc, resp *exchange.Response) (forward.Outcome, error) {
	s.runEvents = 0
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
			cancel() // ends a read in progress
		}
		close(stop)
		<-finished
	}()
	watch := s.newWatch()
	defer watch.stop()
	for {
		lost := false
		select {
		case ev := <-events:
			before := s.lastEventID
			done, outcome, err := s.handleEvent(ctx, resp, ev)
			if done {
				whole = outcome == forward.Responded
				return outcome, err
			}
			// Comments that a stalled replica keeps sending are not progress.
			if s.lastEventID > before || s.lastEventID < 0 {
				watch.progress()
			}
		case <-watch.timer.C:
			lost = watch.check(ctx)
		case f := <-watch.findings:
			lost = watch.apply(ctx, f)
		case <-s.grant.wake:
			watch.hurry()
		case <-ctx.Done():
			return forward.Lost, ctx.Err()
		}
		if lost {
			return forward.Lost, errStageUnresponsive
		}
	}
}

// handleEvent handles one event; done is true if the run is over.
func (s *stream) handleEvent(ctx context.Context, resp *exchange.Response, ev event) (done bool, o forward.Outcome, err error) {
	if errors.Is(ev.err, io.EOF) {
		if !s.mayEnd() {
			return true, forward.Lost, errNoEvents
		}
		s.writeHead(resp)
		if s.relayed > 0 {
			s.g.crashes.recordSuccess(s.call)
		}
		s.g.logEnd(s.call, resp.Status, "delivered", append(s.latenessFields(), zap.Int("events", s.relayed), zap.Int("parts", len(s.grant.path())),
			zap.Int("repaths", s.repaths), zap.String("zones", zonesOf(s.grant.path())), zap.Float64("prompt_tokens", s.demand.Prompt),
			zap.Duration("prefill", s.grant.choice.Prefill), zap.Duration("prefill_delay", s.grant.choice.PrefillDelay))...)
		s.recordPrompt()
		return true, forward.Responded, nil
	}
	if ev.err != nil {
		return true, forward.Lost, ev.err
	}
	if ev.id >= 0 && ev.id <= s.lastEventID {
		return false, 0, nil // already sent by an earlier run
	}
	if s.skipsEvents(ev.id) {
		return true, forward.Lost, errEventMissing
	}
	received := time.Now()
	s.grant.recordEvent(received)
	s.writeHead(resp)
	if _, err := s.writer.Write(ev.data); err != nil {
		return true, forward.Lost, errors.Join(errClientWrite, err)
	}
	s.g.crashes.markResponsive(s.grant.path()[0].ID)
	s.writer.(http.Flusher).Flush()
	if ev.id >= 0 {
		s.spacedIDs = s.spacedIDs || ev.id > max(s.lastEventID, 0)+1
		s.lastEventID = ev.id
		s.runEvents++
	}
	now := time.Now()
	s.recordEventTime(received, now)
	s.relayed++
	s.lastProgress, s.lastSent = now, now
	if s.runFirstEvent.IsZero() {
		s.runFirstEvent = now
	}
	if !s.progressRecorded && s.progressed() {
		s.progressRecorded = true
		s.g.crashes.recordProgress(s.call)
	}
	return false, 0, nil
}

// errNoEvents means that a response ended without an event of its own.
var errNoEvents = errors.New("stream ends without a new event")

// mayEnd reports whether the stream is complete when the current run's response ends. A run without
// a new event completes a stream only for a caller that asked for what follows its last event and
// has received nothing else: it states that nothing does. After a broken run, an empty response
// may as well be another failure, and the caller can ask for what follows by itself.
func (s *stream) mayEnd() bool {
	return s.runEvents > 0 || (!s.headSent && s.lastEventID >= 0)
}

// errEventMissing means that a run does not continue a stream with its next event.
var errEventMissing = errors.New("stream does not continue with its next event")

// skipsEvents reports whether the run which continues a stream begins later than with its next
// event. That cannot be told for a stream whose IDs leave gaps.
func (s *stream) skipsEvents(id int64) bool {
	return s.headSent && s.runEvents == 0 && s.lastEventID >= 0 && !s.spacedIDs && id > s.lastEventID+1
}

// zonesOf lists the zones of a path in order; a zone is repeated each time the path enters
// it.
func zonesOf(p pipeline.Path) string {
	var out []string
	for i, stage := range p {
		if i == 0 || stage.Zone != p[i-1].Zone {
			out = append(out, stage.Zone)
		}
	}
	return strings.Join(out, " ")
}

// writeHead sends the response head to the client unless an earlier run did.
func (s *stream) writeHead(resp *exchange.Response) {
	if s.headSent {
		return
	}
	s.headSent, s.history.Begun = true, true
	h := s.writer.Header()
	for k, v := range s.g.opts.Codec.ToClient(resp.Header) {
		h[k] = v
	}
	s.writer.WriteHeader(resp.Status)
}
