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
	t := newAllocator(pool, withSelf(live, self), published)
	own := t.indexOf(self)
	if reportedIndex, ok := slices.BinarySearch(t.reported, own); ok {
		t.demands[reportedIndex] = current
	}
	t.allocate()
	return t.allocations[own]
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
	t := newAllocator(pool, live, digests)
	t.allocate()
	return t.allocations
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
	t := &allocator{pool: pool}
	t.allocations = make([]Allocation, len(ids))
	t.members = make([]int64, len(ids))
	for i, id := range ids {
		t.allocations[i] = Allocation{Instance: id, Ranks: make([]int, len(pool.MinShares))}
		t.members[i] = 1
		digest, ok := byID[id]
		if !ok {
			continue
		}
		t.members[i] = int64(clampSlots(digest.members()))
		t.reported = append(t.reported, i)
		t.demands = append(t.demands, digest.Pool(key))
	}
	t.weights = instanceWeights(t.demands, len(pool.MinShares))
	return t
}

// indexOf returns the index of the allocation of id, which must exist.
func (t *allocator) indexOf(id string) int {
	return slices.IndexFunc(t.allocations, func(r Allocation) bool { return r.Instance == id })
}

func (t *allocator) allocate() {
	rest := t.reserveUnreported(clampSlots(t.pool.Capacity))
	if len(t.reported) == 0 {
		return
	}
	for rank, budget := range t.rankBudgets(rest) {
		t.divideRank(rank, budget)
		rest -= budget
	}
	t.addSpare(rest)
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
func (t *allocator) reserveUnreported(capacity int) int {
	equal := divideProportionally(capacity, t.members)
	rest := capacity
	next := 0
	for index := range t.allocations {
		if next < len(t.reported) && t.reported[next] == index {
			next++
			continue
		}
		t.allocations[index].Spare = equal[index]
		rest -= equal[index]
	}
	return rest
}

// rankBudgets divides capacity among the ranks: first the guaranteed minimums, then the demand in
// the order of urgency.
func (t *allocator) rankBudgets(capacity int) []int {
	budgets := make([]int, len(t.pool.MinShares))
	rest := capacity
	for rank := range budgets {
		budgets[rank] = min(t.totalRankDemand(rank), minSlots(t.pool.MinShares[rank], capacity), rest)
		rest -= budgets[rank]
	}
	for rank := range budgets {
		more := min(t.totalRankDemand(rank)-budgets[rank], rest)
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

func (t *allocator) totalRankDemand(rank int) int {
	sum := 0
	for i := range t.demands {
		sum += t.demands[i].rankDemand(rank).slots()
	}
	return sum
}

// divideRank divides the budget of one rank among the instances.
func (t *allocator) divideRank(rank, budget int) {
	if budget == 0 {
		return
	}
	unmet := make([]int, len(t.reported))
	weights := make([]int64, len(t.reported))
	rest := budget
	members := t.reportedMembers()
	for i, index := range t.reported {
		demand := t.demands[i].rankDemand(rank).slots()
		equal := int(int64(budget) * t.members[index] / members)
		granted := min(demand, equal)
		t.allocations[index].Ranks[rank] = granted
		rest -= granted
		unmet[i] = demand - granted
		weights[i] = t.weights[i][rank]
	}
	for i, more := range maxMinFill(rest, unmet, weights) {
		t.allocations[t.reported[i]].Ranks[rank] += more
	}
}

func (t *allocator) reportedMembers() int64 {
	var sum int64
	for _, index := range t.reported {
		sum += t.members[index]
	}
	return sum
}

// addSpare divides the slots left over from all demand equally.
func (t *allocator) addSpare(rest int) {
	members := make([]int64, len(t.reported))
	for i, index := range t.reported {
		members[i] = t.members[index]
	}
	for i, slots := range divideProportionally(rest, members) {
		t.allocations[t.reported[i]].Spare += slots
	}
}

func withSelf(live []string, self string) []string {
	if slices.Contains(live, self) {
		return live
	}
	return append(slices.Clone(live), self)
}
