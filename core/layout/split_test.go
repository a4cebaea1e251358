package layout_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/layout"
	"masticbank.example/core/pipeline"
)

// speedModel is the model with the published speeds of the accelerators.
func speedModel() *pipeline.Model {
	m := model()
	for name, factor := range map[string]float64{"h100": 1.4, "a100s": 3.1, "l4": 16, "t4": 15} {
		k := m.Kinds[name]
		k.StepFactor = factor
		m.Kinds[name] = k
	}
	return m
}

// stepFactor returns the step time of a path through all layers of a zone, on the fastest holder of
// each layer, relative to the usual step time.
func stepFactor(m *pipeline.Model, replicas []layout.Replica, zone string) float64 {
	sum := 0.0
	for l := range m.Layers {
		fastest := 0.0
		for _, r := range replicas {
			if f := m.Kinds[r.Kind].StepFactor; r.Zone == zone && r.From <= l && l < r.To && (fastest == 0 || f < fastest) {
				fastest = f
			}
		}
		sum += fastest
	}
	return sum / float64(m.Layers)
}

// A split by memory alone leaves layers to accelerators that are five times as slow as others with
// free memory. Streams then last longer, and each failure interrupts more of them. With the
// published memory, three a100s can hold 48 of the 80 layers and keep a share of their memory free
// for the KV cache; the step time must be within a tenth of what that allows.
func TestFastReplicasHoldAsMuchAsFits(t *testing.T) {
	m := speedModel()
	replicas := zone("gent-a", map[string]int{"a100s": 3, "l4": 3, "t4": 5})
	apply(replicas, layout.Plan(m, replicas, always))
	requireFits(t, m, replicas)
	requireCovered(t, m, replicas, "gent-a")
	bound := (48*3.1 + 32*15) / 80
	require.LessOrEqual(t, stepFactor(m, replicas, "gent-a"), 1.1*bound)
}

// A fast replica that returns after a crash must take its layers back, or the zone stays slow for
// the rest of the day.
func TestReturnedFastReplicaTakesItsShare(t *testing.T) {
	m := speedModel()
	replicas := zone("gent-a", map[string]int{"a100s": 3, "l4": 3, "t4": 5})
	converge(t, m, replicas)
	before := stepFactor(m, replicas, "gent-a")
	lost := replicas[0]
	replicas = without(replicas, lost.ID)
	converge(t, m, replicas)
	replicas = append(replicas, layout.Replica{ID: lost.ID, Zone: lost.Zone, Kind: lost.Kind})
	converge(t, m, replicas)
	requireFits(t, m, replicas)
	require.LessOrEqual(t, stepFactor(m, replicas, "gent-a"), 1.1*before)
}

// Where memory is short, each replica holds what fits and the split by speed changes nothing.
func TestShortMemoryLeavesNoChoice(t *testing.T) {
	m := speedModel()
	replicas := zone("a", map[string]int{"a100s": 2, "t4": 8})
	converge(t, m, replicas)
	requireFits(t, m, replicas)
	requireCovered(t, m, replicas, "a")
	require.Equal(t, 16, replicas[0].To-replicas[0].From)
}

// A zone with several pipelines moves layers whenever one has far less KV cache than the even share.
// A first layout that packs the fast replicas would start such moves at once.
func TestSeveralPipelinesAreSplitEvenly(t *testing.T) {
	m := speedModel()
	replicas := zone("quito", map[string]int{"h100": 1, "a100s": 2, "l4": 13, "t4": 18})
	apply(replicas, layout.Plan(m, replicas, never))
	require.Empty(t, layout.Plan(m, replicas, never))
}
