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

// send gives the orders at the same time.
func (c *Control) send(ctx context.Context, m *pipeline.Model, entries map[string]roster.Entry, orders []layout.Order, token int64) {
	var wg sync.WaitGroup
	for _, o := range orders {
		e := entries[o.ID]
		c.mu.Lock()
		c.placed[o.ID] = placement{from: o.From, to: o.To, born: e.Born, until: time.Now().Add(orderPatience)}
		c.mu.Unlock()
		wg.Go(func() { c.sendOne(ctx, m, e, o, len(orders), token) })
	}
	wg.Wait()
}

func (c *Control) sendOne(ctx context.Context, m *pipeline.Model, e roster.Entry, o layout.Order, together int, token int64) {
	res, err := c.opts.Orders.Place(ctx, gateway.Replica{ID: e.ID, Address: e.Address}, o.From, o.To, token)
	c.log.Info("layers ordered", zap.String("replica", o.ID), zap.String("kind", e.Kind), zap.String("zone", e.Zone),
		zap.Int("from", o.From), zap.Int("to", o.To), zap.String("why", o.Why), zap.Int64("fence", token),
		zap.Int64("heartbeat", e.Sequence), zap.Stringer("result", res.Status), zap.Duration("pause", res.Pause), zap.Error(err))
	if res.Leaving {
		c.ReplicaLeaves(roster.Process{ID: e.ID, Born: e.Born})
	}
	if err != nil {
		c.wait(o.ID, res.Pause)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch res.Status {
	case gateway.OrderTaken:
		p := c.placed[o.ID]
		p.until = time.Now().Add(loadTime(m, o.To-o.From, together))
		c.placed[o.ID] = p
	case gateway.OrderFenced:
		c.duty.fenced = max(c.duty.fenced, token)
	case gateway.OrderConflict:
		p := c.placed[o.ID]
		p.until = time.Now().Add(conflictPatience)
		c.placed[o.ID] = p
	case gateway.OrderOtherReplica, gateway.OrderUnknownRequest:
	}
}

// wait keeps orders off a replica that asked for a pause.
func (c *Control) wait(id string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.placed[id]
	p.until = time.Now().Add(pause)
	c.placed[id] = p
}

// loadTime is the longest time expected for loading layers beside other loads.
func loadTime(m *pipeline.Model, layers, together int) time.Duration {
	queue := 1.0
	if m.LoadsAtOnce > 0 {
		queue = max(1, float64(together)/float64(m.LoadsAtOnce))
	}
	s := m.LoadSeconds * float64(layers) / float64(m.Layers) * queue
	return time.Duration(s*float64(time.Second)) + loadSlack
}
