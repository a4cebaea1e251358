package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
)

// outcomeReplicasPaused is the logged outcome of requests that are refused because all
// replicas that could run them asked for a pause.
const outcomeReplicasPaused = "replicas_paused"

// reportIfLeaving reports a replica whose response says that it shuts down.
func (g *Gateway) reportIfLeaving(r Replica, info Response) {
	if info.Leaving {
		g.reportLeaving(r)
	}
}

// applyResponseInfo handles what a response says about the first replica of the path and
// about the stage that rejected the request. A pause applies to both: the first replica
// asked for it, and the stage is the reason.
func (s *stream) applyResponseInfo(first pipeline.Stage, info Response) {
	s.g.reportIfLeaving(Replica{ID: first.ID, StartTime: first.StartTime}, info)
	if info.Pause <= 0 {
		return
	}
	for _, stage := range s.grant.path() {
		if stage.ID == first.ID || stage.Address == info.FailingStage {
			s.g.logPause(s.ID, stage.ID, info.Pause, s.pool.pause(stage, info.Pause))
		}
	}
}

// reportLeaving reports that a replica process accepts no new work.
func (g *Gateway) reportLeaving(r Replica) {
	if g.opts.OnLeaving != nil {
		g.opts.OnLeaving(roster.Process{ID: r.ID, StartTime: r.StartTime})
	}
}

func (g *Gateway) logPause(request, replica string, requested time.Duration, until time.Time) {
	g.log.Info("replica asked for a pause", zap.String("request", request), zap.String("replica", replica),
		zap.Duration("asked", requested), zap.Duration("for", time.Until(until)))
}

// pause keeps new paths away from a stage that asked for a pause, and returns its end. It does not
// apply to a later process of the replica.
func (p *modelPool) pause(stage pipeline.Stage, d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.startTimes[stage.ID] > stage.StartTime {
		return now
	}
	end := p.pauses.Add(now, stage.ID, stage.StartTime, d, rand.Float64())
	p.fleet.Block(stage.ID, end)
	return end
}

// restorePauses blocks replicas again that were removed from the list and returned within
// their pause. The lock is held.
func (p *modelPool) restorePauses(now time.Time) {
	p.pauses.Prune(now)
	for _, r := range p.fleet.Replicas() {
		if end, ok := p.pauses.Until(now, r.ID, r.StartTime); ok {
			p.fleet.Block(r.ID, end)
		}
	}
}

// paused returns the time until every layer is held by a usable replica, if only pauses
// leave a layer without one; else 0.
func (p *modelPool) paused(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pauses.Empty() {
		return 0
	}
	at, ok := p.fleet.CoveredAt(now, func(id string) (time.Time, bool) { return p.pauses.Until(now, id, p.startTimes[id]) })
	if !ok || !at.After(now) {
		return 0
	}
	return at.Sub(now)
}
