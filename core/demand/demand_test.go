package demand

import (
	"flag"
	"fmt"
	"math/big"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const testPool = "asistente"

// naiveFill computes weighted max-min by its definition, in exact fractions: raise the level of
// all claimants until one of them is satisfied, remove it, and repeat.
func naiveFill(budget int, demands []int, weights []int64) []*big.Rat {
	granted := make([]*big.Rat, len(demands))
	open := map[int]bool{}
	total := 0
	for i, d := range demands {
		granted[i] = new(big.Rat)
		open[i] = d > 0
		total += d
	}
	rest := big.NewRat(int64(min(budget, total)), 1)
	for rest.Sign() > 0 {
		step, sum := naiveStep(demands, weights, granted, open)
		full := new(big.Rat).Mul(step, sum)
		if full.Cmp(rest) > 0 {
			step = new(big.Rat).Quo(rest, sum)
			full = rest
		}
		rest = new(big.Rat).Sub(rest, full)
		for i := range demands {
			if !open[i] {
				continue
			}
			granted[i].Add(granted[i], new(big.Rat).Mul(step, big.NewRat(weights[i], 1)))
			open[i] = granted[i].Cmp(big.NewRat(int64(demands[i]), 1)) < 0
		}
	}
	return granted
}

// naiveStep returns how far the level can rise until the first claimant is satisfied, and the sum
// of the weights that take part.
func naiveStep(demands []int, weights []int64, granted []*big.Rat, open map[int]bool) (step, sum *big.Rat) {
	sum = new(big.Rat)
	for i := range demands {
		if !open[i] {
			continue
		}
		sum.Add(sum, big.NewRat(weights[i], 1))
		missing := new(big.Rat).Sub(big.NewRat(int64(demands[i]), 1), granted[i])
		level := missing.Quo(missing, big.NewRat(weights[i], 1))
		if step == nil || level.Cmp(step) < 0 {
			step = level
		}
	}
	return step, sum
}

func TestFillMatchesNaiveWaterFilling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		demands := rapid.SliceOfN(rapid.IntRange(0, 200), n, n).Draw(t, "demands")
		weights := rapid.SliceOfN(rapid.Int64Range(1, 5000), n, n).Draw(t, "weights")
		budget := rapid.IntRange(0, 1000).Draw(t, "budget")
		got := maxMinFill(budget, demands, weights)
		want := naiveFill(budget, demands, weights)
		one := big.NewRat(1, 1)
		sum, demanded := 0, 0
		for i := range got {
			difference := new(big.Rat).Sub(big.NewRat(int64(got[i]), 1), want[i])
			if difference.Abs(difference).Cmp(one) >= 0 {
				t.Fatalf("claimant %d: got %d, naive %s", i, got[i], want[i].FloatString(3))
			}
			if got[i] > demands[i] {
				t.Fatalf("claimant %d: got %d of %d", i, got[i], demands[i])
			}
			sum += got[i]
			demanded += demands[i]
		}
		if sum != min(budget, demanded) {
			t.Fatalf("sum %d, budget %d, demand %d", sum, budget, demanded)
		}
	})
}

// scenario is a random pool with instances, some of them without a digest.
type scenario struct {
	pool    Pool
	live    []string
	digests []Digest
}

func drawScenario(t *rapid.T, allReported bool) scenario {
	ranks := rapid.IntRange(1, 3).Draw(t, "ranks")
	s := scenario{pool: Pool{Name: testPool, Capacity: rapid.IntRange(0, 400).Draw(t, "capacity")}}
	for range ranks {
		s.pool.MinShares = append(s.pool.MinShares, rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.33}).Draw(t, "min share"))
	}
	for i := range rapid.IntRange(1, 10).Draw(t, "instances") {
		id := fmt.Sprintf("m%d", i)
		s.live = append(s.live, id)
		if !allReported && rapid.Bool().Draw(t, "unreported") {
			continue
		}
		s.digests = append(s.digests, drawDigest(t, id, ranks))
	}
	return s
}

func drawDigest(t *rapid.T, id string, ranks int) Digest {
	var loads []Load
	for range rapid.IntRange(0, 5).Draw(t, "loads") {
		loads = append(loads, Load{
			Workspace: rapid.SampledFrom([]string{"u", "v", "w", "x"}).Draw(t, "workspace"),
			Rank:      rapid.IntRange(0, ranks-1).Draw(t, "rank"),
			Queued:    rapid.IntRange(0, 60).Draw(t, "queued"),
			InFlight:  rapid.IntRange(0, 30).Draw(t, "in flight"),
			Weight:    rapid.Int64Range(0, 4000).Draw(t, "weight"),
		})
	}
	return Digest{Instance: id, Sequence: 1, Pools: []PoolDemand{Summarize(testPool, ranks, loads, 2)}}
}

func (s scenario) demandOf(id string, rank int) (int, bool) {
	for i := range s.digests {
		if s.digests[i].Instance == id {
			demand := s.digests[i].Pool(KeyOf(testPool))
			return demand.rankDemand(rank).slots(), true
		}
	}
	return 0, false
}

