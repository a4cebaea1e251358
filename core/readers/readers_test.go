package readers_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/readers"
)

// A network partition splits the instances into groups that know only their own members:
// each group has exactly count readers, or all its members if it is smaller.
func TestEachPartitionHasDesignatedReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		groups := map[int][]string{}
		for i := range rapid.IntRange(1, 120).Draw(t, "instances") {
			g := rapid.IntRange(0, 3).Draw(t, "group")
			groups[g] = append(groups[g], fmt.Sprintf("instance-%d", i))
		}
		for _, names := range groups {
			designated := 0
			for i, self := range names {
				others := append(append([]string(nil), names[:i]...), names[i+1:]...)
				if readers.IsDesignated(self, others, count) {
					designated++
				}
				require.Equal(t, readers.Highest(names) == self, readers.IsDesignated(self, others, 1))
			}
			require.Equal(t, min(count, len(names)), designated)
		}
	})
}
