package waitlist_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/waitlist"
)

var start = time.Unix(1000, 0)

func TestOrder(t *testing.T) {
	var l waitlist.List
	late := &waitlist.Item{Rank: 2}
	second := &waitlist.Item{Rank: 1}
	retried := &waitlist.Item{Rank: 1, Retried: true}
	urgent := &waitlist.Item{Rank: 0}
	for _, it := range []*waitlist.Item{late, second, retried, urgent} {
		l.Add(it)
	}
	for _, want := range []*waitlist.Item{urgent, retried, second, late} {
		require.Same(t, want, l.At(0))
		require.True(t, l.Remove(want))
	}
	require.Nil(t, l.At(0))
	require.False(t, l.Remove(late))
}

func TestRemoveExpired(t *testing.T) {
	var l waitlist.List
	a := &waitlist.Item{RefuseAt: start}
	b := &waitlist.Item{RefuseAt: start.Add(time.Second)}
	l.Add(a)
	l.Add(b)
	require.Equal(t, []*waitlist.Item{a}, l.RemoveExpired(start))
	require.Same(t, b, l.At(0))
	require.Equal(t, 1, l.Len())
}

// TestMatchesSorting compares the list with a stable sort by rank and Retried.
func TestMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l waitlist.List
		var naive []*waitlist.Item
		for range rapid.IntRange(0, 20).Draw(t, "items") {
			it := &waitlist.Item{Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Retried: rapid.Bool().Draw(t, "retried")}
			l.Add(it)
			naive = append(naive, it)
		}
		for rank := range 3 {
			for _, retried := range []bool{true, false} {
				for _, it := range naive {
					if it.Rank != rank || it.Retried != retried {
						continue
					}
					require.Same(t, it, l.At(0))
					l.Remove(it)
				}
			}
		}
		require.Zero(t, l.Len())
	})
}