// ownAllocation returns the allocation that id computes for itself while its demand is as
// published.
func (s scenario) ownAllocation(id string) Allocation {
	for i := range s.digests {
		if s.digests[i].Instance == id {
			return Shares(s.pool, s.live, s.digests, id, s.digests[i].Pool(KeyOf(testPool)))
		}
	}
	return Shares(s.pool, s.live, s.digests, id, PoolDemand{})
}

func TestAllocationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t, false)
		allocations := Allocations(s.pool, s.live, s.digests)
		sum, reported := 0, len(s.digests)
		given := make([]int, len(s.pool.MinShares))
		demanded := make([]int, len(s.pool.MinShares))
		spare := 0
		for _, allocation := range allocations {
			sum += allocation.Total()
			if own := s.ownAllocation(allocation.Instance); own.Total() != allocation.Total() {
				t.Fatalf("%s computes %d for itself, Allocations has %d", allocation.Instance, own.Total(), allocation.Total())
			}
			for rank, slots := range allocation.Ranks {
				demand, ok := s.demandOf(allocation.Instance, rank)
				if slots > demand {
					t.Fatalf("%s rank %d: %d slots for %d", allocation.Instance, rank, slots, demand)
				}
				given[rank] += slots
				demanded[rank] += demand
				if !ok && slots != 0 {
					t.Fatalf("%s has no digest and %d slots in rank %d", allocation.Instance, slots, rank)
				}
			}
			if _, ok := s.demandOf(allocation.Instance, 0); ok {
				spare += allocation.Spare
			} else if allocation.Spare < s.pool.Capacity/len(allocations) {
				t.Fatalf("%s without digest: %d below the equal share", allocation.Instance, allocation.Spare)
			}
		}
		if sum != s.pool.Capacity {
			t.Fatalf("sum %d, capacity %d", sum, s.pool.Capacity)
		}
		for rank := range given {
			if spare > 0 && reported > 0 && given[rank] < demanded[rank] {
				t.Fatalf("rank %d: %d of %d while %d slots are spare", rank, given[rank], demanded[rank], spare)
			}
			if lower := rank + 1; lower < len(given) && given[rank] < demanded[rank] {
				most := min(demanded[lower], minSlots(s.pool.MinShares[lower], s.pool.Capacity))
				if given[lower] > most {
					t.Fatalf("rank %d has %d, above its minimum %d, while the demand of rank %d is not met", lower, given[lower], most, rank)
				}
			}
		}
		checkEqualShares(t, s, allocations, given)
	})
}

// checkEqualShares checks that no instance gets less than the smaller of its demand and the equal
// share of the rank's slots.
func checkEqualShares(t *rapid.T, s scenario, allocations []Allocation, given []int) {
	for _, allocation := range allocations {
		for rank, slots := range allocation.Ranks {
			demand, ok := s.demandOf(allocation.Instance, rank)
			if ok && slots < min(demand, given[rank]/len(s.digests)) {
				t.Fatalf("%s rank %d: %d slots, demand %d, equal share of %d", allocation.Instance, rank, slots, demand, given[rank])
			}
		}
	}
}

func TestRankKeepsMinimum(t *testing.T) {
	flood := func(rank int) []Digest {
		loads := []Load{
			{Workspace: "u", Rank: rank, Queued: 1000, Weight: 1000},
			{Workspace: "v", Rank: 2 - rank, Queued: 50, Weight: 1000},
		}
		return []Digest{{Instance: "m1", Pools: []PoolDemand{Summarize(testPool, 3, loads, 8)}}}
	}
	pool := Pool{Name: testPool, Capacity: 100, MinShares: []float64{0.5, 0.1, 0.05}}
	require.Equal(t, []int{95, 0, 5}, Allocations(pool, []string{"m1"}, flood(0))[0].Ranks)
	require.Equal(t, []int{50, 0, 50}, Allocations(pool, []string{"m1"}, flood(2))[0].Ranks)
}

func TestFillRoundsToLargestRemainders(t *testing.T) {
	require.Equal(t, []int{1, 3, 6}, maxMinFill(10, []int{50, 50, 50}, []int64{12, 26, 62}))
	require.Equal(t, []int{4, 3, 3}, maxMinFill(10, []int{50, 50, 50}, []int64{1, 1, 1}))
}

// A surplus goes to the instances with the heavier workspaces, beyond the equal shares.
func TestSurplusFollowsWorkspaceWeights(t *testing.T) {
	digest := func(id, workspace string, queued int, weight int64) Digest {
		loads := []Load{{Workspace: workspace, Queued: queued, Weight: weight}}
		return Digest{Instance: id, Pools: []PoolDemand{Summarize(testPool, 1, loads, 8)}}
	}
	pool := Pool{Name: testPool, Capacity: 90, MinShares: []float64{0}}
	digests := []Digest{digest("a", "u", 100, 3000), digest("b", "v", 100, 1000), digest("c", "w", 2, 1000)}
	allocations := Allocations(pool, []string{"a", "b", "c"}, digests)
	require.Equal(t, []int{30 + 21, 30 + 7, 2}, []int{allocations[0].Total(), allocations[1].Total(), allocations[2].Total()})
}

