package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/era"
)

// followConfig reads configurations until ctx ends.
func (c *Control) followConfig(ctx context.Context) error {
	var cursor era.Position
	known := false
	for ctx.Err() == nil {
		if known && c.opts.IsDesignatedReader != nil {
			c.awaitReaderRole(ctx)
		}
		var err error
		sent := time.Now()
		readsAll := !known
		if known {
			cursor, err = c.nextConfig(ctx, cursor)
		} else {
			cursor, err = c.readConfig(ctx)
			known = err == nil
		}
		switch {
		case errors.Is(err, ErrHistoryTruncated):
			c.log.Info("history of the configuration was truncated, reading the newest version")
			known = false
			if readsAll {
				sleep(ctx, joinRetryInterval)
			}
		case err != nil:
			c.readCopy(ctx)
			c.storeFailed(ctx, "configuration", sent, err)
		default:
			c.storeResponded("configuration")
		}
	}
	return nil
}

// readConfig reads the newest configuration and returns the cursor after it.
func (c *Control) readConfig(ctx context.Context) (era.Position, error) {
	p, cursor, err := c.opts.Configs.Newest(ctx)
	var m *MalformedError
	if err != nil && !errors.As(err, &m) {
		return cursor, err
	}
	if cursor.Era, err = c.resolveEra(cursor.Era); err != nil {
		return cursor, err
	}
	if m != nil {
		c.reportMalformed([]*MalformedError{m})
		return cursor, nil
	}
	if p != nil {
		c.apply(p, "store")
	}
	return cursor, nil
}

// nextConfig waits for new configurations. The wait is cancelled when the store is
// available again after an outage, because the call may have been lost in it, and when the store
// was restored, because the cursor then lies in a history that has been replaced.
func (c *Control) nextConfig(ctx context.Context, cursor era.Position) (era.Position, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cancelPoll = cancel
	current := cursor.Era == c.restored.Current()
	c.mu.Unlock()
	if !current {
		return cursor, ErrHistoryTruncated
	}
	list, malformed, next, err := c.opts.Configs.Next(pollCtx, cursor, c.configWait())
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		return cursor, nil
	}
	if err != nil {
		return cursor, err
	}
	if next, err = c.continues(cursor, next); err != nil {
		return cursor, err
	}
	c.reportMalformed(malformed)
	for _, p := range list {
		c.apply(p, "store")
	}
	return next, nil
}

// awaitReaderRole waits while other instances follow the configuration, but no longer than
// maxConfigReadInterval.
func (c *Control) awaitReaderRole(ctx context.Context) {
	end := time.Now().Add(time.Duration((1 + rand.Float64()) / 2 * float64(maxConfigReadInterval)))
	for ctx.Err() == nil && !c.opts.IsDesignatedReader() && time.Now().Before(end) {
		sleep(ctx, readerCheckInterval)
	}
}

// inFirstStart reports whether the whole system has just started for the first time.
func (c *Control) inFirstStart() bool {
	return c.opts.FirstStart && time.Since(c.started) < firstStartInterval
}

// pollWait returns how long a poll waits whose result must arrive within limit even if the
// connection of the poll has gone silent without an error: it then ends in time for another one.
func pollWait(limit time.Duration) time.Duration {
	return max(minPollWait, min(limit-silentPollMargin, maxPollWait))
}

// configWait returns how long the next poll of the configuration waits. The connections of all
// peers may have gone silent together. It is shorter for an instance without peers from which it
// could receive a version that its poll misses.
func (c *Control) configWait() time.Duration {
	if c.opts.Peers != nil && c.opts.Peers() >= minPeersForConfig {
		return pollWait(c.opts.Recovery + c.opts.ConfigApply)
	}
	if c.inFirstStart() {
		return firstStartInterval
	}
	return configPollWaitWithoutPeers
}

// ApplyConfig applies a configuration that another instance has in force.
func (c *Control) ApplyConfig(content []byte) {
	p, err := c.opts.Configs.Decode(content)
	if err != nil {
		c.log.Warn("configuration of another instance could not be decoded", zap.Error(err))
		return
	}
	c.apply(p, "peer")
}
