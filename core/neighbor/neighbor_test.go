package neighbor

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// The size of the largest deployment that must be supported.
const (
	fleetInstances = 1900
	fleetZones     = 15
	fleetRegions   = 4
	fleetReplicas  = 12000
	// maxHops allows one second per hop for a configuration that must be in force
	// everywhere within 11 s.
	maxHops = 11
	// maxSessions bounds the sessions of one instance, both opened and accepted.
	maxSessions = 64
)

func fleet(n, zones int) []Instance {
	all := make([]Instance, n)
	for i := range all {
		all[i] = Instance{ID: fmt.Sprintf("masticbank-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%zones)}
	}
	return all
}

// graph holds the sessions between instances by index. Two instances have a session if
// either chose the other.
type graph [][]int

func sessions(all []Instance) graph {
	index := map[string]int{}
	for i, in := range all {
		index[in.ID] = i
	}
	g := make(graph, len(all))
	for i, in := range all {
		for _, id := range NewChooser(DefaultLimits()).Choose(in, all) {
			g[i] = append(g[i], index[id])
			g[index[id]] = append(g[index[id]], i)
		}
	}
	for i := range g {
		slices.Sort(g[i])
		g[i] = slices.Compact(g[i])
	}
	return g
}

// fleetSessions returns the graph of the largest deployment.
var fleetSessions = sync.OnceValue(func() graph { return sessions(fleet(fleetInstances, fleetZones)) })

// reach returns how many instances a message from start reaches, and in how many hops, when
// some instances have failed and no instance has chosen new neighbors yet.
func (g graph) reach(start int, failed []bool) (reached, hops int) {
	seen := slices.Clone(failed)
	seen[start] = true
	frontier := []int{start}
	for {
		reached += len(frontier)
		var next []int
		for _, i := range frontier {
			for _, peer := range g[i] {
				if !seen[peer] {
					seen[peer] = true
					next = append(next, peer)
				}
			}
		}
		if len(next) == 0 {
			return reached, hops
		}
		frontier = next
		hops++
	}
}

// diameter returns the length of the longest shortest path that starts at a sampled
// instance. Every sample-th instance is sampled.
func (g graph) diameter(t *testing.T, failed []bool, sample int) int {
	t.Helper()
	alive := 0
	for _, f := range failed {
		if !f {
			alive++
		}
	}
	longest := 0
	for i := 0; i < len(g); i += sample {
		if failed[i] {
			continue
		}
		reached, hops := g.reach(i, failed)
		require.Equal(t, alive, reached, "reached from %d", i)
		longest = max(longest, hops)
	}
	return longest
}

func (g graph) degrees() (mean float64, most int) {
	for _, peers := range g {
		mean += float64(len(peers)) / float64(len(g))
		most = max(most, len(peers))
	}
	return mean, most
}

func failedInstances(all []Instance, fails func(i int, in Instance) bool) []bool {
	failed := make([]bool, len(all))
	for i, in := range all {
		failed[i] = fails(i, in)
	}
	return failed
}

func TestEverybodyIsNeighbourInSmallFleets(t *testing.T) {
	for n := 1; n <= DefaultLimits().All; n++ {
		all := fleet(n, 3)
		for _, in := range all {
			require.Len(t, NewChooser(DefaultLimits()).Choose(in, all), n-1)
		}
	}
}

func TestFleetStaysConnectedWithinHops(t *testing.T) {
	all := fleet(fleetInstances, fleetZones)
	g := fleetSessions()
	mean, most := g.degrees()
	require.LessOrEqual(t, most, maxSessions)
	rng := rand.New(rand.NewPCG(1, 20261204))
	cases := []struct {
		name   string
		failed []bool
	}{
		{"all", make([]bool, len(all))},
		{"10 % failed", failedInstances(all, func(int, Instance) bool { return rng.IntN(10) == 0 })},
		{"a zone missing", failedInstances(all, func(_ int, in Instance) bool { return in.Zone == "zone-00" })},
		{"a region missing and 10 % failed", failedInstances(all, func(i int, _ Instance) bool {
			return i%fleetZones < fleetZones/fleetRegions || rng.IntN(10) == 0
		})},
		{"one zone left", failedInstances(all, func(_ int, in Instance) bool { return in.Zone != "zone-00" })},
	}
	for _, test := range cases {
		hops := g.diameter(t, test.failed, 7)
		require.LessOrEqual(t, hops, maxHops, test.name)
		t.Logf("%s: sessions mean %.1f most %d, diameter %d", test.name, mean, most, hops)
	}
}

// When instances are replaced, the remaining ones choose new neighbors only in place of
// removed neighbors and where a new instance has a higher score.
func TestChangeOfFleetMovesLittle(t *testing.T) {
	const (
		replaced = 86
		sample   = 5
	)
	all := fleet(fleetInstances, fleetZones)
	removed := map[string]bool{}
	for _, in := range all[:replaced] {
		removed[in.ID] = true
	}
	changed := append(slices.Clone(all[replaced:]), fleet(fleetInstances+replaced, fleetZones)[fleetInstances:]...)
	kept, opened, lost := 0, 0, 0
	for i := replaced; i < fleetInstances; i += sample {
		before := NewChooser(DefaultLimits()).Choose(all[i], all)
		after := NewChooser(DefaultLimits()).Choose(all[i], changed)
		for _, id := range after {
			if _, was := slices.BinarySearch(before, id); was {
				kept++
			} else {
				opened++
			}
		}
		for _, id := range before {
			if removed[id] {
				lost++
			}
		}
	}
	t.Logf("%d of %d instances replaced: among the neighbors of the remaining instances %d were kept, %d removed and %d added", replaced, fleetInstances, kept, lost, opened)
	require.Positive(t, lost)
	require.LessOrEqual(t, opened, 2*lost)
}

func TestCellDepthHasHysteresis(t *testing.T) {
	chooser := NewChooser(DefaultLimits())
	changes, last := 0, 0
	for i := range 100 {
		all := fleet(175+i%13, 1)
		chooser.Choose(all[0], all)
		if _, depth := chooser.Cell(); depth != last {
			changes++
			last = depth
		}
	}
	require.Equal(t, 1, changes)
}

func TestSubsetChangesByAtMostOneReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "replicas")
		k := rapid.IntRange(1, 30).Draw(t, "k")
		replicas := make([]string, n)
		for i := range replicas {
			replicas[i] = fmt.Sprintf("replica-%d", i)
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		before := Subset("m1", replicas, k)
		after := Subset("m1", slices.Delete(slices.Clone(replicas), removed, removed+1), k)
		if len(before) != min(n, k) || !slices.IsSorted(before) {
			t.Fatalf("subset %v", before)
		}
		added := 0
		for _, id := range before {
			if id != replicas[removed] && !slices.Contains(after, id) {
				t.Fatalf("%s left the subset", id)
			}
		}
		for _, id := range after {
			if !slices.Contains(before, id) {
				added++
			}
		}
		if added > 1 {
			t.Fatalf("%d replicas added", added)
		}
	})
}