// When demand has changed since it was published, the allocations that the instances compute for
// themselves add up to no more than the capacity, the growth of demand, and one slot per rank and
// instance for rounding.
func TestOvercommitmentIsBoundedByUnpublishedDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t, true)
		ranks := len(s.pool.MinShares)
		sum, unpublished := 0, 0
		for i := range s.digests {
			id := s.digests[i].Instance
			current := drawDigest(t, id, ranks).Pools[0]
			published := s.digests[i].Pool(KeyOf(testPool))
			for rank := range ranks {
				unpublished += max(0, current.rankDemand(rank).slots()-published.rankDemand(rank).slots())
			}
			sum += Shares(s.pool, s.live, s.digests, id, current).Total()
		}
		bound := s.pool.Capacity + unpublished + ranks*len(s.digests)
		if sum > bound {
			t.Fatalf("allocations add up to %d, capacity %d, unpublished %d", sum, s.pool.Capacity, unpublished)
		}
	})
}

func TestGrownDemandCountsAtOnce(t *testing.T) {
	demand := func(queued int) PoolDemand {
		return Summarize(testPool, 1, []Load{{Workspace: "u", Queued: queued, Weight: WeightUnit}}, 8)
	}
	published := []Digest{
		{Instance: "a", Pools: []PoolDemand{demand(100)}},
		{Instance: "b", Pools: []PoolDemand{demand(0)}},
	}
	pool := Pool{Name: testPool, Capacity: 40, MinShares: []float64{0}}
	live := []string{"a", "b"}
	require.Equal(t, 0, Shares(pool, live, published, "b", demand(0)).Total())
	require.Equal(t, 20, Shares(pool, live, published, "b", demand(30)).Total())
	require.Equal(t, 20, Shares(pool, live, published[:1], "b", demand(30)).Total(), "nothing published yet")
}

func TestPacedLimitNeverCommitsSlotsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t, false)
		allocations := Allocations(s.pool, s.live, s.digests)
		sum, running, stalled := 0, 0, true
		for _, allocation := range allocations {
			inUse := allocation.Total()
			var published PoolDemand
			for i := range s.digests {
				if s.digests[i].Instance == allocation.Instance {
					published = s.digests[i].Pool(KeyOf(testPool))
					inUse = published.InFlight()
				}
			}
			limit := PacedLimit(s.pool, s.live, s.digests, allocation.Instance, published)
			if limit > allocation.Total() {
				t.Fatalf("%s: limit %d above its allocation %d", allocation.Instance, limit, allocation.Total())
			}
			current := drawDigest(t, allocation.Instance, len(s.pool.MinShares)).Pools[0]
			limit = max(limit, PacedLimit(s.pool, s.live, s.digests, allocation.Instance, current))
			sum += max(limit, inUse)
			running += inUse
			stalled = stalled && limit <= inUse
		}
		if sum > max(s.pool.Capacity, running) {
			t.Fatalf("%d slots in use or allowed, capacity %d, in flight %d", sum, s.pool.Capacity, running)
		}
		if running < s.pool.Capacity && stalled {
			t.Fatalf("%d of %d in flight and no instance may start a request", running, s.pool.Capacity)
		}
	})
}

func TestMergedCellCountsAsItsInstances(t *testing.T) {
	loads := func(queued int) []Load { return []Load{{Workspace: "u", Queued: queued, Weight: 1000}} }
	digest := func(id string, queued int) Digest {
		return Digest{Instance: id, Pools: []PoolDemand{Summarize(testPool, 1, loads(queued), 8)}}
	}
	merged := Merge("cell-1", 4, []Digest{digest("a", 50), digest("b", 10)}, 8)
	require.Equal(t, 2, merged.Members)
	pool := Pool{Name: testPool, Capacity: 30, MinShares: []float64{0}}
	allocations := Allocations(pool, []string{"cell-1", "c"}, []Digest{merged, digest("c", 100)})
	require.Equal(t, 10, allocations[0].Total(), "c")
	require.Equal(t, 20, allocations[1].Total(), "two instances")
}

func TestViewDropsStaleAndOldDigests(t *testing.T) {
	now := time.Unix(1000, 0)
	view := NewView(time.Second)
	require.True(t, view.Observe(now, 0, Digest{Instance: "a", Incarnation: 2, Sequence: 5}))
	require.False(t, view.Observe(now, 0, Digest{Instance: "a", Incarnation: 2, Sequence: 5}))
	require.False(t, view.Observe(now, 0, Digest{Instance: "a", Incarnation: 1, Sequence: 9}))
	require.True(t, view.Observe(now, 0, Digest{Instance: "a", Incarnation: 3, Sequence: 1}))
	require.True(t, view.Observe(now, 600*time.Millisecond, Digest{Instance: "b"}))
	require.Len(t, view.Fresh(now.Add(300*time.Millisecond)), 2)
	require.Len(t, view.Fresh(now.Add(500*time.Millisecond)), 1)
	require.Empty(t, view.Fresh(now.Add(time.Second)))
}
