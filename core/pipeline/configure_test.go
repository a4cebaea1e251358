package pipeline_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/pipeline"
)

// TestEqualModelRaisesTheCapacityAtOnce guards against memory that is still occupied by released layers
// and counts as free after a configuration that does not change the model.
func TestEqualModelRaisesTheCapacityAtOnce(t *testing.T) {
	m := model(4)
	f := pipeline.NewFleet(m)
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 4)})
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 2)})
	f.SetModel(model(4))
	require.Equal(t, m.CacheCapacity("small", 4), f.State("a").CacheCapacity)
	larger := model(4)
	larger.KVTokenBytes /= 2
	f.SetModel(larger)
	require.Equal(t, larger.CacheCapacity("small", 2), f.State("a").CacheCapacity, "a changed model applies at once")
}

// TestLayersOfAnEarlierProcessReturn guards against paths over layers that a replica held before it
// restarted, once the list of replicas is set again.
func TestLayersOfAnEarlierProcessReturn(t *testing.T) {
	f := pipeline.NewFleet(model(4))
	before := replica("a", "z", "large", 0, 4)
	f.SetReplicas(start, []pipeline.Replica{before})
	f.Observe(start, "a", pipeline.Report{HasLayers: true, From: 0, To: 4})
	restarted := replica("a", "z", "large", 0, 2)
	restarted.StartTime = before.StartTime + 1
	for range 2 {
		f.SetReplicas(start, []pipeline.Replica{restarted})
		require.Equal(t, restarted, f.State("a").Replica)
	}
}
