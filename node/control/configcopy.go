package control

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// copyInterval is the time between two checks whether a copy of the configuration has to
	// be written. Of versions in quick succession only the last one is copied.
	copyInterval = 500 * time.Millisecond
	// copyRetryInterval is the time until a failed write is repeated.
	copyRetryInterval = 2 * time.Second
)

// ConfigCopies keeps copies of the configuration in force in the store, apart from the operator's
// record. If all instances end while that record cannot be read, they can go on with a copy.
type ConfigCopies interface {
	// Write replaces the copies.
	Write(ctx context.Context, content []byte) error
	// Newest returns the newest copy that can be read, or nil if there is none.
	Newest(ctx context.Context) (*Published, error)
}

// writeCopies copies the configuration in force, while this instance is the leader, until ctx ends.
func (c *Control) writeCopies(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, copyInterval)
		if _, ok := c.fencingToken(time.Now()); !ok {
			continue
		}
		c.mu.Lock()
		version, content, copied, before := c.version, c.content, max(c.copied, c.copyWritten), c.restored.Current()
		c.mu.Unlock()
		if version <= copied || len(content) == 0 || ctx.Err() != nil {
			continue
		}
		if err := c.opts.Copies.Write(ctx, content); err != nil {
			c.log.Warn("configuration could not be copied", zap.Int64("version", version), zap.Error(err))
			sleep(ctx, copyRetryInterval)
			continue
		}
		c.mu.Lock()
		if c.restored.Current() == before { // else the store may have lost it
			c.copyWritten = version
		}
		c.mu.Unlock()
		c.log.Info("configuration copied", zap.Int64("version", version), zap.Int("bytes", len(content)))
	}
	return nil
}

// readCopy puts a copy of the configuration in force while no configuration is known. On the first
// start of the system there is none.
func (c *Control) readCopy(ctx context.Context) {
	if c.opts.Copies == nil || c.opts.FirstStart || c.configLoaded.Load() {
		return
	}
	c.mu.Lock()
	before := c.restored.Current()
	c.mu.Unlock()
	p, err := c.opts.Copies.Newest(ctx)
	if err != nil || p == nil {
		c.log.Warn("no copy of the configuration could be read", zap.Error(err))
		return
	}
	c.mu.Lock()
	if c.restored.Current() == before {
		c.copied = max(c.copied, p.Config.Version)
	}
	c.mu.Unlock()
	c.apply(p, "copy")
}
