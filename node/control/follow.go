package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/era"
	"masticbank.example/core/roster"
)

// followReplicas reads the replicas' entries until ctx ends. It does not read while the
// leader relays what it reads.
func (c *Control) followReplicas(ctx context.Context) error {
	for ctx.Err() == nil {
		if left := c.relayedReadDelay(time.Now()); left > 0 {
			c.sleepAndExpire(ctx, left)
			continue
		}
		sent := time.Now()
		readsAll := !c.listKnown()
		err := c.readReplicas(ctx)
		switch {
		case errors.Is(err, ErrHistoryTruncated):
			c.log.Info("history of the replicas was truncated, reading all entries")
			c.mu.Lock()
			c.feed.Invalidate()
			c.mu.Unlock()
			if readsAll {
				sleep(ctx, joinRetryInterval)
				c.expire()
			}
			continue
		case err != nil:
			c.storeFailed(ctx, "replicas", sent, err)
			c.expire()
			continue
		}
		c.storeResponded("replicas")
		c.sleepAndExpire(ctx, c.readInterval())
	}
	return nil
}

// sleepAndExpire waits for d, or until the whole list has to be read, and meanwhile removes entries
// as soon as their time to return after an outage expires.
func (c *Control) sleepAndExpire(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil && c.listKnown(); {
		c.expire()
		left := time.Until(end)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, c.nextExpiry()))
	}
}

// listKnown reports whether the whole list has been read.
func (c *Control) listKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.feed.Next()
	return known
}

// nextExpiry returns the time until the next check for expired entries.
func (c *Control) nextExpiry() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left := c.roster.GraceLeft(time.Now()); left > 0 {
		return min(left, expireInterval)
	}
	return expireInterval
}

// relayedReadDelay returns how long this instance may rely on updates relayed by others
// before it reads itself.
func (c *Control) relayedReadDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership.Leader {
		return 0
	}
	return c.feed.ReadDelay(now, relayedReadTimeout+c.readDelay)
}

// readInterval returns the time until the next read. It is shorter for the leader, which
// reads for the others, and while assignments of this instance are in progress.
func (c *Control) readInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.pending) > 0:
		return pendingReadInterval
	case c.leadership.Leader:
		return leaderReadInterval
	case c.inFirstStart():
		return firstStartInterval
	default:
		return replicaInterval
	}
}

// readReplicas reads all entries, or only the changes since the last read.
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
	unreadable := make([]string, 0, len(malformed))
	for _, m := range malformed {
		unreadable = append(unreadable, m.Key)
	}
	c.mu.Lock()
	if cursor.Era, err = c.resolveEraLocked(cursor.Era); err != nil {
		c.mu.Unlock()
		return err
	}
	c.feed.Reset(cursor)
	changes, ended := c.roster.Replace(time.Now(), list, unreadable)
	c.logGap(ended)
	for id, change := range changes {
		c.logChange(id, change)
	}
	c.mu.Unlock()
	c.reportMalformed(malformed)
	c.opts.Gateway.RecordListRead()
	c.replicasLoaded.Store(true)
	c.updateGateway(len(changes) > 0)
	if c.Ready() {
		c.opts.Gateway.MarkReady()
	}
	return nil
}

// nextReplicas reads and applies all changes since the cursor, and relays them.
func (c *Control) nextReplicas(ctx context.Context, cursor era.Position) error {
	for {
		updates, malformed, err := c.opts.Replicas.Next(ctx, cursor)
		if err != nil {
			return err
		}
		if err := c.applyRead(cursor, updates, malformed); err != nil {
			return err
		}
		if !updates.More || updates.To <= cursor.Offset {
			return nil
		}
		cursor.Offset = updates.To
	}
}

