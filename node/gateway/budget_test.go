package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/retry"
	"masticbank.example/core/routing"
	"masticbank.example/node/exchange"
)

// spendAll uses up the retry budget and returns the number of retries.
func spendAll(g *Gateway) int {
	n := 0
	for g.retryAllowed("s") {
		n++
	}
	return n
}

// All instances restart at the same time, as after a power failure, after each has spent
// its budget. The total of the retries before and after still stays within the limit.
func TestRetryLimitHoldsAfterSimultaneousRestart(t *testing.T) {
	const instances, slack, ratio, requests = 59, 302.0, 0.2, 50
	synctest.Test(t, func(t *testing.T) {
		total, first := 0, 0
		for range instances {
			g := newLimitedGateway(slack, true)
			g.SetInstances(instances)
			total += spendAll(g)
			g = newLimitedGateway(slack, false) // restarts after the power failure
			for range requests {
				g.countFirst("s")
				first++
				total += spendAll(g)
			}
			g.SetInstances(instances)
			total += spendAll(g)
		}
		require.LessOrEqual(t, float64(total), ratio*float64(first)+slack)
		require.GreaterOrEqual(t, float64(total), slack/2)
	})
}

// newLimitedGateway returns a gateway whose service "s" has the retry budget of the further grown
// deployment.
func newLimitedGateway(slack float64, firstStart bool) *Gateway {
	return New(Options{
		FirstStart: firstStart,
		Client:     exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: NewMetrics(),
		Retries: retry.Limit{Ratio: 0.2, Slack: slack, Window: 10 * time.Second},
	})
}

// TestRestartsRefillTheRetryBudget guards against instances that restart and spend once more what
// their predecessors have spent: half of 89 are killed twice within one window.
func TestRestartsRefillTheRetryBudget(t *testing.T) {
	const instances, slack, restarts = 89, 362.0, 2 * 49
	synctest.Test(t, func(t *testing.T) {
		total := 0
		for i := range instances + restarts {
			g := newLimitedGateway(slack, i < instances)
			if i >= instances {
				total += spendAll(g) // the number of instances is not known yet
			}
			g.SetInstances(instances)
			total += spendAll(g)
		}
		require.LessOrEqual(t, float64(total), slack)
	})
}

// TestMoreInstancesThanRetriesExceedTheBudget guards against shares that are rounded up to one retry
// at each of many instances.
func TestMoreInstancesThanRetriesExceedTheBudget(t *testing.T) {
	const instances, slack = 1900, 362.0
	synctest.Test(t, func(t *testing.T) {
		total := 0
		for range instances {
			g := newLimitedGateway(slack, true)
			g.SetInstances(instances)
			total += spendAll(g)
		}
		require.LessOrEqual(t, float64(total), slack)
	})
}

// TestShortListOfInstancesRaisesTheRetryBudget guards against instances that each believe to be one
// of a few for some seconds, as after a cut, and spend the shares of the others.
func TestShortListOfInstancesRaisesTheRetryBudget(t *testing.T) {
	const instances, listed, slack = 89, 10, 362.0
	synctest.Test(t, func(t *testing.T) {
		total := 0
		for range instances {
			g := newLimitedGateway(slack, true)
			g.SetInstances(instances)
			start := time.Now()
			total += spendAll(g)
			g.SetInstances(listed)
			for time.Since(start) < g.opts.Retries.Window {
				time.Sleep(time.Second)
				total += spendAll(g)
			}
		}
		require.LessOrEqual(t, float64(total), slack)
	})
}

// A request whose retry only the budget denies waits until other requests have added to
// it, or until its client's time is over.
func TestRetryWaitsForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{
			Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: NewMetrics(),
			Retries: retry.Limit{Ratio: 0.2, Window: 10 * time.Second},
		})
		g.SetInstances(95)
		c := &call{service: &routing.Service{Name: "s"}}
		spendAll(g)
		start := time.Now()
		require.False(t, g.awaitRetry(t.Context(), c, start.Add(1500*time.Millisecond)))
		require.Equal(t, deniedBudget, c.denialReason)
		require.LessOrEqual(t, time.Since(start), 1500*time.Millisecond)

		start = time.Now()
		time.AfterFunc(300*time.Millisecond, func() {
			for range 20 {
				g.countFirst("s")
			}
		})
		require.True(t, g.awaitRetry(t.Context(), c, start.Add(1500*time.Millisecond)))
		require.LessOrEqual(t, time.Since(start), 300*time.Millisecond+budgetPollInterval)
		require.Empty(t, c.denialReason)

		spendAll(g)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		start = time.Now()
		require.False(t, g.awaitRetry(ctx, c, start.Add(1500*time.Millisecond)), "the client disconnected")
		require.LessOrEqual(t, time.Since(start), 50*time.Millisecond)
		require.Equal(t, deniedDeadline, c.denialReason)
		require.False(t, g.awaitRetry(ctx, c, start), "the time to wait is over")
	})
}
