package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/demand"
)

// TestDigestPeriod offers a changed digest each 100 ms: it is told no sooner
// than the period allows, also with a period above the default of MaxPeriod.
func TestDigestPeriod(t *testing.T) {
	for _, period := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		teller := demand.NewTeller(tellerConfig(period))
		now := time.Unix(0, 0)
		var told []time.Time
		for i := range 100 {
			digest := demand.Digest{Pools: []demand.PoolDemand{{Ranks: []demand.RankDemand{{Queued: 1 + i%2*100}}}}}
			if i%5 == 0 {
				digest.Pools = nil
			}
			if teller.Due(now, digest, 1) {
				told = append(told, now)
			}
			now = now.Add(100 * time.Millisecond)
		}
		require.Greater(t, len(told), 1)
		for i, at := range told[1:] {
			require.GreaterOrEqual(t, at.Sub(told[i]), period)
		}
		require.Less(t, told[1].Sub(told[0]), period+300*time.Millisecond)
	}
}
