package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sharer is one of the instances that keep a limit together.
type sharer struct {
	share  *Share
	budget *Budget
}

func newSharer(l Limit, now time.Time, firstStart bool) *sharer {
	return &sharer{share: NewShare(l, now, firstStart)}
}

func (s *sharer) setInstances(now time.Time, n int) {
	if s.share.SetInstances(now, n) && s.budget != nil {
		s.budget.Configure(now, s.share.Config())
	}
}

func (s *sharer) get(now time.Time) *Budget {
	if s.budget == nil {
		s.budget = s.share.NewBudget(now)
	}
	return s.budget
}

// TestRetriesOfAllInstancesExceedTheLimit guards against shares that together allow more retries in a
// window than the limit, while instances restart and read lists of instances that are too short.
func TestRetriesOfAllInstancesExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Ratio: rapid.Float64Range(0, 0.3).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"), Window: 10 * time.Second}
		now := epoch
		instances := rapid.IntRange(1, 40).Draw(t, "instances")
		all := make([]*sharer, instances)
		for i := range all {
			all[i] = newSharer(l, now, true)
			all[i].setInstances(now, instances)
		}
		var firsts, retries []time.Time
		var shortSince time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if !shortSince.IsZero() && now.Sub(shortSince) > l.Window-2*time.Second {
				shortSince = time.Time{}
				for _, s := range all {
					s.setInstances(now, instances)
				}
			}
			some := all[:rapid.IntRange(1, instances).Draw(t, "some")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				for i := range some {
					some[i] = newSharer(l, now, false)
					some[i].setInstances(now, instances)
				}
			case 1:
				if shortSince.IsZero() {
					shortSince = now
				}
				for _, s := range some {
					s.setInstances(now, rapid.IntRange(1, instances).Draw(t, "listed"))
				}
			case 2:
				for _, s := range some {
					s.get(now).RecordFirst(now)
					firsts = append(firsts, now)
				}
			default:
				for _, s := range some {
					for s.get(now).TrySpend(now) {
						retries = append(retries, now)
					}
				}
			}
		}
		requireWithinLimit(t, l, firsts, retries)
	})
}

// requireWithinLimit requires that in no window there are more retries than the limit allows for the
// first attempts in it, in the window before it or in the one half a window before it.
func requireWithinLimit(t *rapid.T, l Limit, firsts, retries []time.Time) {
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
		end := at.Add(l.Window)
		counted := max(within(firsts, at, end), within(firsts, at.Add(-l.Window/2), at.Add(l.Window/2)), within(firsts, at.Add(-l.Window), at))
		require.LessOrEqual(t, within(retries, at, end), l.Ratio*counted+l.Slack+1e-6)
	}
}

// TestReturnedRetriesExceedTheLimit guards against retries that are given back and spent again in a
// window in which the budget has been refilled meanwhile.
func TestReturnedRetriesExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Ratio: rapid.Float64Range(0, 0.3).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"), Window: 10 * time.Second}
		now := epoch
		b := NewShare(l, now, true).newBudgetOf(1)
		var firsts, retries, held []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.SampledFrom([]int{0, 0, 0, 20}).Draw(t, "firsts") {
				b.RecordFirst(now)
				firsts = append(firsts, now)
			}
			event := rapid.SampledFrom([]string{"none", "use", "hold", "return and use"}).Draw(t, "event")
			for event != "none" && b.TrySpend(now) {
				if event == "hold" {
					held = append(held, now)
				} else {
					retries = append(retries, now)
				}
			}
			if event == "return and use" {
				for _, at := range held {
					b.Return(now, at)
				}
				held = nil
				for b.TrySpend(now) {
					retries = append(retries, now)
				}
			}
		}
		requireWithinLimit(t, l, firsts, retries)
	})
}

// TestReturnedRetryIsLost guards against a retry that is given back soon and cannot be spent again.
func TestReturnedRetryIsLost(t *testing.T) {
	b := NewBudget(BudgetConfig{Burst: 2, Window: 10 * time.Second})
	require.True(t, b.TrySpend(epoch))
	require.True(t, b.TrySpend(epoch))
	require.False(t, b.TrySpend(epoch))
	b.Return(epoch.Add(5*time.Second), epoch)
	require.True(t, b.TrySpend(epoch.Add(5*time.Second)))
	require.False(t, b.TrySpend(epoch.Add(5*time.Second)))
	b.Return(epoch.Add(6*time.Second), epoch)
	require.False(t, b.TrySpend(epoch.Add(6*time.Second)))
}

// TestMissingInstancesKeepTheirShares guards against shares that grow at once when instances are
// missing from the list, which may be alive.
func TestMissingInstancesKeepTheirShares(t *testing.T) {
	s := NewShare(Limit{Slack: 100, Window: 10 * time.Second}, epoch, true)
	require.True(t, s.SetInstances(epoch, 10))
	require.False(t, s.SetInstances(epoch.Add(time.Second), 2))
	require.False(t, s.SetInstances(epoch.Add(9*time.Second), 4))
	require.True(t, s.SetInstances(epoch.Add(11*time.Second), 3))
	require.Equal(t, 4, s.Instances())
	require.True(t, s.SetInstances(epoch.Add(12*time.Second), 12))
	require.Equal(t, 12, s.Instances())
}

// TestRestartedProcessEarnsItsShareAgain guards against processes that never get retries again after a
// restart, and services that are added later and get none.
func TestRestartedProcessEarnsItsShareAgain(t *testing.T) {
	l := Limit{Slack: 100, Window: 10 * time.Second}
	s := NewShare(l, epoch, false)
	s.SetInstances(epoch, 10)
	b := s.NewBudget(epoch)
	require.False(t, b.TrySpend(epoch))
	require.True(t, b.TrySpend(epoch.Add(5*time.Second)))
	require.InDelta(t, 5, s.NewBudget(epoch.Add(time.Minute)).Available(epoch.Add(time.Minute)), 1e-9)
	require.InDelta(t, 5, NewShare(l, epoch, true).newBudgetOf(10).Available(epoch), 1e-9)
}

// newBudgetOf returns a new budget of one of n instances.
func (s *Share) newBudgetOf(n int) *Budget {
	s.SetInstances(epoch, n)
	return s.NewBudget(epoch)
}

// TestLimitWithoutAWindowIsRefilledEachSecond guards against settings that lack the window, with which
// the slack for a window was refilled each second.
func TestLimitWithoutAWindowIsRefilledEachSecond(t *testing.T) {
	now := time.Unix(0, 0)
	retries := func(l Limit) (n int) {
		s := NewShare(l, now, true)
		s.SetInstances(now, 1)
		b := s.NewBudget(now)
		for range 20 * 10 {
			now = now.Add(time.Second / 20)
			b.RecordFirst(now)
			for b.TrySpend(now) {
				n++
			}
		}
		return n
	}
	require.Positive(t, retries(Limit{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}))
	require.Zero(t, retries(Limit{Ratio: 0.2, Slack: 200}))
	require.Zero(t, retries(Limit{Window: 10 * time.Second}), "neither ratio nor slack")
}
