package pipeline_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/pipeline"
)

// TestPathIsNotUsedAfterItsReplicasChanged guards against a request that is sent over a path which
// existed when it was chosen.
func TestPathIsNotUsedAfterItsReplicasChanged(t *testing.T) {
	list := func() []pipeline.Replica {
		return []pipeline.Replica{replica("a", "z", "large", 0, 2), replica("b", "z", "large", 2, 4)}
	}
	for name, change := range map[string]func(l []pipeline.Replica) []pipeline.Replica{
		"left":          func(l []pipeline.Replica) []pipeline.Replica { return l[:1] },
		"restarted":     func(l []pipeline.Replica) []pipeline.Replica { l[1].StartTime++; return l },
		"other address": func(l []pipeline.Replica) []pipeline.Replica { l[1].Address = "b:2"; return l },
		"fewer layers":  func(l []pipeline.Replica) []pipeline.Replica { l[1].From = 3; return l },
	} {
		t.Run(name, func(t *testing.T) {
			f := pipeline.NewFleet(model(4))
			f.SetReplicas(start, list())
			c, ok := f.Choose(start, pipeline.Demand{Prompt: 10, Output: 10}, pipeline.Constraint{})
			require.True(t, ok)
			require.True(t, f.Holds(c.Path))
			more := append(list(), replica("c", "z", "large", 0, 4))
			f.SetReplicas(start, more)
			require.True(t, f.Holds(c.Path), "others joined")
			f.SetReplicas(start, change(list()))
			require.False(t, f.Holds(c.Path))
		})
	}
}
