package control

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// storeStatus records since when the store is unavailable, if it is, and when it last responded
// to any call.
type storeStatus struct {
	unavailable bool
	since       time.Time
	respondedAt time.Time
}

// storeResponded records a successful call of the store.
func (c *Control) storeResponded(call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.store.respondedAt = now
	if !c.store.unavailable {
		return
	}
	c.log.Info("store is available again", zap.String("call", call), zap.Duration("away", now.Sub(c.store.since)))
	c.store.unavailable = false
	close(c.available)
	c.available = nil
	c.roster.SetStoreAvailable(now)
	if c.cancelPoll != nil {
		c.cancelPoll()
	}
}

// storeFailed records the failure of a call of the store that was sent at sent, and waits until
// the call is to be retried. Joins probe whether the store is available again; other calls wait
// for one to succeed, or for readRetryInterval. If the store has responded to another call since
// the call was sent, the failure only concerns its connection, or an outage that is over: the call
// is retried immediately.
func (c *Control) storeFailed(ctx context.Context, call string, sent time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	if responded := c.store.respondedAt; responded.After(sent) && !c.store.unavailable {
		c.mu.Unlock()
		c.log.Warn("call of the store failed although the store has responded since", zap.String("call", call), zap.Error(err),
			zap.Duration("age", time.Since(sent)), zap.Duration("responded_ago", time.Since(responded)))
		return
	}
	if !c.store.unavailable {
		c.store = storeStatus{unavailable: true, since: time.Now()}
		c.available = make(chan struct{})
		c.log.Warn("store is unavailable", zap.String("call", call), zap.Error(err))
	}
	c.roster.SetStoreUnavailable()
	available := c.available
	c.mu.Unlock()
	if call == membershipCall {
		sleep(ctx, joinRetryInterval)
		return
	}
	t := time.NewTimer(readRetryInterval)
	defer t.Stop()
	select {
	case <-available:
	case <-t.C:
	case <-ctx.Done():
	}
}

// StoreUnavailable reports whether the store is unavailable.
func (c *Control) StoreUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.unavailable
}
