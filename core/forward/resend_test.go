package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/forward"
)

// TestRejectedAnswersUseUpTheRetryBudget guards against begun answers that spend retries as fast as
// replicas reject them.
func TestRejectedAnswersUseUpTheRetryBudget(t *testing.T) {
	const (
		clientTimeout = 3 * time.Second
		mostSends     = 9
	)
	rapid.Check(t, func(t *rapid.T) {
		sends := 0
		for elapsed := time.Duration(0); elapsed < clientTimeout; {
			sends++
			elapsed += forward.ResendPause(sends, rapid.Float64Range(0, 1).Draw(t, "random"))
		}
		require.LessOrEqual(t, sends, mostSends)
	})
	require.Greater(t, forward.ResendPause(2, 0), forward.ResendPause(1, 0.99))
	require.Equal(t, forward.ResendPause(1000, 0), forward.ResendPause(3, 0))
}
