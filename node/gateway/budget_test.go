package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/node/exchange"
)

// spend takes retries until none is left.
func spend(g *Gateway) int {
	n := 0
	for g.retryAllowed("s") {
		n++
	}
	return n
}

// TestBudgetOfAllInstancesHolds starts all instances at once, as after a power
// failure, beside what they spent before. The bound holds for all of them together.
func TestBudgetOfAllInstancesHolds(t *testing.T) {
	const instances, slack, ratio, requests = 59, 302.0, 0.2, 50
	synctest.Test(t, func(t *testing.T) {
		total, first := 0, 0
		start := func() *Gateway {
			return New(Options{
				Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: NewMetrics(),
				Retries: RetryBound{Ratio: ratio, Slack: slack, Window: 10 * time.Second},
			})
		}
		for range instances {
			g := start()
			g.SetInstances(instances)
			total += spend(g)
			g = start() // the power failure
			for range requests {
				g.countFirst("s")
				first++
				total += spend(g)
			}
			g.SetInstances(instances)
			total += spend(g)
		}
		require.LessOrEqual(t, float64(total), ratio*float64(first)+slack)
		require.GreaterOrEqual(t, float64(total), slack/2)
	})
}
