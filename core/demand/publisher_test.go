package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func queuedDigest(queued int) Digest {
	return Digest{Instance: "m1", Pools: []PoolDemand{Summarize(testPool, 1, []Load{{Workspace: "u", Queued: queued}}, 1)}}
}

func TestPublisherPublishesChangesSoon(t *testing.T) {
	publisher := NewPublisher(PublisherConfig{MinPeriod: DefaultMinPeriod, MaxPeriod: DefaultMaxPeriod})
	now := time.Unix(1000, 0)
	require.True(t, publisher.Due(now, queuedDigest(100), 1), "the first")
	require.False(t, publisher.Due(now.Add(DefaultMinPeriod-1), queuedDigest(0), 1), "too soon")
	require.False(t, publisher.Due(now.Add(DefaultMinPeriod), queuedDigest(101), 1), "almost unchanged")
	require.True(t, publisher.Due(now.Add(DefaultMinPeriod), queuedDigest(113), 1))
	now = now.Add(DefaultMinPeriod)
	require.False(t, publisher.Due(now.Add(DefaultMaxPeriod-1), queuedDigest(113), 1))
	require.True(t, publisher.Due(now.Add(DefaultMaxPeriod), queuedDigest(113), 1))
}

// publishedDigest is one published digest.
type publishedDigest struct {
	at   time.Time
	size float64
}

// bytesSince returns the total size of the digests from the i-th one on.
func bytesSince(digests []publishedDigest, i int) float64 {
	sum := 0.0
	for _, s := range digests[i:] {
		sum += s.size
	}
	return sum
}

// For any changes of demand, the digests in any period use at most the bandwidth budget, one
// burst, and the excess of one digest over a burst; and a digest is published at the latest when
// the budget for it has accumulated.
func TestPublisherKeepsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := PublisherConfig{
			MinPeriod: DefaultMinPeriod, MaxPeriod: DefaultMaxPeriod,
			BytesPerSecond: rapid.Float64Range(100, 8000).Draw(t, "budget"),
			Burst:          rapid.Float64Range(100, 4000).Draw(t, "burst"),
		}
		publisher := NewPublisher(config)
		now := time.Unix(1000, 0)
		last, largest := now, 0.0
		var digests []publishedDigest
		for range 200 {
			pause := rapid.SampledFrom([]int{1, 50, 200, 400, 400, 60_000}).Draw(t, "ms")
			elapsed := time.Duration(pause) * time.Millisecond
			now = now.Add(elapsed)
			size := rapid.IntRange(1, 9000).Draw(t, "size")
			largest = max(largest, float64(size))
			if publisher.Due(now, queuedDigest(rapid.IntRange(0, 50).Draw(t, "queued")), size) {
				last = now
				digests = append(digests, publishedDigest{now, float64(size)})
			}
			excess := max(0, largest-config.Burst)
			for i, s := range digests {
				allowed := config.Burst + now.Sub(s.at).Seconds()*config.BytesPerSecond + excess
				if bytesSince(digests, i) > allowed+1 {
					t.Fatalf("%.0f bytes in %v, allowed %.0f", bytesSince(digests, i), now.Sub(s.at), allowed)
				}
			}
			longest := max(config.MaxPeriod.Seconds(), (config.Burst+excess)/config.BytesPerSecond) + elapsed.Seconds()
			if now.Sub(last).Seconds() > longest+0.001 {
				t.Fatalf("nothing published for %v", now.Sub(last))
			}
		}
	})
}
