package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/routing"
)

// TestRetriesThatWaitForAPathExceedTheLimit guards against retries that are spent by answers that wait
// for a path, while the budget refills, and that all reach replicas in the window in which paths are free.
func TestRetriesThatWaitForAPathExceedTheLimit(t *testing.T) {
	const slack, held, poll = 100.0, 17 * time.Second, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := newLimitedGateway(slack, true)
		g.SetInstances(1)
		var waiting []*call
		for start := time.Now(); time.Since(start) < held; time.Sleep(poll) {
			for {
				c := &call{service: &routing.Service{Name: "s"}}
				if !g.awaitRetry(t.Context(), c, time.Now()) {
					break
				}
				waiting = append(waiting, c)
			}
		}
		arrivals := 0
		for _, c := range waiting {
			if g.renewRetry(t.Context(), c) {
				arrivals++
			}
		}
		for start := time.Now(); time.Since(start) < g.opts.Retries.Window; time.Sleep(poll) {
			arrivals += spendAll(g)
		}
		require.LessOrEqual(t, float64(arrivals), slack)
	})
}
