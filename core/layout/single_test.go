package layout_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

// With a single holder of each layer, the loss of any replica sent all streams of the zone to other
// zones until neighbors had loaded its layers, and moving those back took several rounds of
// releases. Free memory must provide second holders, and after a loss one round of loads must close
// the zone without releasing layers that only one replica holds.
func TestLossIsClosedInOneRound(t *testing.T) {
	m := speedModel()
	m.MaxConcurrentLoads = 6
	kinds := map[string]int{"a100s": 3, "l4": 3, "t4": 5}
	for _, lost := range zone("gent-a", kinds) {
		replicas := zone("gent-a", kinds)
		converge(t, m, replicas)
		replicas = without(replicas, lost.ID)
		before := slices.Clone(replicas)
		apply(replicas, layout.Plan(m, replicas, never))
		requireCovered(t, m, replicas, "gent-a")
		requireFits(t, m, replicas)
		for i, was := range before {
			for l := was.From; l < was.To; l++ {
				kept := replicas[i].From <= l && l < replicas[i].To
				require.True(t, kept || holders(m, before, "")[l] > 1, "%s releases layer %d after the loss of %s", was.ID, l, lost.ID)
			}
		}
	}
}

// Memory that the first holders leave free holds layers a second time, those of the first replica of
// a path before others: streams on that one cannot be moved.
func TestFreeMemoryHoldsLayersTwice(t *testing.T) {
	m := speedModel()
	replicas := zone("gent-a", map[string]int{"a100s": 3, "l4": 3, "t4": 5})
	converge(t, m, replicas)
	twice := 0
	for l, count := range holders(m, replicas, "gent-a") {
		if count > 1 {
			twice++
		}
		require.True(t, l > 0 || count > 1, "the first layer has a single holder")
	}
	require.GreaterOrEqual(t, twice, 20)
}

// Where memory is short, each replica holds what fits, and every layer is still held.
func TestShortMemoryLeavesNoChoice(t *testing.T) {
	m := speedModel()
	replicas := zone("a", map[string]int{"a100s": 2, "t4": 8})
	converge(t, m, replicas)
	requireFits(t, m, replicas)
	requireCovered(t, m, replicas, "a")
	require.Equal(t, 16, replicas[0].To-replicas[0].From)
}

// While the fleet changes, only gaps and empty replicas lead to assignments: moving the layers of
// working replicas makes them reject requests.
func TestWorkingReplicasAreLeftAloneWhileTheFleetChanges(t *testing.T) {
	m := speedModel()
	rapid.Check(t, func(t *rapid.T) {
		replicas := zone("gent-a", map[string]int{"a100s": 3, "l4": 3, "t4": 5})
		converge(t, m, replicas)
		lost := rapid.IntRange(0, len(replicas)-1).Draw(t, "lost")
		replicas = without(replicas, replicas[lost].ID)
		for range rounds {
			apply(replicas, layout.Plan(m, replicas, never))
		}
		requireCovered(t, m, replicas, "gent-a")
		require.Empty(t, layout.Plan(m, replicas, never))
	})
}

// A zone with several pipelines moves layers whenever one has far less KV cache than the even share.
// A first layout that packs the fast replicas would start such moves at once.
func TestSeveralPipelinesAreSplitEvenly(t *testing.T) {
	m := speedModel()
	replicas := zone("quito", map[string]int{"h100": 1, "a100s": 2, "l4": 13, "t4": 18})
	apply(replicas, layout.Plan(m, replicas, never))
	require.Empty(t, layout.Plan(m, replicas, never))
}
