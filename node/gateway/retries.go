package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/forward"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/retry"
	"masticbank.example/node/caller"
)

// Reasons why a retry is denied.
const (
	deniedDeadline = "deadline"
	deniedCrashes  = "crashes"
	deniedBudget   = "budget"
	// deniedPath means that no path was free in time for a retry that was allowed.
	deniedPath = "path"
)

// recordLimit records which limit has ended a request, if one has. The end of its time comes first.
func (g *Gateway) recordLimit(ctx context.Context, c *call, h *forward.History, next forward.Decision) {
	limit := h.Limit()
	if limit == forward.NoLimit || (next != forward.GiveUp && next != forward.Refuse) {
		return
	}
	c.denialReason = limit.String()
	if caller.Check(ctx) != nil {
		c.denialReason = deniedDeadline
	}
	g.opts.Metrics.RetryDenied(c.denialReason)
}

// mayRetry reports whether a request may be sent again; if so, it spends one retry of the
// budget.
func (g *Gateway) mayRetry(ctx context.Context, c *call) bool {
	c.denialReason = g.denial(ctx, c)
	if c.denialReason != "" {
		g.opts.Metrics.RetryDenied(c.denialReason)
	}
	return c.denialReason == ""
}

// retryDenial returns the reason why a request may not be sent again, or "" after spending
// one retry of the budget. If only the budget denies the retry it asks peers for one, as the caller asks
// again soon.
func (g *Gateway) retryDenial(ctx context.Context, c *call) string {
	reason := g.denial(ctx, c)
	if reason == deniedBudget {
		g.borrow(c)
	} else {
		g.endBorrowing(c)
	}
	return reason
}

// denial does the same for a caller that doesn't ask again.
func (g *Gateway) denial(ctx context.Context, c *call) string {
	switch {
	case caller.Check(ctx) != nil:
		return deniedDeadline
	case !g.crashes.mayRetry(c):
		return deniedCrashes
	case !g.retryAllowed(c.service.Name):
		return deniedBudget
	default:
		c.retrySpent = time.Now()
		return ""
	}
}

// errMayCrashReplica means that a retry is denied because of what became known since it was allowed.
var errMayCrashReplica = errors.New("the request may crash another replica")

// retryDenied returns an error if the request is a retry that crash evidence denies by now. It is called
// by the goroutine that sends, while another one decides on the run and writes the call's denialReason.
func (g *Gateway) retryDenied(c *call, retry bool) error {
	if !retry || g.crashes.mayRetry(c) {
		return nil
	}
	g.opts.Metrics.RetryDenied(deniedCrashes)
	return errMayCrashReplica
}

// budgetPollInterval is the time between two checks whether the budget allows a retry.
const budgetPollInterval = 100 * time.Millisecond

// retryReserve is the part of the time to wait for a retry that is left for finding its replica.
const retryReserve = 10 * time.Millisecond

// awaitRetry is like mayRetry, but while only the budget denies the retry it waits until
// the given time: each new request of the service adds to the budget, and peers lend retries.
func (g *Gateway) awaitRetry(ctx context.Context, c *call, end time.Time) bool {
	defer g.endBorrowing(c)
	c.denialReason = deniedBudget
	for end = end.Add(-retryReserve); time.Now().Before(end); {
		arrived := g.loanArrived(c.service.Name)
		if c.denialReason = g.retryDenial(ctx, c); c.denialReason != deniedBudget {
			break
		}
		t := time.NewTimer(min(g.untilNextCheck(c.service.Name), time.Until(end)))
		select {
		case <-t.C:
		case <-arrived:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
		}
	}
	switch c.denialReason {
	case "":
		return true
	case deniedBudget:
		return g.mayRetry(ctx, c)
	default:
		g.opts.Metrics.RetryDenied(c.denialReason)
		return false
	}
}

// retryAllowed spends one retry of a service's budget, or returns false.
func (g *Gateway) retryAllowed(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget(service).TrySpend(time.Now()) {
		return false
	}
	g.opts.Metrics.CountRetry(service)
	return true
}

// renewRetry reports whether a retry of the request that was spent before may be sent now. One that was
// spent long ago, as the request waited for a replica, is spent again: the budget has refilled since.
func (g *Gateway) renewRetry(ctx context.Context, c *call) bool {
	g.mu.Lock()
	expired := g.budget(c.service.Name).Expired(time.Now(), c.retrySpent)
	g.mu.Unlock()
	return !expired || g.mayRetry(ctx, c)
}

// returnRetry gives a retry that was spent at spentAt and reached no replica back to a service's
// budget.
func (g *Gateway) returnRetry(service string, spentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Return(time.Now(), spentAt)
	g.opts.Metrics.CountReturned(service)
}

// availableRetries returns the retries that are left in this instance's share of a service's budget.
func (g *Gateway) availableRetries(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Available(time.Now())
}

// countFirst adds the first attempt of a request to the service's budget.
func (g *Gateway) countFirst(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).RecordFirst(time.Now())
	g.opts.Metrics.CountFirst(service)
}

// budget returns this instance's share of a service's retry budget. The lock is held.
func (g *Gateway) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = g.share.NewBudget(time.Now())
		g.budgets[service] = b
	}
	return b
}

// sharingLocked describes how the replicas are shared. The lock is held.
func (g *Gateway) sharingLocked() pipeline.Sharing {
	return pipeline.Sharing{Random: rand.Float64, Instances: g.instances, Uninformed: !g.informed}
}

// informedShare is the share of the other instances whose load an instance knows when it counts as
// informed. Those of its own zone tell it directly, which may be a third of all; the sums of the other
// zones come some seconds later, when the zones' relays know each other.
const informedShare = 0.25

// uninformedLimit is how long after its start an instance may count as uninformed: the requests that the
// others ran then have ended, and replicas' own reports tell the rest.
const uninformedLimit = 8 * time.Second

// setInformed records of how many other instances the load is known. An instance stays informed, as
// instances that end leave no load.
func (g *Gateway) setInformed(included int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.started) > uninformedLimit {
		included = g.instances
	}
	if g.informed || g.instances == 0 || float64(included) < informedShare*float64(g.instances-1) {
		return
	}
	g.informed = true
	for _, p := range g.models {
		p.setSharing(g.sharingLocked())
	}
}

// Instances returns the number of entry instances; 0 while unknown.
func (g *Gateway) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// SetInstances sets the number of entry instances that share the work.
func (g *Gateway) SetInstances(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n < 1 {
		return
	}
	if n != g.instances {
		g.instances = n
		g.informed = g.informed || n == 1 // there is no load of others
		for _, p := range g.models {
			p.setSharing(g.sharingLocked())
		}
	}
	first := g.share.Instances() == 0
	if !g.share.SetInstances(time.Now(), n) {
		return
	}
	if first && g.opts.FirstStart {
		clear(g.budgets) // recreated on demand with a full bucket
	}
	g.configureBudgets()
}

// configureBudgets applies this instance's current share to its budgets. The lock is held.
func (g *Gateway) configureBudgets() {
	share := g.share.Config()
	g.opts.Metrics.SetRetryShare(share, g.share.Instances())
	g.log.Info("retry share changed", zap.Int("instances", g.share.Instances()), zap.Int("now", g.instances), zap.Float64("burst", share.Burst),
		zap.Float64("per_second", share.MinPerSecond), zap.Float64("ratio", share.Ratio))
	now := time.Now()
	for _, b := range g.budgets {
		b.Configure(now, share)
	}
}
