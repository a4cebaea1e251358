package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
)

const (
	// evidenceWait is the longest wait for new evidence in one call.
	evidenceWait = 5 * time.Second
	// evidenceInterval is the time between two looks whether evidence has to be read or
	// written.
	evidenceInterval = 100 * time.Millisecond
	// evidenceGrace is the time that instances have to connect to each other when the
	// whole system starts for the first time and there is no evidence yet.
	evidenceGrace = 5 * time.Second
	// connectedShare is the part of the other instances from which on they are relied on
	// for evidence: it comes round those that cannot reach each other.
	connectedShare = 0.75
	// maxExpired is the number of crashes beyond their retention that may stay in the
	// store; a record takes some 200 bytes.
	maxExpired = 256
	// maxKept bounds the crashes that wait to be written.
	maxKept = 1024
)

// EvidenceStore keeps evidence on requests that crash replicas.
type EvidenceStore interface {
	// Newest returns all evidence and a cursor.
	Newest(ctx context.Context) ([]poison.Crash, int64, error)
	// Next returns what was added since the cursor. It waits up to wait for it.
	Next(ctx context.Context, cursor int64, wait time.Duration) ([]poison.Crash, int64, error)
	// Add writes crashes; writing one again changes nothing.
	Add(ctx context.Context, crashes []poison.Crash) error
	// Drop removes crashes.
	Drop(ctx context.Context, crashes []poison.Crash) error
}

// KeepEvidence has crashes written to the store, so that they outlast all instances.
func (c *Control) KeepEvidence(crashes []poison.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, crashes...)
	if over := len(c.kept) - maxKept; over > 0 {
		c.log.Warn("evidence dropped, too much waits for the store", zap.Int("crashes", over))
		c.kept = c.kept[over:]
	}
}

// writeEvidence writes what waits until ctx ends.
func (c *Control) writeEvidence(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		crashes := c.kept
		c.kept = nil
		c.mu.Unlock()
		if len(crashes) == 0 {
			sleep(ctx, evidenceInterval)
			continue
		}
		if err := c.opts.Evidence.Add(ctx, crashes); err != nil {
			c.KeepEvidence(crashes)
			c.failed(ctx, "evidence", err)
			continue
		}
		c.answered("evidence")
	}
	return nil
}

// readEvidence reads all evidence after a start, and what is added while too few other
// instances are connected to tell it.
func (c *Control) readEvidence(ctx context.Context) error {
	started := time.Now()
	cursor := int64(-1)
	for ctx.Err() == nil {
		grace := c.opts.FirstStart && time.Since(started) < evidenceGrace
		if grace || (c.connected() && (cursor >= 0 || c.opts.FirstStart)) {
			sleep(ctx, evidenceInterval)
			continue
		}
		list, next, err := c.fetchEvidence(ctx, cursor)
		switch {
		case errors.Is(err, ErrHistoryGone):
			cursor = -1
			continue
		case err != nil:
			c.failed(ctx, "evidence", err)
			continue
		}
		cursor = next
		c.answered("evidence")
		if len(list) > 0 {
			c.log.Info("evidence read", zap.Int("crashes", len(list)))
			c.opts.Gateway.LearnEvidence(poison.State{Crashes: list})
		}
	}
	return nil
}

// fetchEvidence reads all evidence without a cursor, else what was added since.
func (c *Control) fetchEvidence(ctx context.Context, cursor int64) ([]poison.Crash, int64, error) {
	if cursor < 0 {
		list, next, err := c.opts.Evidence.Newest(ctx)
		if err != nil {
			return nil, cursor, err
		}
		return list, next, c.dropExpired(ctx, list)
	}
	return c.opts.Evidence.Next(ctx, cursor, evidenceWait)
}

// dropExpired removes the crashes beyond their retention when there are many.
func (c *Control) dropExpired(ctx context.Context, list []poison.Crash) error {
	var expired []poison.Crash
	for _, crash := range list {
		if time.Since(crash.At) >= poison.Retention {
			expired = append(expired, crash)
		}
	}
	if len(expired) <= maxExpired {
		return nil
	}
	c.log.Info("expired evidence dropped", zap.Int("crashes", len(expired)))
	return c.opts.Evidence.Drop(ctx, expired)
}

// connected tells whether enough other instances are connected.
func (c *Control) connected() bool {
	if c.opts.Peers == nil {
		return false
	}
	others := c.opts.Gateway.Instances() - 1
	return others >= 0 && float64(c.opts.Peers()) >= connectedShare*float64(others)
}
