package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestartedProcessEarnsItsShareAgain guards against processes that never get retries again after a
// restart, and services that are added later and get none.
func TestRestartedProcessEarnsItsShareAgain(t *testing.T) {
	l := Limit{Slack: 100, Window: 10 * time.Second}
	s := NewShare(l, epoch, false)
	s.SetInstances(10)
	b := s.NewBudget(epoch)
	require.False(t, b.TrySpend(epoch))
	require.True(t, b.TrySpend(epoch.Add(5*time.Second)))
	require.InDelta(t, 5, s.NewBudget(epoch.Add(time.Minute)).Available(epoch.Add(time.Minute)), 1e-9)
	require.InDelta(t, 5, NewShare(l, epoch, true).newBudgetOf(10).Available(epoch), 1e-9)
}

// newBudgetOf returns a new budget of one of n instances.
func (s *Share) newBudgetOf(n int) *Budget {
	s.SetInstances(n)
	return s.NewBudget(epoch)
}
