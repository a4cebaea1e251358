package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/pipeline"
)

var start = time.Unix(1000, 0)

func model(layers int) *pipeline.Model {
	return &pipeline.Model{
		Layers: layers, LayerMB: 100, KVTokenBytes: 1000, StepMS: 1, PerSequenceMS: 0.004, PerContextMS: 0.005,
		PrefillTokensPerMS: 100, MeanPromptTokens: 700, MeanOutputTokens: 170,
		Kinds: map[string]pipeline.Kind{
			"large": {Name: "large", MemoryMB: 4000, StepFactor: 1, PrefillFactor: 1},
			"small": {Name: "small", MemoryMB: 1500, StepFactor: 10, PrefillFactor: 8},
		},
	}
}

func replica(id, zone, kind string, from, to int) pipeline.Replica {
	return pipeline.Replica{ID: id, Address: id + ":1", Zone: zone, Kind: kind, From: from, To: to}
}

// requireTiling checks that the path runs every layer once and in order, on replicas that hold
// them, and uses each replica once.
func requireTiling(t require.TestingT, layers int, list []pipeline.Replica, p pipeline.Path) {
	held := map[string]pipeline.Replica{}
	for _, r := range list {
		held[r.ID] = r
	}
	seen := map[string]bool{}
	at := 0
	for _, stage := range p {
		require.Equal(t, at, stage.From)
		require.Less(t, stage.From, stage.To)
		require.False(t, seen[stage.ID], "replica %s twice", stage.ID)
		seen[stage.ID] = true
		require.GreaterOrEqual(t, stage.From, held[stage.ID].From)
		require.LessOrEqual(t, stage.To, held[stage.ID].To)
		at = stage.To
	}
	require.Equal(t, layers, at)
}

func TestChosenPathsTileAllLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 12
		f := pipeline.NewFleet(model(layers))
		var list []pipeline.Replica
		n := rapid.IntRange(1, 14).Draw(t, "replicas")
		for i := range n {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			kind := rapid.SampledFrom([]string{"large", "small"}).Draw(t, "kind")
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			list = append(list, replica(fmt.Sprintf("r%02d", i), zone, kind, from, to))
		}
		f.SetReplicas(start, list)
		c, ok := f.Choose(start, pipeline.Demand{Prompt: 10, Output: 5}, pipeline.Constraint{})
		if ok {
			requireTiling(t, layers, list, c.Path)
		} else {
			require.False(t, f.Covered(start), "all layers are held, but there is no path")
		}
	})
}

// TestChooseMatchesBruteForce compares the choice with all possible paths. The replicas do not
// overlap, so each path consists of whole replicas.
func TestChooseMatchesBruteForce(t *testing.T) {
	const layers = 9
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		f := pipeline.NewFleet(model(layers))
		var list []pipeline.Replica
		for _, stage := range [][2]int{{0, 3}, {3, 6}, {6, 9}} {
			for i := range 1 + random.IntN(3) {
				zone := string(rune('a' + random.IntN(3)))
				kind := []string{"large", "small"}[random.IntN(2)]
				list = append(list, replica(fmt.Sprintf("r%d-%d", stage[0], i), zone, kind, stage[0], stage[1]))
			}
		}
		f.SetReplicas(start, list)
		d := pipeline.Demand{Prompt: 50, Output: 20}
		got, ok := f.Choose(start, d, pipeline.Constraint{})
		require.True(t, ok)
		best := -1.0
		for _, a := range list {
			for _, b := range list {
				for _, c := range list {
					if a.From != 0 || b.From != 3 || c.From != 6 {
						continue
					}
					only := map[string]bool{}
					for _, r := range list {
						only[r.ID] = r.ID != a.ID && r.ID != b.ID && r.ID != c.ID
					}
					one, ok := f.Choose(start, d, pipeline.Constraint{Avoid: only})
					require.True(t, ok)
					if best < 0 || one.Cost < best {
						best = one.Cost
					}
				}
			}
		}
		require.InDelta(t, best, got.Cost, 1e-6)
	}
}

func TestPathsStayInTheirZone(t *testing.T) {
	f := pipeline.NewFleet(model(8))
	f.SetReplicas(start, []pipeline.Replica{
		replica("a1", "a", "large", 0, 4), replica("a2", "a", "large", 4, 8),
		replica("b1", "b", "large", 0, 4), replica("b2", "b", "large", 4, 8),
	})
	d := pipeline.Demand{Prompt: 100, Output: 50}
	zones := map[string]int{}
	for range 10 {
		c, ok := f.Choose(start, d, pipeline.Constraint{})
		require.True(t, ok)
		f.Reserve(start, c.Path, d)
		require.Equal(t, c.Path[0].Zone, c.Path[1].Zone)
		zones[c.Path[0].Zone]++
	}
	require.Equal(t, map[string]int{"a": 5, "b": 5}, zones)
}

