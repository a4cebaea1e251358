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
