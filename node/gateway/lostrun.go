package gateway

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
	"masticbank.example/node/bounded"
	"masticbank.example/node/exchange"
)

// lost notes a run without a whole answer, and has the replica checked that it was
// sent to.
func (s *stream) lost(ctx context.Context, err error) {
	if !mayBeCrash(err) || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	first := s.grant.path()[0]
	parts := s.pool.partsOf(s.grant.path())
	took := s.g.crashes.process(poison.Incarnation{Replica: first.ID, Born: first.Born}, s.runAt)
	if len(parts) > 0 && parts[0].Replica == first.ID {
		parts[0] = took
	}
	s.g.crashes.lost(s.call, parts, s.runAt, s.progressed())
	s.g.crashes.check(took, first.Address)
}

// progressTime is how long events must have come for a run to speak for its request. One
// that crashes replicas does so when it begins to run, at times after its first event.
const progressTime = 500 * time.Millisecond

// progressed tells whether the present run went well for a while.
func (s *stream) progressed() bool {
	return !s.runFirstAt.IsZero() && s.lastAt.Sub(s.runFirstAt) >= progressTime
}

// beginRun notes that the request runs on replicas that it was not running on.
func (s *stream) beginRun(now time.Time) { s.runAt, s.runFirstAt = now, time.Time{} }

// lostPart notes that the run is lost on a part that is silent, and has the part
// checked.
func (s *stream) lostPart(id string) {
	for _, h := range s.grant.path() {
		if h.ID == id {
			s.g.crashes.lost(s.call, s.pool.partsOf(pipeline.Path{h}), s.runAt, s.progressed())
			s.g.crashes.check(poison.Incarnation{Replica: h.ID, Born: h.Born}, h.Address)
		}
	}
}

// noCrash are failures after which the replica goes on: it has answered, if badly, or
// the caller is gone.
var noCrash = []error{errOtherRequest, errUnsigned, errEventTooLarge, errStreamTooLarge, bounded.ErrTooLarge, exchange.ErrHeadTooLarge, errCaller, context.Canceled}

// mayBeCrash tells whether a run may have been lost because its replica ended.
func mayBeCrash(err error) bool {
	if err == nil {
		return false
	}
	for _, other := range noCrash {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// partsOf returns the replicas of a path that did not leave meanwhile.
func (p *modelPool) partsOf(path pipeline.Path) []poison.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []poison.Incarnation
	for _, h := range path {
		if p.listed[h.ID] {
			out = append(out, poison.Incarnation{Replica: h.ID, Born: h.Born})
		}
	}
	return out
}
