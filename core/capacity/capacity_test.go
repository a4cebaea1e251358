package capacity

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// minCut computes the minimum cut by trying all sets of boundaries that contain 0 and not layers:
// the smallest total of the edges that leave a set.
func minCut(layers int, edges []Edge) int {
	best := -1
	for set := range 1 << (layers - 1) {
		in := func(b int) bool {
			return b == 0 || (b < layers && set>>(b-1)&1 == 1)
		}
		cut := 0
		for _, e := range edges {
			if in(e.First) && !in(e.Last+1) {
				cut += e.Units
			}
		}
		if best < 0 || cut < best {
			best = cut
		}
	}
	return best
}

func TestMaxEqualsMinimumCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 7).Draw(t, "layers")
		var edges []Edge
		for range rapid.IntRange(0, 12).Draw(t, "edges") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			last := rapid.IntRange(first, layers-1).Draw(t, "last")
			edges = append(edges, Edge{First: first, Last: last, Units: rapid.IntRange(0, 9).Draw(t, "units")})
		}
		require.Equal(t, minCut(layers, edges), Max(layers, edges))
	})
}

func TestMaxOfGap(t *testing.T) {
	require.Zero(t, Max(3, []Edge{{First: 0, Last: 0, Units: 5}, {First: 2, Last: 2, Units: 5}}))
	require.Equal(t, 5, Max(3, []Edge{{First: 0, Last: 0, Units: 5}, {First: 1, Last: 2, Units: 8}}))
}
