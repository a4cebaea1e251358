package demand

import (
	"cmp"
	"math"
	"slices"
)

// Pool is a group of replicas whose slots are shared among the instances.
type Pool struct {
	Name string
	// Capacity is the total number of slots of all replicas.
	Capacity int
	// MinShares holds, by rank, the share of Capacity, 0 to 1, that is guaranteed to the rank
	// while it has requests. Its length is the number of ranks.
	MinShares []float64
}

// Allocation is the number of requests that one instance may have in flight in a pool.
type Allocation struct {
	Instance string
	// Ranks holds the slots for published demand, by rank.
	Ranks []int
	// Spare is the number of slots for demand that is not published: the share of an instance
	// without a fresh digest, or a part of what is left when all demand is covered.
	Spare int
}

// Total returns the number of slots of all ranks and the spare ones.
func (a Allocation) Total() int {
	sum := a.Spare
	for _, slots := range a.Ranks {
		sum += slots
	}
	return sum
}

// Shares returns the allocation of self: the slots of pool that it may use. published holds the
// fresh digests of all live instances, and for self the one that it last published; current is
// the present demand of self, which replaces its published demand. The weights are the published
// ones, so that all instances divide a surplus alike. An instance that has published nothing yet
// gets its equal share, as its peers reserve that for it.
//
// Instances with the same published digests together use no more than the capacity, plus the
// growth of demand since it was published, plus one slot per rank and instance due to rounding.
func Shares(pool Pool, live []string, published []Digest, self string, current PoolDemand) Allocation {
	a := newAllocator(pool, withSelf(live, self), published)
	own := a.indexOf(self)
	if reportedIndex, ok := slices.BinarySearch(a.reported, own); ok {
		a.demands[reportedIndex] = current
	}
	a.allocate()
	return a.allocations[own]
}

// Allocations returns the allocations of all live instances in the order of their IDs.
//
//   - A live instance without a digest gets its equal share of the capacity as spare slots. If no
//     instance has a digest, all get equal shares.
//   - Of the rest, each rank first gets the smaller of its guaranteed minimum and its demand. Then
//     the ranks get the remainder of their demand, most urgent first.
//   - Within a rank, an instance gets at least the smaller of its demand and the equal share of
//     the rank's slots. What other instances do not use is divided by weighted max-min fairness,
//     with the weights of the workspaces that have requests there.
//   - What is left when all demand is covered is divided equally as spare slots.
func Allocations(pool Pool, live []string, digests []Digest) []Allocation {
	a := newAllocator(pool, live, digests)
	a.allocate()
	return a.allocations
}

// allocator is the state of one computation of all allocations.
type allocator struct {
	pool        Pool
	allocations []Allocation
	// members is the number of instances that each allocation is for.
	members []int64
	// reported holds the indexes of the allocations with a digest in ascending order, demands
	// their demand, and weights their weight by rank.
	reported []int
	demands  []PoolDemand
	weights  [][]int64
}

func newAllocator(pool Pool, live []string, digests []Digest) *allocator {
	byID := newestByInstance(digests)
	ids := slices.Compact(slices.Sorted(slices.Values(live)))
	key := KeyOf(pool.Name)
	a := &allocator{pool: pool}
	a.allocations = make([]Allocation, len(ids))
	a.members = make([]int64, len(ids))
	for i, id := range ids {
		a.allocations[i] = Allocation{Instance: id, Ranks: make([]int, len(pool.MinShares))}
		a.members[i] = 1
		digest, ok := byID[id]
		if !ok {
			continue
		}
		a.members[i] = int64(clampSlots(digest.members()))
		a.reported = append(a.reported, i)
		a.demands = append(a.demands, digest.Pool(key))
	}
	a.weights = instanceWeights(a.demands, len(pool.MinShares))
	return a
}

// indexOf returns the index of the allocation of id, which must exist.
func (a *allocator) indexOf(id string) int {
	return slices.IndexFunc(a.allocations, func(allocation Allocation) bool { return allocation.Instance == id })
}

func (a *allocator) allocate() {
	rest := a.reserveUnreported(clampSlots(a.pool.Capacity))
	if len(a.reported) == 0 {
		return
	}
	for rank, budget := range a.rankBudgets(rest) {
		a.divideRank(rank, budget)
		rest -= budget
	}
	a.addSpare(rest)
}

func newestByInstance(digests []Digest) map[string]*Digest {
	byID := make(map[string]*Digest, len(digests))
	for i := range digests {
		d := &digests[i]
		if known := byID[d.Instance]; known == nil || newer(d, known) {
			byID[d.Instance] = d
		}
	}
	return byID
}

// newer reports whether digest a was made after b, both by the same instance.
func newer(a, b *Digest) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// reserveUnreported assigns equal shares to the instances without a digest and returns what is
// left of capacity.
func (a *allocator) reserveUnreported(capacity int) int {
	equal := divideProportionally(capacity, a.members)
	rest := capacity
	next := 0
	for index := range a.allocations {
		if next < len(a.reported) && a.reported[next] == index {
			next++
			continue
		}
		a.allocations[index].Spare = equal[index]
		rest -= equal[index]
	}
	return rest
}

// rankBudgets divides capacity among the ranks: first the guaranteed minimums, then the demand in
// the order of urgency.
func (a *allocator) rankBudgets(capacity int) []int {
	budgets := make([]int, len(a.pool.MinShares))
	rest := capacity
	for rank := range budgets {
		budgets[rank] = min(a.totalRankDemand(rank), minSlots(a.pool.MinShares[rank], capacity), rest)
		rest -= budgets[rank]
	}
	for rank := range budgets {
		more := min(a.totalRankDemand(rank)-budgets[rank], rest)
		budgets[rank] += more
		rest -= more
	}
	return budgets
}

// minSlots returns the number of slots that a share of capacity guarantees: at least one if the
// share is positive.
func minSlots(share float64, capacity int) int {
	if !(share > 0) {
		return 0
	}
	return max(1, int(math.Floor(min(share, 1)*float64(capacity))))
}

func (a *allocator) totalRankDemand(rank int) int {
	sum := 0
	for i := range a.demands {
		sum += a.demands[i].rankDemand(rank).slots()
	}
	return sum
}

// divideRank divides the budget of one rank among the instances.
func (a *allocator) divideRank(rank, budget int) {
	if budget == 0 {
		return
	}
	unmet := make([]int, len(a.reported))
	weights := make([]int64, len(a.reported))
	rest := budget
	members := a.reportedMembers()
	for i, index := range a.reported {
		demand := a.demands[i].rankDemand(rank).slots()
		equal := int(int64(budget) * a.members[index] / members)
		granted := min(demand, equal)
		a.allocations[index].Ranks[rank] = granted
		rest -= granted
		unmet[i] = demand - granted
		weights[i] = a.weights[i][rank]
	}
	for i, more := range maxMinFill(rest, unmet, weights) {
		a.allocations[a.reported[i]].Ranks[rank] += more
	}
}

func (a *allocator) reportedMembers() int64 {
	var sum int64
	for _, index := range a.reported {
		sum += a.members[index]
	}
	return sum
}

// addSpare divides the slots left over from all demand equally.
func (a *allocator) addSpare(rest int) {
	members := make([]int64, len(a.reported))
	for i, index := range a.reported {
		members[i] = a.members[index]
	}
	for i, slots := range divideProportionally(rest, members) {
		a.allocations[a.reported[i]].Spare += slots
	}
}

func withSelf(live []string, self string) []string {
	if slices.Contains(live, self) {
		return live
	}
	return append(slices.Clone(live), self)
}