func TestFullReplicasAreNotChosen(t *testing.T) {
	m := model(4)
	f := pipeline.NewFleet(m)
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 4)})
	d := pipeline.Demand{Prompt: 1000, Output: 100}
	maxRequests := m.CacheCapacity("small", 4) / 4 / 1060
	n := 0
	for ; n < 10_000; n++ {
		c, ok := f.Choose(start, d, pipeline.Constraint{})
		if !ok {
			break
		}
		f.Reserve(start, c.Path, d)
	}
	require.Positive(t, n)
	require.LessOrEqual(t, float64(n), maxRequests)
	require.Greater(t, float64(n+2), maxRequests*0.9)
}

func TestRemoteLoadCounts(t *testing.T) {
	m := model(4)
	f := pipeline.NewFleet(m)
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 4), replica("b", "z", "small", 0, 4)})
	f.SetRemoteLoad(func(id string) pipeline.Load {
		if id == "a" {
			return pipeline.Load{Reserved: m.CacheCapacity("small", 4), Sequences: 40}
		}
		return pipeline.Load{}
	}, func(pipeline.Link) float64 { return 0 })
	c, ok := f.Choose(start, pipeline.Demand{Prompt: 10, Output: 10}, pipeline.Constraint{})
	require.True(t, ok)
	require.Equal(t, "b", c.Path[0].ID)
}

func TestRepathKeepsTheFirstStage(t *testing.T) {
	f := pipeline.NewFleet(model(8))
	f.SetReplicas(start, []pipeline.Replica{
		replica("a1", "a", "large", 0, 4), replica("a2", "a", "large", 4, 8), replica("a3", "a", "small", 4, 8),
		replica("b1", "b", "large", 0, 8),
	})
	c, ok := f.Choose(start, pipeline.Demand{Prompt: 10, Output: 5}, pipeline.Constraint{First: "a1", FirstTo: 4, Avoid: map[string]bool{"a2": true}})
	require.True(t, ok)
	require.Equal(t, "a1", c.Path[0].ID)
	require.Equal(t, 4, c.Path[0].To)
	require.False(t, c.Path.Uses("a2"))
}

func TestBlockedReplicasAreAvoidedForATime(t *testing.T) {
	f := pipeline.NewFleet(model(4))
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "large", 0, 4)})
	f.Block("a", start.Add(time.Second))
	_, ok := f.Choose(start, pipeline.Demand{}, pipeline.Constraint{})
	require.False(t, ok)
	_, ok = f.Choose(start.Add(time.Second), pipeline.Demand{}, pipeline.Constraint{})
	require.True(t, ok)
}

func TestReleaseRevertsReserve(t *testing.T) {
	f := pipeline.NewFleet(model(4))
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "large", 0, 4)})
	d := pipeline.Demand{Prompt: 100, Output: 50}
	c, _ := f.Choose(start, d, pipeline.Constraint{})
	f.Reserve(start, c.Path, d)
	f.AdjustPrefill(c.Path, d, 1)
	require.Equal(t, map[string]pipeline.Load{"a": {Reserved: 520, Sequences: 1, Prefill: 400}}, f.OwnLoads())
	f.AdjustPrefill(c.Path, d, -1)
	f.Release(c.Path, d)
	require.Empty(t, f.OwnLoads())
}

func TestCapacityOfReleasedLayersIsAvailableLater(t *testing.T) {
	m := model(4)
	f := pipeline.NewFleet(m)
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 4)})
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 2), replica("b", "z", "large", 2, 4)})
	require.Equal(t, m.CacheCapacity("small", 4), f.State("a").CacheCapacity)
	_, ok := f.Choose(start.Add(10*time.Second), pipeline.Demand{}, pipeline.Constraint{})
	require.True(t, ok)
	require.Equal(t, m.CacheCapacity("small", 2), f.State("a").CacheCapacity)
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 3)})
	require.Equal(t, m.CacheCapacity("small", 3), f.State("a").CacheCapacity, "a lower capacity applies at once")
}

