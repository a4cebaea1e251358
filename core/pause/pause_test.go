package pause_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/pause"
)

var start = time.Unix(1000, 0)

// TestMatchesNaiveList compares the list with a naive one that keeps all pauses.
func TestMatchesNaiveList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type pauseRequest struct {
			replica   string
			startTime int64
			end       time.Time
		}
		var all []pauseRequest
		l := pause.New()
		now := start
		latest := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "replica")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				latest[id]++
			case 1:
				l.Prune(now)
			default:
				d := time.Duration(rapid.IntRange(1, 90_000).Draw(t, "pause")) * time.Millisecond
				end := l.Add(now, id, latest[id], d, rapid.Float64Range(0, 1).Draw(t, "random"))
				require.False(t, end.Before(now.Add(min(d, pause.MaxDuration))), "shorter than requested")
				require.False(t, end.After(now.Add(pause.MaxDuration+time.Minute)))
				all = append(all, pauseRequest{id, latest[id], end})
			}
			for _, id := range []string{"a", "b"} {
				var want time.Time
				for _, x := range all {
					if x.replica == id && x.startTime == latest[id] && x.end.After(now) && x.end.After(want) {
						want = x.end
					}
				}
				got, ok := l.Until(now, id, latest[id])
				require.Equal(t, !want.IsZero(), ok)
				require.Equal(t, want, got)
			}
		}
	})
}

// TestPauseEndsAreSpread checks that the pauses of 95 instances that a replica rejected
// at the same moment end at different times.
func TestPauseEndsAreSpread(t *testing.T) {
	const instances = 95
	ends := map[time.Time]bool{}
	for i := range instances {
		end := pause.New().Add(start, "a", 1, 4*time.Second, float64(i)/instances)
		require.False(t, end.Before(start.Add(4*time.Second)))
		require.True(t, end.Before(start.Add(4500*time.Millisecond)))
		ends[end] = true
	}
	require.Len(t, ends, instances)
}
