package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/roster"
)

// followConfig reads configurations until ctx ends.
func (c *Control) followConfig(ctx context.Context) error {
	cursor := int64(-1)
	for ctx.Err() == nil {
		var err error
		if cursor < 0 {
			cursor, err = c.readConfig(ctx)
		} else {
			cursor, err = c.nextConfig(ctx, cursor)
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			c.log.Info("history of the configuration is gone, reading the newest")
			cursor = -1
		case err != nil:
			c.failed(ctx, "configuration", err)
		default:
			c.answered("configuration")
		}
	}
	return nil
}

func (c *Control) readConfig(ctx context.Context) (int64, error) {
	cfg, cursor, err := c.opts.Configs.Newest(ctx)
	var m *Malformed
	if errors.As(err, &m) {
		c.reportMalformed([]*Malformed{m})
		return cursor, nil
	}
	if err != nil {
		return -1, err
	}
	if cfg != nil {
		c.apply(cfg)
	}
	return cursor, nil
}

func (c *Control) nextConfig(ctx context.Context, cursor int64) (int64, error) {
	list, malformed, next, err := c.opts.Configs.Next(ctx, cursor, configWait)
	if err != nil {
		return cursor, err
	}
	c.reportMalformed(malformed)
	for _, cfg := range list {
		c.apply(cfg)
	}
	return next, nil
}

// followReplicas reads the replicas' entries until ctx ends.
func (c *Control) followReplicas(ctx context.Context) error {
	cursor := int64(-1)
	for ctx.Err() == nil {
		var err error
		if cursor < 0 {
			cursor, err = c.readReplicas(ctx)
		} else {
			cursor, err = c.nextReplicas(ctx, cursor)
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			c.log.Info("history of the replicas is gone, reading all entries")
			cursor = -1
			continue
		case err != nil:
			c.failed(ctx, "replicas", err)
			c.expire()
			continue
		}
		c.answered("replicas")
		c.expire()
		sleep(ctx, c.readInterval())
	}
	return nil
}

// readInterval is shorter while orders of this instance are under way.
func (c *Control) readInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.placed) > 0 {
		return orderedInterval
	}
	return replicaInterval
}

func (c *Control) readReplicas(ctx context.Context) (int64, error) {
	list, malformed, cursor, err := c.opts.Replicas.Newest(ctx)
	if err != nil {
		return -1, err
	}
	c.reportMalformed(malformed)
	c.mu.Lock()
	changes := c.roster.Replace(time.Now(), list)
	for id, change := range changes {
		c.logChange(id, change)
	}
	c.mu.Unlock()
	c.loaded.Store(true)
	c.publish(len(changes) > 0)
	return cursor, nil
}

func (c *Control) nextReplicas(ctx context.Context, cursor int64) (int64, error) {
	changes, malformed, next, err := c.opts.Replicas.Next(ctx, cursor)
	if err != nil {
		return cursor, err
	}
	c.reportMalformed(malformed)
	c.mu.Lock()
	changed := false
	for _, ch := range changes {
		var change roster.Change
		if ch.Entry == nil {
			change = c.roster.Remove(time.Now(), ch.ID)
		} else {
			change = c.roster.Put(*ch.Entry)
		}
		if change != roster.Same {
			changed = true
			c.logChange(ch.ID, change)
		}
	}
	c.mu.Unlock()
	c.publish(changed)
	return next, nil
}

// logChange writes one line about a replica. The caller holds the lock.
func (c *Control) logChange(id string, change roster.Change) {
	e, leaving, _ := c.roster.Get(id)
	fields := []zap.Field{
		zap.String("replica", id), zap.Stringer("change", change), zap.Bool("leaving", leaving),
		zap.String("service", e.Service), zap.String("address", e.Address), zap.Int64("heartbeat", e.Sequence),
	}
	if e.Layers != nil {
		fields = append(fields, zap.Int("from", e.Layers.From), zap.Int("to", e.Layers.To))
	}
	c.log.Info("replica changed", fields...)
	now := time.Now()
	if change == roster.Joined {
		c.joinedAt = now
	}
	if change != roster.Updated {
		c.changedAt = now
	}
	if change == roster.Left && c.opts.OnLeaving != nil {
		c.opts.OnLeaving(id)
	}
}

// expire removes the entries that did not come back after an outage.
func (c *Control) expire() {
	c.mu.Lock()
	gone := c.roster.Expire(time.Now())
	for _, id := range gone {
		c.log.Info("replica did not come back after the outage of the store", zap.String("replica", id))
	}
	c.mu.Unlock()
	c.publish(len(gone) > 0)
}

// publish tells the gateway the usable replicas.
func (c *Control) publish(changed bool) {
	if !changed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Gateway.SetReplicas(c.roster.Usable)
}
