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

func TestTellerTellsChangesAtOnce(t *testing.T) {
	teller := NewTeller(TellerConfig{MinPeriod: DefaultMinPeriod, MaxPeriod: DefaultMaxPeriod})
	now := time.Unix(1000, 0)
	require.True(t, teller.Due(now, queuedDigest(100), 1), "the first")
	require.False(t, teller.Due(now.Add(DefaultMinPeriod-1), queuedDigest(0), 1), "too soon")
	require.False(t, teller.Due(now.Add(DefaultMinPeriod), queuedDigest(101), 1), "as good as the same")
	require.True(t, teller.Due(now.Add(DefaultMinPeriod), queuedDigest(113), 1))
	now = now.Add(DefaultMinPeriod)
	require.False(t, teller.Due(now.Add(DefaultMaxPeriod-1), queuedDigest(113), 1))
	require.True(t, teller.Due(now.Add(DefaultMaxPeriod), queuedDigest(113), 1))
}

// tellerSpending is one digest that was told.
type tellerSpending struct {
	at   time.Time
	size float64
}

// spentSince sums up what was told from the i-th digest on.
func spentSince(spent []tellerSpending, i int) float64 {
	sum := 0.0
	for _, s := range spent[i:] {
		sum += s.size
	}
	return sum
}

// Whatever demand does, in any stretch of time digests cost no more than the
// budget, one burst, and the part of one digest that exceeds a burst; and a
// digest is told at the latest when its cost has gathered.
func TestTellerKeepsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := TellerConfig{
			MinPeriod: DefaultMinPeriod, MaxPeriod: DefaultMaxPeriod,
			BytesPerSecond: rapid.Float64Range(100, 8000).Draw(t, "budget"),
			Burst:          rapid.Float64Range(100, 4000).Draw(t, "burst"),
		}
		teller := NewTeller(config)
		now := time.Unix(1000, 0)
		last, largest := now, 0.0
		var spent []tellerSpending
		for range 200 {
			pause := rapid.SampledFrom([]int{1, 50, 200, 400, 400, 60_000}).Draw(t, "ms")
			passed := time.Duration(pause) * time.Millisecond
			now = now.Add(passed)
			size := rapid.IntRange(1, 9000).Draw(t, "size")
			largest = max(largest, float64(size))
			if teller.Due(now, queuedDigest(rapid.IntRange(0, 50).Draw(t, "queued")), size) {
				last = now
				spent = append(spent, tellerSpending{now, float64(size)})
			}
			excess := max(0, largest-config.Burst)
			for i, s := range spent {
				allowed := config.Burst + now.Sub(s.at).Seconds()*config.BytesPerSecond + excess
				if spentSince(spent, i) > allowed+1 {
					t.Fatalf("%.0f bytes in %v, allowed %.0f", spentSince(spent, i), now.Sub(s.at), allowed)
				}
			}
			longest := max(config.MaxPeriod.Seconds(), (config.Burst+excess)/config.BytesPerSecond) + passed.Seconds()
			if now.Sub(last).Seconds() > longest+0.001 {
				t.Fatalf("nothing told for %v", now.Sub(last))
			}
		}
	})
}
