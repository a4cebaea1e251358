package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/era"
	"masticbank.example/core/poison"
)

const (
	// maxEvidenceWait is the longest wait for new evidence in one call.
	maxEvidenceWait = 5 * time.Second
	// evidenceInterval is the time between two checks whether evidence has to be read or
	// written.
	evidenceInterval = 100 * time.Millisecond
	// evidenceGrace is how long instances may take to connect to each other when the whole
	// system starts for the first time and there is no evidence yet.
	evidenceGrace = 5 * time.Second
	// minConnectedShare is the fraction of the other instances that must be connected for
	// an instance to rely on them for evidence: then it also arrives through others from
	// those that it cannot reach.
	minConnectedShare = 0.75
	// maxStoredExpired is the number of crashes past their retention that may stay in the
	// store; a record takes about 200 bytes.
	maxStoredExpired = 256
	// maxUnwritten limits the crashes that wait to be written.
	maxUnwritten = 1024
)

// EvidenceStore stores evidence about requests that crash replicas.
type EvidenceStore interface {
	// Newest returns all evidence and a cursor.
	Newest(ctx context.Context) ([]poison.Crash, era.Position, error)
	// Next returns what was added since the cursor. It waits for it up to wait.
	Next(ctx context.Context, cursor era.Position, wait time.Duration) ([]poison.Crash, era.Position, error)
	// Add writes crashes. Writing one again has no effect.
	Add(ctx context.Context, crashes []poison.Crash) error
	// Delete deletes crashes.
	Delete(ctx context.Context, crashes []poison.Crash) error
}

// StoreEvidence queues crashes to be written to the store, so that they survive when all
// instances end.
func (c *Control) StoreEvidence(crashes []poison.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten = append(c.unwritten, crashes...)
	if over := len(c.unwritten) - maxUnwritten; over > 0 {
		c.log.Warn("evidence discarded: too much is waiting to be written", zap.Int("crashes", over))
		c.unwritten = c.unwritten[over:]
	}
}

// writeEvidence writes queued crashes until ctx ends.
func (c *Control) writeEvidence(ctx context.Context) error {
	for ctx.Err() == nil {
		c.queueLostEvidence()
		c.mu.Lock()
		crashes := c.unwritten
		c.unwritten = nil
		c.restored.evidenceSent = c.restored.evidenceSent || len(crashes) > 0
		c.mu.Unlock()
		if len(crashes) == 0 {
			sleep(ctx, evidenceInterval)
			continue
		}
		sent := time.Now()
		if err := c.opts.Evidence.Add(ctx, crashes); err != nil {
			c.StoreEvidence(crashes)
			c.storeFailed(ctx, "evidence", sent, err)
			continue
		}
		c.storeResponded("evidence")
	}
	return nil
}

// queueLostEvidence queues all evidence of requests with several crashes once after the store was
// restored. The leader does so for instances that have ended since they wrote theirs, and each instance
// that has written some, as others may never have received it.
func (c *Control) queueLostEvidence() {
	_, leads := c.fencingToken(time.Now())
	c.mu.Lock()
	due := c.restored.evidenceDue && (leads || c.restored.evidenceSent)
	if due {
		c.restored.evidenceDue = false
	}
	c.mu.Unlock()
	if !due {
		return
	}
	crashes := c.opts.Gateway.RecurringEvidence()
	c.log.Info("evidence is written again", zap.Int("crashes", len(crashes)))
	c.StoreEvidence(crashes)
}

// readEvidence reads all evidence after a start. While too few other instances are
// connected to publish new evidence, it also reads what is added.
func (c *Control) readEvidence(ctx context.Context) error {
	started := time.Now()
	var cursor era.Position
	// known is true while the cursor is one, read once all evidence was read.
	known, read := false, false
	for ctx.Err() == nil {
		known = known && c.isCurrent(cursor)
		inGrace := c.opts.FirstStart && time.Since(started) < evidenceGrace
		if inGrace || (c.connected() && (read || c.opts.FirstStart)) {
			sleep(ctx, evidenceInterval)
			continue
		}
		sent := time.Now()
		list, next, err := c.fetchEvidence(ctx, cursor, known)
		switch {
		case errors.Is(err, ErrHistoryTruncated):
			if !known {
				sleep(ctx, joinRetryInterval)
			}
			known = false
			continue
		case err != nil:
			c.storeFailed(ctx, "evidence", sent, err)
			continue
		}
		cursor, known, read = next, true, true
		c.storeResponded("evidence")
		if len(list) > 0 {
			c.log.Info("evidence read", zap.Int("crashes", len(list)))
			c.opts.Gateway.MergeEvidence(poison.Evidence{Crashes: list})
		}
	}
	return nil
}

// fetchEvidence reads what was added since the cursor, or all evidence if it is not known.
func (c *Control) fetchEvidence(ctx context.Context, cursor era.Position, known bool) ([]poison.Crash, era.Position, error) {
	if !known {
		list, next, err := c.opts.Evidence.Newest(ctx)
		if err != nil {
			return nil, next, err
		}
		if next.Era, err = c.resolveEra(next.Era); err != nil {
			return nil, next, err
		}
		return list, next, c.deleteExpired(ctx, list)
	}
	list, next, err := c.opts.Evidence.Next(ctx, cursor, min(pollWait(c.opts.Recovery), maxEvidenceWait))
	if err != nil {
		return nil, next, err
	}
	next, err = c.continues(cursor, next)
	return list, next, err
}

// deleteExpired deletes the crashes past their retention if there are many.
func (c *Control) deleteExpired(ctx context.Context, list []poison.Crash) error {
	var expired []poison.Crash
	for _, crash := range list {
		if time.Since(crash.At) >= poison.Retention {
			expired = append(expired, crash)
		}
	}
	if len(expired) <= maxStoredExpired {
		return nil
	}
	c.log.Info("expired evidence deleted from the store", zap.Int("crashes", len(expired)))
	return c.opts.Evidence.Delete(ctx, expired)
}

// connected reports whether enough other instances are connected.
func (c *Control) connected() bool {
	if c.opts.Peers == nil {
		return false
	}
	others := c.opts.Gateway.Instances() - 1
	return others >= 0 && float64(c.opts.Peers()) >= minConnectedShare*float64(others)
}