// coverage returns the minimum, mean and maximum number of instances that serve a replica.
func coverage(served map[string]int, replicas int) (least int, mean float64, most int) {
	least = fleetInstances
	total := 0
	for _, count := range served {
		least = min(least, count)
		most = max(most, count)
		total += count
	}
	if len(served) < replicas {
		least = 0
	}
	return least, float64(total) / float64(replicas), most
}

func TestEveryReplicaIsCovered(t *testing.T) {
	const (
		k            = 256
		sampled      = fleetReplicas / 20
		wantCoverage = 3
	)
	replicas := make([]string, sampled)
	for i := range replicas {
		replicas[i] = fmt.Sprintf("replica-%05d", i)
	}
	// Uses a sample of the replicas, with k scaled in proportion.
	served := map[string]int{}
	for _, in := range fleet(fleetInstances, fleetZones) {
		for _, id := range Subset(in.ID, replicas, k*sampled/fleetReplicas) {
			served[id]++
		}
	}
	least, mean, most := coverage(served, sampled)
	t.Logf("by instance: least %d, mean %.1f, most %d", least, mean, most)
	require.GreaterOrEqual(t, least, wantCoverage)
}

func TestEveryReplicaIsCoveredByCells(t *testing.T) {
	const cellsPerReplica = 2
	all := fleet(fleetInstances, fleetZones)
	served, largest := map[string]int{}, 0
	cells := map[string]int{}
	subsets := map[string][]string{}
	chooser := NewChooser(DefaultLimits())
	chooser.Choose(all[0], all)
	_, depth := chooser.Cell()
	for _, in := range all {
		cell := cellOf(in.ID, depth)
		key := fmt.Sprint(in.Zone, cell)
		subset, known := subsets[key]
		if !known {
			subset = CellSubset(cell, depth, zoneReplicas(in.Zone), cellsPerReplica)
			subsets[key] = subset
			for _, id := range subset {
				cells[id]++
			}
		}
		largest = max(largest, len(subset))
		for _, id := range subset {
			served[id]++
		}
	}
	least, mean, most := coverage(served, fleetReplicas)
	t.Logf("by cell: least %d, mean %.1f, most %d; replicas of one instance at most %d", least, mean, most, largest)
	require.GreaterOrEqual(t, least, 3)
	for id, count := range cells {
		require.Equal(t, cellsPerReplica, count, id)
	}
}

func zoneReplicas(zone string) []string {
	replicas := make([]string, fleetReplicas/fleetZones)
	for i := range replicas {
		replicas[i] = fmt.Sprintf("replica-%s-%04d", zone, i)
	}
	return replicas
}
