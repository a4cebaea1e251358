package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/roster"
)

func updates(from, to int64) roster.Updates {
	u := roster.Updates{From: from, To: to}
	for o := from; o < to; o++ {
		u.List = append(u.List, roster.Update{ID: "r", Offset: o})
	}
	return u
}

func offsets(list []roster.Update) []int64 {
	var out []int64
	for _, u := range list {
		out = append(out, u.Offset)
	}
	return out
}

func TestFeedTakesNothingBeforeTheWholeList(t *testing.T) {
	var f roster.Feed
	require.Empty(t, f.Passed(start, updates(0, 3)))
	require.Zero(t, f.Due(start, time.Second))
	_, known := f.Next()
	require.False(t, known)
}

func TestFeedLeavesReadingToTheOther(t *testing.T) {
	var f roster.Feed
	f.Start(5)
	require.Zero(t, f.Due(start, time.Second))
	require.Equal(t, []int64{5, 6}, offsets(f.Passed(start, updates(3, 7))))
	require.Equal(t, time.Second, f.Due(start, time.Second))
	require.Equal(t, 400*time.Millisecond, f.Due(start.Add(600*time.Millisecond), time.Second))
	require.Zero(t, f.Due(start.Add(2*time.Second), time.Second))
	later := start.Add(1900 * time.Millisecond)
	require.Empty(t, f.Passed(later, updates(7, 7)), "nothing new is a sign of life")
	require.Equal(t, time.Second, f.Due(later, time.Second))
}

// TestFeedReadsItselfAfterAGap has an update lost on the way, and one of a sender
// that was held up.
func TestFeedReadsItselfAfterAGap(t *testing.T) {
	var f roster.Feed
	f.Start(5)
	require.Empty(t, f.Passed(start, updates(6, 8)))
	require.Empty(t, f.Passed(start, updates(2, 4)))
	require.Zero(t, f.Due(start, time.Second))
	next, known := f.Next()
	require.True(t, known)
	require.Equal(t, int64(5), next)
	require.Equal(t, []int64{5, 6, 7}, offsets(f.Read(updates(5, 8))))
	f.Lose()
	require.Empty(t, f.Passed(start, updates(8, 9)))
}

// TestFeedHasNoGapAndNoRepeat mixes own reads and passed ones in any order.
func TestFeedHasNoGapAndNoRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f roster.Feed
		f.Start(0)
		want := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.Int64Range(0, 50).Draw(t, "from")
			u := updates(from, from+rapid.Int64Range(0, 10).Draw(t, "n"))
			var got []roster.Update
			if rapid.Bool().Draw(t, "passed") {
				got = f.Passed(start, u)
			} else {
				got = f.Read(u)
			}
			for _, one := range got {
				require.Equal(t, want, one.Offset)
				want++
			}
			next, _ := f.Next()
			require.Equal(t, want, next)
		}
	})
}
