package retry

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func drawBudget(t *rapid.T) BudgetConfig {
	return BudgetConfig{
		Ratio:        rapid.Float64Range(0, 1).Draw(t, "ratio"),
		MinPerSecond: rapid.Float64Range(0, 2).Draw(t, "minimum rate"),
		Burst:        rapid.Float64Range(0, 20).Draw(t, "burst"),
	}
}

// In every period of a random history, the retries exceed the income of the period,
// ratio*firsts + rate*seconds, by at most the burst. No retry is denied while one is
// available.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawBudget(t)
		b := NewBudget(c)
		now := epoch
		b.RecordFirst(now)
		balance, highest := 0.0, 0.0 // income minus retries
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			pause := time.Duration(rapid.IntRange(-100, 1500).Draw(t, "pause")) * time.Millisecond
			now = now.Add(max(pause, 0))
			balance += c.MinPerSecond * max(pause, 0).Seconds()
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst(now.Add(min(pause, 0)))
				balance += c.Ratio
			} else {
				available := b.Available(now)
				require.Equal(t, available >= 1, b.TrySpend(now))
				if available >= 1 {
					balance--
				}
			}
			highest = max(highest, balance)
			require.LessOrEqual(t, highest-balance, c.Burst+1e-6)
		}
	})
}

// If every attempt fails, the load increases by the ratio, the burst and the minimum
// rate at most, and the whole ratio can be used.
func TestTotalFailureIncreasesLoadByRatio(t *testing.T) {
	c := BudgetConfig{Ratio: 0.2, MinPerSecond: 0.5, Burst: 10}
	b := NewBudget(c)
	const firsts, seconds, triesEach = 10_000, 100, 5
	attempts := 0
	for i := range firsts {
		now := epoch.Add(time.Duration(i) * seconds * time.Second / firsts)
		b.RecordFirst(now)
		attempts++
		for range triesEach {
			if b.TrySpend(now) {
				attempts++
			}
		}
	}
	extra := c.Burst + c.MinPerSecond*seconds
	require.LessOrEqual(t, float64(attempts), (1+c.Ratio)*firsts+extra)
	require.GreaterOrEqual(t, float64(attempts), (1+c.Ratio)*firsts)
}

// A group that had no first attempts for a long time can retry once the minimum rate
// has added a retry, and a smaller burst takes effect immediately.
func TestIdleGroupMayRetry(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.2, MinPerSecond: 0.5, Burst: 3})
	for range 3 {
		require.True(t, b.TrySpend(epoch))
	}
	require.False(t, b.TrySpend(epoch.Add(time.Second)))
	require.True(t, b.TrySpend(epoch.Add(2*time.Second)))
	require.InDelta(t, 3, b.Available(epoch.Add(time.Hour)), 1e-9)
	b.Configure(epoch.Add(time.Hour), BudgetConfig{Burst: 1})
	require.True(t, b.TrySpend(epoch.Add(time.Hour)))
	require.False(t, b.TrySpend(epoch.Add(2*time.Hour)))
}

// The delay is within [0, min(Cap, Base*2^n)], leaves the service time before the
// deadline, is proportional to the random number, and never overflows.
func TestBackoffIsFullJitterWithinDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{
			Base: time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "base")),
			Cap:  time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "cap")),
		}
		n := rapid.IntRange(0, 1000).Draw(t, "retry")
		limit := math.Min(float64(b.Cap), float64(b.Base)*math.Pow(2, float64(n)))
		// Drawn integers are mostly small; multiplying by an odd number spreads them.
		random := rapid.Uint64().Draw(t, "random") * 0x9e3779b97f4a7c15
		delay, ok := b.Delay(n, random, epoch, time.Time{}, time.Hour)
		require.True(t, ok)
		want := limit * (float64(random) / math.MaxUint64)
		require.InDelta(t, want, float64(delay), 1+limit*1e-9)

		service := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "service"))
		deadline := epoch.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "left")))
		delay, ok = b.Delay(n, random, epoch, deadline, service)
		require.Equal(t, deadline.After(epoch.Add(service)), ok)
		if ok {
			require.False(t, epoch.Add(delay).Add(service).After(deadline))
		}
	})
}

// TestBudgetWithWindow compares the retries of every window with an independent count:
// the income of the window and of the one before may be spent, and nothing older.
func TestBudgetWithWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		cfg := BudgetConfig{
			Ratio:        rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			MinPerSecond: rapid.Float64Range(0, 1).Draw(t, "rate"),
			Burst:        rapid.Float64Range(1, 8).Draw(t, "burst"),
			Window:       window,
		}
		b := NewBudget(cfg)
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				for range rapid.IntRange(1, 5).Draw(t, "count") {
					b.RecordFirst(now)
					firsts = append(firsts, now)
				}
				continue
			}
			for b.TrySpend(now) {
				retries = append(retries, now)
			}
		}
		within := func(list []time.Time, from, to time.Time) float64 {
			n := 0.0
			for _, at := range list {
				if !at.Before(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, at := range retries {
			end := at.Add(window)
			allowed := cfg.Burst + cfg.Ratio*within(firsts, at.Add(-window), end) + cfg.MinPerSecond*window.Seconds()
			require.LessOrEqual(t, within(retries, at, end), allowed+1e-6)
		}
	})
}

// TestBudgetCoversReplicaLoss models one of 95 instances with four requests per second.
// After 20 s a replica crashes with five of the instance's streams, all of which may be
// retried.
func TestBudgetCoversReplicaLoss(t *testing.T) {
	const instances = 95
	cfg := BudgetConfig{Ratio: 0.08, MinPerSecond: 0.1, Burst: 187.0 / instances, Window: 10 * time.Second}
	b := NewBudget(cfg)
	now := time.Unix(1000, 0)
	for range 80 {
		now = now.Add(250 * time.Millisecond)
		b.RecordFirst(now)
	}
	for i := range 5 {
		require.True(t, b.TrySpend(now), "stream %d", i)
	}
	require.False(t, b.TrySpend(now))
}
