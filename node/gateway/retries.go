package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/retry"
)

// Reasons for which a request is not retried.
const (
	deniedDeadline = "deadline"
	deniedCrashes  = "crashes"
	deniedBudget   = "budget"
)

// mayRetry tells whether a request may be sent again, and spends a retry then.
func (g *Gateway) mayRetry(ctx context.Context, c *call) bool {
	c.denied = g.denial(ctx, c)
	if c.denied != "" {
		g.opts.Metrics.RetryDenied(c.denied)
	}
	return c.denied == ""
}

// denial returns why a request may not be sent again, or "" and spends a retry.
func (g *Gateway) denial(ctx context.Context, c *call) string {
	switch {
	case ctx.Err() != nil:
		return deniedDeadline
	case !g.crashes.mayRetry(c):
		return deniedCrashes
	case !g.retryAllowed(c.service.Name):
		return deniedBudget
	default:
		return ""
	}
}

// budgetInterval is the time between two looks whether the budget allows a retry.
const budgetInterval = 100 * time.Millisecond

// awaitRetry is mayRetry that waits while only the budget forbids the retry, until a time:
// other requests pay into the budget.
func (g *Gateway) awaitRetry(ctx context.Context, c *call, until time.Time) bool {
	c.denied = deniedBudget
	for time.Now().Add(budgetInterval).Before(until) {
		if c.denied = g.denial(ctx, c); c.denied != deniedBudget {
			break
		}
		t := time.NewTimer(budgetInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	switch c.denied {
	case "":
		return true
	case deniedBudget:
		return g.mayRetry(ctx, c)
	default:
		g.opts.Metrics.RetryDenied(c.denied)
		return false
	}
}

// retryAllowed spends one retry of a service.
func (g *Gateway) retryAllowed(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Take(time.Now())
}

// countFirst records the first attempt of a request.
func (g *Gateway) countFirst(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).First(time.Now())
}

const (
	// retryRatioShare is the part of the allowed ratio of repeats that is used. What the
	// requests of one window pay for may be spent in the next one, so that it counts
	// twice; the rest covers requests that are counted in another window.
	retryRatioShare = 0.4
	// retryBankShare is the part of the slack that may be spent at once, when a
	// replica dies with many streams, and retryRateShare the part that comes back
	// within one window. Together they stay below 1: an instance that starts anew
	// has a full bank.
	retryBankShare = 0.5
	retryRateShare = 0.25
)

// budget returns this instance's part of a service's retry budget.
func (g *Gateway) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(g.budgetConfig())
		g.budgets[service] = b
	}
	return b
}

// budgetConfig returns this instance's part of the bound. An instance that does not
// know how many there are retries only what its own requests pay for: when all start
// at once, each of them would take itself for one of few.
func (g *Gateway) budgetConfig() retry.BudgetConfig {
	if g.instances == 0 {
		return retry.BudgetConfig{Ratio: g.opts.Retries.Ratio * retryRatioShare, Bank: 1, Window: g.opts.Retries.Window}
	}
	n := float64(g.instances)
	window := max(g.opts.Retries.Window, time.Second).Seconds()
	slack := g.opts.Retries.Slack / n
	return retry.BudgetConfig{
		Ratio:        g.opts.Retries.Ratio * retryRatioShare,
		MinPerSecond: slack * retryRateShare / window,
		Bank:         max(1, slack*retryBankShare),
		Window:       g.opts.Retries.Window,
	}
}

// sharing tells with whom the replicas are shared. An instance that does not know how many
// there are knows nothing of their load. The caller holds the lock.
func (g *Gateway) sharing() pipeline.Sharing {
	return pipeline.Sharing{Random: rand.Float64, Instances: g.instances, Uninformed: g.instances == 0}
}

// Instances returns the number of entry instances, 0 while it is not known.
func (g *Gateway) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// SetInstances tells how many entry instances share the work.
func (g *Gateway) SetInstances(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n < 1 || n == g.instances {
		return
	}
	first := g.instances == 0
	g.instances = n
	for _, p := range g.models {
		p.share(g.sharing())
	}
	if first {
		clear(g.budgets) // they start anew, with a full bank
	}
	now := time.Now()
	for _, b := range g.budgets {
		b.Configure(now, g.budgetConfig())
	}
}