// TestBusyLinksAreAvoided checks that a cheaper replica in another zone is used only while the
// link between the zones is idle.
func TestBusyLinksAreAvoided(t *testing.T) {
	m := model(8)
	m.LinkMbps, m.ActivationBytes = 100, 10_000
	f := pipeline.NewFleet(m)
	f.SetReplicas(start, []pipeline.Replica{
		replica("a1", "a", "small", 0, 4), replica("a2", "a", "small", 4, 8), replica("b2", "b", "large", 4, 8),
	})
	d := pipeline.Demand{Prompt: 700, Output: 100}
	first, ok := f.Choose(start, d, pipeline.Constraint{})
	require.True(t, ok)
	require.True(t, first.Path.Uses("b2"))
	f.Reserve(start, first.Path, d)
	second, ok := f.Choose(start, d, pipeline.Constraint{})
	require.True(t, ok)
	require.False(t, second.Path.Uses("b2"), "700 tokens of 10 kB occupy 100 Mbit/s for half a second")
	require.Len(t, f.OwnLinkRates(start), 1)
	later, ok := f.Choose(start.Add(10*time.Second), d, pipeline.Constraint{})
	require.True(t, ok)
	require.True(t, later.Path.Uses("b2"))
}

func TestReportedUsageCountsAfterStart(t *testing.T) {
	m := model(4)
	f := pipeline.NewFleet(m)
	f.ExpectOrphans(start)
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "small", 0, 4)})
	f.Observe(start, "a", pipeline.Report{StepTimeRatio: 1, CacheUsed: m.CacheCapacity("small", 4), CacheCapacity: m.CacheCapacity("small", 4)})
	d := pipeline.Demand{Prompt: 100}
	_, ok := f.Choose(start.Add(time.Second), d, pipeline.Constraint{})
	require.False(t, ok, "orphaned requests fill the replica")
	later := start.Add(20 * time.Second)
	f.Observe(later, "a", pipeline.Report{StepTimeRatio: 1, CacheUsed: m.CacheCapacity("small", 4), CacheCapacity: m.CacheCapacity("small", 4)})
	_, ok = f.Choose(later, d, pipeline.Constraint{})
	require.True(t, ok, "later only reservations count")
}

func TestReportsSetLayersAndStepTimeRatio(t *testing.T) {
	f := pipeline.NewFleet(model(8))
	f.SetReplicas(start, []pipeline.Replica{
		replica("a", "z", "large", 0, 8), replica("b", "z", "large", 0, 4), replica("c", "z", "large", 4, 8),
	})
	f.Observe(start, "a", pipeline.Report{StepTimeRatio: 12})
	require.Equal(t, 12.0, f.StepTimeRatio(start, "a"))
	c, ok := f.Choose(start, pipeline.Demand{Prompt: 10, Output: 10}, pipeline.Constraint{})
	require.True(t, ok)
	require.False(t, c.Path.Uses("a"))
	f.Observe(start, "c", pipeline.Report{StepTimeRatio: 1, From: 5, To: 8, HasLayers: true})
	c, ok = f.Choose(start, pipeline.Demand{Prompt: 10, Output: 10}, pipeline.Constraint{})
	require.True(t, ok)
	require.True(t, c.Path.Uses("a"), "no other replica holds layer 4")
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "large", 0, 8), replica("b", "z", "large", 0, 4), replica("c", "z", "large", 4, 8)})
	from, _, ok := f.Layers(start, "c")
	require.True(t, ok)
	require.Equal(t, 5, from, "a report takes precedence over an entry")
	require.Equal(t, 1.0, f.StepTimeRatio(start.Add(time.Minute), "a"), "old reports are ignored")
}

// A report without layers, relayed late by another instance, must not discard the layers of an
// earlier report, which show the effect of a layer assignment.
func TestReportsWithoutLayersKeepReportedLayers(t *testing.T) {
	f := pipeline.NewFleet(model(8))
	f.SetReplicas(start, []pipeline.Replica{replica("a", "z", "large", 0, 4), replica("b", "z", "large", 4, 8)})
	f.Observe(start, "a", pipeline.Report{StepTimeRatio: 1, From: 0, To: 6, HasLayers: true})
	late := start.Add(500 * time.Millisecond)
	f.Observe(late, "a", pipeline.Report{StepTimeRatio: 2})
	from, to, ok := f.Layers(late, "a")
	require.True(t, ok)
	require.Equal(t, []int{0, 6}, []int{from, to})
	require.Equal(t, 2.0, f.StepTimeRatio(late, "a"))
	_, _, ok = f.Layers(start.Add(2*time.Second), "a")
	require.False(t, ok, "a report without layers does not renew them")
}
