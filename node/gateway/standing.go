package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
)

// outcomePaused is the outcome of requests that are refused because all replicas that
// could run them have asked for a pause.
const outcomePaused = "replicas_paused"

// noteAnswer passes on that a replica leaves, by its own answer.
func (g *Gateway) noteAnswer(r Replica, a Answer) {
	if a.Leaving {
		g.leaves(r)
	}
}

// noteAnswer takes what the first replica of a path says of itself and of the part that turned
// the request away. A pause holds for both: the first replica has asked for it, and the
// part is the reason.
func (s *stream) noteAnswer(first pipeline.Hop, a Answer) {
	s.g.noteAnswer(Replica{ID: first.ID, Born: first.Born}, a)
	if a.Pause <= 0 {
		return
	}
	s.g.logPause(s.ID, first.ID, a.Pause, s.pool.pause(first.ID, a.Pause))
	if part := s.pool.idAt(a.FailingPart); part != "" && part != first.ID {
		s.g.logPause(s.ID, part, a.Pause, s.pool.pause(part, a.Pause))
	}
}

// leaves passes on that the process of a replica takes no new work.
func (g *Gateway) leaves(r Replica) {
	if g.opts.OnLeaving != nil {
		g.opts.OnLeaving(roster.Process{ID: r.ID, Born: r.Born})
	}
}

func (g *Gateway) logPause(request, replica string, asked time.Duration, until time.Time) {
	g.log.Info("replica asks for a pause", zap.String("request", request), zap.String("replica", replica),
		zap.Duration("asked", asked), zap.Duration("for", time.Until(until)))
}

// pause keeps new paths off a part that asked for it, and returns until when.
func (p *modelPool) pause(id string, d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	end := p.pauses.Add(now, id, p.born[id], d, rand.Float64())
	p.fleet.Block(id, end)
	return end
}

// keepPauses blocks the replicas that are listed again within their pause. The caller
// holds the lock.
func (p *modelPool) keepPauses(now time.Time) {
	p.pauses.Prune(now)
	for _, r := range p.fleet.Replicas() {
		if end, ok := p.pauses.Until(now, r.ID, r.Born); ok {
			p.fleet.Block(r.ID, end)
		}
	}
}

// paused returns the time until every layer is held by a replica that may be used, if
// pauses alone leave a layer without one; else 0.
func (p *modelPool) paused(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pauses.Empty() {
		return 0
	}
	at, ok := p.fleet.CoveredAt(now, func(id string) (time.Time, bool) { return p.pauses.Until(now, id, p.born[id]) })
	if !ok || !at.After(now) {
		return 0
	}
	return at.Sub(now)
}
