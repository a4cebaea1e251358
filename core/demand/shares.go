package demand

import (
	"cmp"
	"math"
	"slices"
)

// Pool is a group of replicas whose slots are shared.
type Pool struct {
	Name string
	// Capacity is the number of slots of all replicas together.
	Capacity int
	// MinShares gives, by rank, the fraction of Capacity, 0 to 1, that the rank
	// keeps while it has work. Its length is the number of ranks.
	MinShares []float64
}

// Row is what one instance may have in flight in a pool.
type Row struct {
	Instance string
	// Ranks is indexed by rank and covers demand that was told.
	Ranks []int
	// Spare is for demand that nobody knows of yet: the part of an instance
	// without a fresh digest, and what is left when all demand is covered.
	Spare int
}

// Total returns the slots of all ranks and the spare ones.
func (r Row) Total() int {
	sum := r.Spare
	for _, slots := range r.Ranks {
		sum += slots
	}
	return sum
}

// Shares returns the row of self: the slots of pool that self may have in
// flight. Told holds the fresh digests of all live instances, for self the one
// that it last told its peers; current is the demand of self now, which counts
// at once. Weights are those that were told, so that all instances divide a
// surplus alike. An instance that has told nothing yet gets what its peers leave
// for it, its equal share.
//
// Instances with the same told digests together take no more than the capacity
// plus the demand that has grown since it was told, and one slot for each rank
// and instance by rounding.
func Shares(pool Pool, live []string, told []Digest, self string, current PoolDemand) Row {
	t := newTable(pool, withSelf(live, self), told)
	own := t.row(self)
	if heard, ok := slices.BinarySearch(t.heard, own); ok {
		t.demands[heard] = current
	}
	t.compute()
	return t.rows[own]
}

// Table returns the rows of all live instances in the order of their IDs.
//
//   - A live instance without a digest gets its equal share of the capacity as
//     spare slots. If that holds for all, all get equal shares.
//   - Of the rest, each rank first gets its guaranteed minimum or its demand,
//     whichever is less, and then the ranks get their demand, most urgent first.
//   - Inside a rank, an instance gets at least the lesser of its demand and the
//     equal share of the rank's slots. What others don't use is divided by
//     weighted max-min, with the weights of the workspaces that wait there.
//   - What is left when all demand is covered is divided equally as spare slots.
func Table(pool Pool, live []string, digests []Digest) []Row {
	t := newTable(pool, live, digests)
	t.compute()
	return t.rows
}

// table is the state of one computation.
type table struct {
	pool Pool
	rows []Row
	// members is the number of instances behind each row.
	members []int64
	// heard holds the rows with a digest in rising order, demands their demand
	// and weights their weight by rank.
	heard   []int
	demands []PoolDemand
	weights [][]int64
}

func newTable(pool Pool, live []string, digests []Digest) *table {
	byID := newestByInstance(digests)
	ids := slices.Compact(slices.Sorted(slices.Values(live)))
	key := KeyOf(pool.Name)
	t := &table{pool: pool}
	t.rows = make([]Row, len(ids))
	t.members = make([]int64, len(ids))
	for i, id := range ids {
		t.rows[i] = Row{Instance: id, Ranks: make([]int, len(pool.MinShares))}
		t.members[i] = 1
		digest, ok := byID[id]
		if !ok {
			continue
		}
		t.members[i] = int64(clampSlots(digest.members()))
		t.heard = append(t.heard, i)
		t.demands = append(t.demands, digest.Pool(key))
	}
	t.weights = instanceWeights(t.demands, len(pool.MinShares))
	return t
}

// row returns the index of the row of id, which is in the table.
func (t *table) row(id string) int {
	return slices.IndexFunc(t.rows, func(r Row) bool { return r.Instance == id })
}

func (t *table) compute() {
	rest := t.reserveUnheard(clampSlots(t.pool.Capacity))
	if len(t.heard) == 0 {
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

// newer tells whether a was made after b by the same instance.
func newer(a, b *Digest) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// reserveUnheard gives equal shares to the rows without a digest and returns
// what is left of capacity.
func (t *table) reserveUnheard(capacity int) int {
	equal := spread(capacity, t.members)
	rest := capacity
	next := 0
	for row := range t.rows {
		if next < len(t.heard) && t.heard[next] == row {
			next++
			continue
		}
		t.rows[row].Spare = equal[row]
		rest -= equal[row]
	}
	return rest
}

// rankBudgets divides capacity among the ranks: guaranteed minimums first, then
// demand in the order of urgency.
func (t *table) rankBudgets(capacity int) []int {
	budgets := make([]int, len(t.pool.MinShares))
	rest := capacity
	for rank := range budgets {
		budgets[rank] = min(t.rankDemand(rank), minSlots(t.pool.MinShares[rank], capacity), rest)
		rest -= budgets[rank]
	}
	for rank := range budgets {
		more := min(t.rankDemand(rank)-budgets[rank], rest)
		budgets[rank] += more
		rest -= more
	}
	return budgets
}

// minSlots returns the slots that a share of capacity guarantees: at least one
// for a positive share.
func minSlots(share float64, capacity int) int {
	if !(share > 0) {
		return 0
	}
	return max(1, int(math.Floor(min(share, 1)*float64(capacity))))
}

func (t *table) rankDemand(rank int) int {
	sum := 0
	for i := range t.demands {
		sum += t.demands[i].rank(rank).slots()
	}
	return sum
}

// divideRank gives out the budget of one rank.
func (t *table) divideRank(rank, budget int) {
	if budget == 0 {
		return
	}
	unmet := make([]int, len(t.heard))
	weights := make([]int64, len(t.heard))
	rest := budget
	members := t.heardMembers()
	for i, row := range t.heard {
		demand := t.demands[i].rank(rank).slots()
		equal := int(int64(budget) * t.members[row] / members)
		granted := min(demand, equal)
		t.rows[row].Ranks[rank] = granted
		rest -= granted
		unmet[i] = demand - granted
		weights[i] = t.weights[i][rank]
	}
	for i, more := range fill(rest, unmet, weights) {
		t.rows[t.heard[i]].Ranks[rank] += more
	}
}

func (t *table) heardMembers() int64 {
	var sum int64
	for _, row := range t.heard {
		sum += t.members[row]
	}
	return sum
}

// addSpare divides what no demand needs equally.
func (t *table) addSpare(rest int) {
	members := make([]int64, len(t.heard))
	for i, row := range t.heard {
		members[i] = t.members[row]
	}
	for i, slots := range spread(rest, members) {
		t.rows[t.heard[i]].Spare += slots
	}
}

func withSelf(live []string, self string) []string {
	if slices.Contains(live, self) {
		return live
	}
	return append(slices.Clone(live), self)
}
