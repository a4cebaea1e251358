package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestProgressTimeoutFollowsStepTimes checks that a stage with step times of
// 0.5 to 1.5 times a constant never exceeds its timeout, and that the timeout
// stays within a small multiple of a step.
func TestProgressTimeoutFollowsStepTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const initial = 10 * time.Second
		step := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		var e TimeoutEstimator
		require.Equal(t, initial, e.ProgressTimeout(0, initial))
		for range 60 {
			took := time.Duration(rapid.Float64Range(0.5, 1.5).Draw(t, "jitter") * float64(step))
			require.Greater(t, e.ProgressTimeout(0, initial), took)
			require.Greater(t, e.ProgressTimeout(100, initial), took)
			e.ObserveDecode(took)
			e.ObservePrefill(100, took)
		}
		timeout := e.ProgressTimeout(0, initial)
		require.Less(t, timeout, max(MinProgressTimeout+1, 12*step))
		require.GreaterOrEqual(t, e.ProgressTimeout(200, initial), e.ProgressTimeout(100, initial))
		e.RecordTimeout()
		require.Equal(t, min(2*timeout, MaxProgressTimeout), e.ProgressTimeout(0, initial))
		e.ObserveDecode(step)
		require.Less(t, e.ProgressTimeout(0, initial), max(2*MinProgressTimeout, 2*timeout))
	})
}

// TestProgressTimeoutCoversDeviation checks that a stage that takes eight times
// as long at every fifth step does not exceed its timeout.
func TestProgressTimeoutCoversDeviation(t *testing.T) {
	const initial = 10 * time.Second
	var e TimeoutEstimator
	for i := range 100 {
		took := time.Second
		if i%5 == 0 {
			took = 8 * time.Second
		}
		require.Greater(t, e.ProgressTimeout(0, initial), took, "step %d", i)
		e.ObserveDecode(took)
	}
}
