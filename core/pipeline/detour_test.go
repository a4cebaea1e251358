package pipeline_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/pipeline"
)

// TestManyDetoursHideTheDirectPath guards against finding no path where several replicas hold the same
// layer and each of them is a detour from a slower one that holds it too.
func TestManyDetoursHideTheDirectPath(t *testing.T) {
	const layers = 12
	cost := 0.0
	for n := range 8 {
		list := []pipeline.Replica{replica("most", "a", "small", 0, layers-1), replica("rest", "b", "large", layers-1, layers)}
		for i := range n {
			list = append(list, replica("one-"+string(rune('a'+i)), "a", "large", 1, 2))
		}
		f := pipeline.NewFleet(model(layers))
		f.SetReplicas(start, list)
		c, ok := f.Choose(start, pipeline.Demand{Prompt: 10, Output: 5}, pipeline.Constraint{})
		require.True(t, ok, "%d detours", n)
		requireTiling(t, layers, list, c.Path)
		require.Len(t, c.Path, 2)
		if n == 0 {
			cost = c.Cost
		}
		require.InDelta(t, cost, c.Cost, 1e-9, "%d detours", n)
	}
}
