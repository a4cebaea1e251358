package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/demand"
)

// TestDigestPeriod checks that a digest that changes every 100 ms is published no
// more often than the configured period, also when the period exceeds the default
// of MaxPeriod.
func TestDigestPeriod(t *testing.T) {
	for _, period := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		publisher := demand.NewPublisher(publisherConfig(period))
		now := time.Unix(0, 0)
		var publishedAt []time.Time
		for i := range 100 {
			digest := demand.Digest{Pools: []demand.PoolDemand{{Ranks: []demand.RankDemand{{Queued: 1 + i%2*100}}}}}
			if i%5 == 0 {
				digest.Pools = nil
			}
			if publisher.Due(now, digest, 1) {
				publishedAt = append(publishedAt, now)
			}
			now = now.Add(100 * time.Millisecond)
		}
		require.Greater(t, len(publishedAt), 1)
		for i, at := range publishedAt[1:] {
			require.GreaterOrEqual(t, at.Sub(publishedAt[i]), period)
		}
		require.Less(t, publishedAt[1].Sub(publishedAt[0]), period+300*time.Millisecond)
	}
}
