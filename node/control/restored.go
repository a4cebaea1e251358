package control

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/era"
)

// errOutdated is the error for an answer of an era that has ended.
var errOutdated = errors.New("answer of the store from before it was restored")

// restoredState is what this instance knows of the store's eras. The lock of Control guards it.
type restoredState struct {
	era.Tracker
	// count counts how often the store was restored since this instance has used it.
	count int64
	// evidenceDue is set after the store was restored until the evidence that it may have lost is
	// queued to be written again.
	evidenceDue bool
	// evidenceSent is true if this instance has ever sent evidence to the store.
	evidenceSent bool
}

// ObserveEra records the era that an answer of the store names.
func (c *Control) ObserveEra(answer int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEra(answer)
}

func (c *Control) observeEra(answer int64) {
	now, before := time.Now(), c.restored.Current()
	if !c.restored.Observe(answer) {
		return
	}
	c.log.Warn("store was restored from an older copy", zap.Int64("era", answer), zap.Int64("before", before),
		zap.Int64("version", c.version), zap.Int64("fence", c.leadership.token()))
	c.restored.count++
	c.feed.Invalidate()
	c.roster.ListRestored(now)
	c.suspendLeadership(now)
	select {
	case c.rejoin <- struct{}{}:
	default:
	}
	c.copied, c.copyWritten = 0, 0
	c.restored.evidenceDue = true
	if c.cancelPoll != nil {
		c.cancelPoll()
	}
}

// suspendLeadership ends the leadership of this instance until the next join tells who holds the task
// in the new era. If another instance held it before, it may act until its response has expired. The lock
// is held.
func (c *Control) suspendLeadership(now time.Time) {
	if _, held := c.fencingTokenLocked(now); !held {
		c.leadership.notBefore = now.Add(c.ttl() - leaderMargin)
	}
	c.leadership.until = time.Time{}
}

// StoreEra returns the store's era, and how often the store was restored since this instance has used it.
func (c *Control) StoreEra() (current, restored int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restored.Current(), c.restored.count
}

// resolveEra returns the era of an answer, or errOutdated if a later one has begun.
func (c *Control) resolveEra(answer int64) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resolveEraLocked(answer)
}

func (c *Control) resolveEraLocked(answer int64) (int64, error) {
	c.observeEra(answer)
	resolved, current := c.restored.Resolve(answer)
	if !current {
		return resolved, errOutdated
	}
	return resolved, nil
}

// continues checks that an answer is of the era in which its request's cursor is a position: in
// another one, records with lower offsets may be unread.
func (c *Control) continues(cursor, next era.Position) (era.Position, error) {
	resolved, err := c.resolveEra(next.Era)
	if err == nil && resolved != cursor.Era {
		err = ErrHistoryTruncated
	}
	return era.Position{Era: resolved, Offset: next.Offset}, err
}

// isCurrent reports whether a position lies in the current era.
func (c *Control) isCurrent(p era.Position) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.Era == c.restored.Current()
}
