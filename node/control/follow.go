package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
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
	p, cursor, err := c.opts.Configs.Newest(ctx)
	var m *Malformed
	if errors.As(err, &m) {
		c.reportMalformed([]*Malformed{m})
		return cursor, nil
	}
	if err != nil {
		return -1, err
	}
	if p != nil {
		c.apply(p, "store")
	}
	return cursor, nil
}

// nextConfig waits for configurations. The wait is given up when the store answers
// again after an outage, as the call may have been lost in it.
func (c *Control) nextConfig(ctx context.Context, cursor int64) (int64, error) {
	if c.opts.Reads != nil {
		c.awaitTurn(ctx)
	}
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.endPoll = cancel
	c.mu.Unlock()
	list, malformed, next, err := c.opts.Configs.Next(pollCtx, cursor, c.configWait())
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		return cursor, nil
	}
	if err != nil {
		return cursor, err
	}
	c.reportMalformed(malformed)
	for _, p := range list {
		c.apply(p, "store")
	}
	return next, nil
}

// awaitTurn waits while other instances follow the configuration, for configUnread at most.
func (c *Control) awaitTurn(ctx context.Context) {
	end := time.Now().Add(time.Duration((1 + rand.Float64()) / 2 * float64(configUnread)))
	for ctx.Err() == nil && !c.opts.Reads() && time.Now().Before(end) {
		sleep(ctx, turnInterval)
	}
}

// starting tells whether the whole system has just started for the first time.
func (c *Control) starting() bool {
	return c.opts.FirstStart && time.Since(c.started) < startPatience
}

// configWait is short for an instance that has no peers to tell it of a version that
// its poll misses.
func (c *Control) configWait() time.Duration {
	if c.opts.Peers != nil && c.opts.Peers() >= peersEnough {
		return configWait
	}
	if c.starting() {
		return startPatience
	}
	return configWaitAlone
}

// TakeConfig takes a configuration that another instance has in force.
func (c *Control) TakeConfig(content []byte) {
	p, err := c.opts.Configs.Decode(content)
	if err != nil {
		c.log.Warn("configuration of another instance not read", zap.Error(err))
		return
	}
	c.apply(p, "peer")
}

// followReplicas reads the replicas' entries until ctx ends. While the instance with
// the duty passes on what it reads, this one does not read.
func (c *Control) followReplicas(ctx context.Context) error {
	for ctx.Err() == nil {
		if left := c.passedOn(time.Now()); left > 0 {
			c.sleepExpiring(ctx, left)
			continue
		}
		err := c.readReplicas(ctx)
		switch {
		case errors.Is(err, ErrHistoryGone):
			c.log.Info("history of the replicas is gone, reading all entries")
			c.mu.Lock()
			c.feed.Lose()
			c.mu.Unlock()
			continue
		case err != nil:
			c.failed(ctx, "replicas", err)
			c.expire()
			continue
		}
		c.answered("replicas")
		c.sleepExpiring(ctx, c.readInterval())
	}
	return nil
}

// sleepExpiring sleeps, and drops entries as soon as their time to come back is over.
func (c *Control) sleepExpiring(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil; {
		c.expire()
		left := time.Until(end)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, expireInterval))
	}
}

// passedOn returns how long this instance may leave reading to the one with the duty.
func (c *Control) passedOn(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duty.Duty {
		return 0
	}
	return c.feed.Due(now, passedPatience+c.lateness)
}

// readInterval is shorter for the instance that reads for the others, and while
// orders of this instance are under way.
func (c *Control) readInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.placed) > 0:
		return orderedInterval
	case c.duty.Duty:
		return dutyInterval
	case c.starting():
		return startPatience
	default:
		return replicaInterval
	}
}

// readReplicas reads all entries, or what has changed since the last time.
func (c *Control) readReplicas(ctx context.Context) error {
	c.mu.Lock()
	cursor, known := c.feed.Next()
	c.mu.Unlock()
	if known {
		return c.nextReplicas(ctx, cursor)
	}
	list, malformed, cursor, err := c.opts.Replicas.Newest(ctx)
	if err != nil {
		return err
	}
	c.reportMalformed(malformed)
	c.mu.Lock()
	c.feed.Start(cursor)
	changes := c.roster.Replace(time.Now(), list)
	for id, change := range changes {
		c.logChange(id, change)
	}
	c.mu.Unlock()
	c.loaded.Store(true)
	c.publish(len(changes) > 0)
	if c.Ready() {
		c.opts.Gateway.Open()
	}
	return nil
}

func (c *Control) nextReplicas(ctx context.Context, cursor int64) error {
	updates, malformed, err := c.opts.Replicas.Next(ctx, cursor)
	if err != nil {
		return err
	}
	c.reportMalformed(malformed)
	c.mu.Lock()
	fresh, follows := c.feed.Read(updates)
	fresh.List = c.update(fresh.List)
	c.lateness = c.drawLateness()
	c.mu.Unlock()
	c.publish(len(fresh.List) > 0)
	if follows && c.opts.OnUpdates != nil {
		c.opts.OnUpdates(fresh)
	}
	return nil
}

// drawLateness returns how much longer than passedPatience this instance waits for what
// others read. When the one with the duty is gone, the first that reads tells the others.
func (c *Control) drawLateness() time.Duration {
	if c.opts.Peers == nil {
		return 0
	}
	most := min(mostLateness, time.Duration(c.opts.Peers())*latenessForPeer)
	return time.Duration(rand.Float64() * float64(most))
}

// update puts updates into the roster and returns those that are more than a
// heartbeat, or say that a replica leaves: this instance may have known it. The caller
// holds the lock.
func (c *Control) update(list []roster.Update) []roster.Update {
	var changed []roster.Update
	now := time.Now()
	for _, u := range list {
		change := c.roster.Apply(now, u)
		draining := u.Entry != nil && u.Entry.State == roster.Draining
		if change == roster.Same && u.Entry != nil && !draining {
			continue
		}
		changed = append(changed, u)
		if change != roster.Same {
			c.logChange(u.ID, change)
		}
	}
	return changed
}

// TakeUpdates takes what the instance with the duty has read.
func (c *Control) TakeUpdates(u roster.Updates) {
	c.mu.Lock()
	changed := c.update(c.feed.Passed(time.Now(), u))
	c.lateness = c.drawLateness()
	c.mu.Unlock()
	c.publish(len(changed) > 0)
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
		c.changedAt[e.Zone] = now
	}
	if change == roster.Left {
		c.tellLeft(id, e)
	}
}

// tellLeft tells the other instances of a replica that is to get no new work: by its own
// word if its entry e is there still, else because its entry is gone.
func (c *Control) tellLeft(id string, e roster.Entry) {
	switch {
	case e.ID != "" && c.opts.OnLeaving != nil:
		c.opts.OnLeaving(roster.Process{ID: id, Born: e.Born})
	case e.ID == "" && c.opts.OnRemoved != nil:
		c.opts.OnRemoved(id)
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
	for _, e := range c.roster.TakeEnded() {
		c.opts.Gateway.ReplicaEnded(poison.Incarnation{Replica: e.ID, Born: e.Born}, e.Restarted)
	}
}
