package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/layout"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/node/gateway"
)

// sendAssignments sends the assignments concurrently.
func (c *Control) sendAssignments(ctx context.Context, m *pipeline.Model, entries map[string]roster.Entry, assignments []layout.Assignment, token int64) {
	var wg sync.WaitGroup
	for _, a := range assignments {
		e := entries[a.ID]
		c.mu.Lock()
		c.pending[a.ID] = assignment{from: a.From, to: a.To, startTime: e.StartTime, until: time.Now().Add(assignmentTimeout)}
		c.mu.Unlock()
		wg.Go(func() { c.sendAssignment(ctx, m, e, a, len(assignments), token) })
	}
	wg.Wait()
}

// sendAssignment sends one assignment and sets when it may be repeated.
func (c *Control) sendAssignment(ctx context.Context, m *pipeline.Model, e roster.Entry, a layout.Assignment, concurrent int, token int64) {
	if reason := c.assignmentObstacle(time.Now(), e, token); reason != "" {
		c.log.Info("layers not assigned", zap.String("replica", a.ID), zap.Int("from", a.From), zap.Int("to", a.To),
			zap.Int64("fence", token), zap.String("why", reason))
		c.mu.Lock()
		delete(c.pending, a.ID)
		c.mu.Unlock()
		return
	}
	res, err := c.opts.ReplicaControl.AssignLayers(ctx, gateway.Replica{ID: e.ID, Address: e.Address}, a.From, a.To, token)
	c.log.Info("layers assigned", zap.String("replica", a.ID), zap.String("kind", e.Kind), zap.String("zone", e.Zone),
		zap.Int("from", a.From), zap.Int("to", a.To), zap.String("why", a.Reason), zap.Int64("fence", token),
		zap.Int64("heartbeat", e.Sequence), zap.Stringer("result", res.Status), zap.Duration("pause", res.Pause), zap.Error(err))
	if res.Leaving {
		c.ReplicaLeaves(roster.Process{ID: e.ID, StartTime: e.StartTime})
	}
	if err != nil {
		c.delayAssignment(a.ID, res.Pause)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch res.Status {
	case gateway.CommandAccepted:
		p := c.pending[a.ID]
		p.until = time.Now().Add(loadTime(m, a.To-a.From, concurrent))
		c.pending[a.ID] = p
	case gateway.CommandFenced:
		c.leadership.rejectedToken = max(c.leadership.rejectedToken, token)
	case gateway.CommandConflict:
		p := c.pending[a.ID]
		p.until = time.Now().Add(conflictRetryDelay)
		c.pending[a.ID] = p
	case gateway.CommandOtherReplica, gateway.CommandUnknownRequest:
	}
}

// assignmentObstacle returns why an assignment that was planned earlier must not be sent, or "".
// Planning and earlier assignments take time, in which the leader may have been replaced and the
// replica may have left.
func (c *Control) assignmentObstacle(now time.Time, e roster.Entry, token int64) string {
	if current, ok := c.fencingToken(now); !ok || current != token {
		return "leadership has ended"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest, leaving, ok := c.roster.Get(e.ID); !ok || leaving || latest.StartTime != e.StartTime || latest.Address != e.Address {
		return "the replica has changed"
	}
	return ""
}

// delayAssignment sends no assignment to a replica that asked for a pause until it ends.
func (c *Control) delayAssignment(id string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[id]
	p.until = time.Now().Add(pause)
	c.pending[id] = p
}

// loadTime returns the longest expected time to load layers while concurrent assignments
// share the loading slots.
func loadTime(m *pipeline.Model, layers, concurrent int) time.Duration {
	rounds := 1.0
	if m.MaxConcurrentLoads > 0 {
		rounds = max(1, float64(concurrent)/float64(m.MaxConcurrentLoads))
	}
	s := m.LoadSeconds * float64(layers) / float64(m.Layers) * rounds
	return time.Duration(s*float64(time.Second)) + loadTimeMargin
}