// applyRead applies and relays updates that this instance has read from the cursor on.
func (c *Control) applyRead(cursor era.Position, updates roster.Updates, malformed []*MalformedError) error {
	next, err := c.continues(cursor, era.Position{Era: updates.Era, Offset: updates.To})
	if err != nil {
		return err
	}
	updates.Era = next.Era
	c.reportMalformed(malformed)
	c.opts.Gateway.RecordListRead()
	c.mu.Lock()
	c.logGap(c.roster.BeginUpdates(time.Now(), updates.List, !updates.More))
	fresh, follows := c.feed.ApplyRead(updates)
	fresh.List = c.update(fresh.List)
	c.readDelay = c.randomReadDelay()
	c.mu.Unlock()
	c.updateGateway(len(fresh.List) > 0)
	if follows && c.opts.OnUpdates != nil {
		c.opts.OnUpdates(fresh)
	}
	return nil
}

// logGap logs a time in which the replicas were not read and what their heartbeats show about it.
// The lock is held.
func (c *Control) logGap(g *roster.Gap) {
	if g == nil {
		return
	}
	c.log.Info("replicas were not read for a while", zap.Duration("for", g.Length), zap.Int64("heartbeats", g.Heartbeats),
		zap.Bool("store_outage", g.Outage))
}

// randomReadDelay returns a random time that this instance waits beyond
// relayedReadTimeout. If the leader has failed, the instance that reads first relays its
// updates before the others read.
func (c *Control) randomReadDelay() time.Duration {
	if c.opts.Peers == nil {
		return 0
	}
	limit := min(maxReadDelay, time.Duration(c.opts.Peers())*readDelayPerPeer)
	return time.Duration(rand.Float64() * float64(limit))
}

// update applies updates to the roster. It returns those that are more than a heartbeat,
// and those that report a shutdown even if this instance knew it already, as others may
// not. The lock is held.
func (c *Control) update(list []roster.Update) []roster.Update {
	var changed []roster.Update
	now := time.Now()
	for _, u := range list {
		change := c.roster.Apply(now, u)
		draining := u.Entry != nil && u.Entry.State == roster.Draining
		if change == roster.Unchanged && u.Entry != nil && !draining {
			continue
		}
		changed = append(changed, u)
		if change != roster.Unchanged {
			c.logChange(u.ID, change)
		}
	}
	return changed
}

// ApplyUpdates applies updates that the leader has read.
func (c *Control) ApplyUpdates(u roster.Updates) {
	c.opts.Gateway.RecordListRead()
	c.mu.Lock()
	now := time.Now()
	list, current := c.feed.ApplyForwarded(now, u)
	if current {
		c.roster.BeginForwarded(now)
	}
	changed := c.update(list)
	c.readDelay = c.randomReadDelay()
	c.mu.Unlock()
	c.updateGateway(len(changed) > 0)
}

// logChange logs a change of a replica and records its time. The lock is held.
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
		c.lastJoin = now
	}
	if change != roster.Updated {
		c.lastChange[e.Zone] = now
	}
	if change == roster.Left {
		c.publishDeparture(id, e)
	}
}

// publishDeparture reports to the other instances that a replica is to get no new work:
// because it shuts down, if its entry e is still listed, else because its entry was
// removed.
func (c *Control) publishDeparture(id string, e roster.Entry) {
	switch {
	case e.ID != "" && c.opts.OnLeaving != nil:
		c.opts.OnLeaving(roster.Process{ID: id, StartTime: e.StartTime})
	case e.ID == "" && c.opts.OnRemoved != nil:
		c.opts.OnRemoved(id)
	}
}

// expire removes the entries that did not return in time after an outage.
func (c *Control) expire() {
	c.mu.Lock()
	expired := c.roster.Expire(time.Now())
	for _, id := range expired {
		c.log.Info("replica did not return after the store outage", zap.String("replica", id))
	}
	c.mu.Unlock()
	c.updateGateway(len(expired) > 0)
}

// updateGateway passes the usable replicas and the ended processes to the gateway if
// something changed.
func (c *Control) updateGateway(changed bool) {
	if !changed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Gateway.SetReplicas(c.roster.Available)
	for _, e := range c.roster.DrainEnded() {
		c.opts.Gateway.ReplicaEnded(e)
	}
}
