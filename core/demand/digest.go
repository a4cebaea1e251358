// Package demand shares the slots of upstream pools among the instances. Each
// instance tells its peers a Digest of its demand, and each runs the same
// weighted max-min computation on what it has heard and takes its own row. No
// instance is asked per request.
package demand

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what is taken from a digest, so that products stay within int64.
const (
	// MaxSlots bounds a demand and a capacity, in slots.
	MaxSlots = 1 << 20
	// MaxWeight bounds the summed weights of one instance in one rank.
	MaxWeight = 1 << 30
	// WeightUnit is the weight 1.0 in the thousandths that digests carry.
	WeightUnit = 1000
)

// Key stands for the name of a pool or a workspace in a digest. Two names with
// the same key are counted as one, which makes shares less exact and breaks
// nothing.
type Key uint32

// KeyOf returns the key of name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Digest is the demand of one instance, or the summed demand of several.
type Digest struct {
	// Instance is the ID of the instance, or the name of the group.
	Instance    string
	Incarnation uint64
	// Sequence rises with each digest of one incarnation.
	Sequence uint64
	// Members is the number of instances that are summed up; 0 means 1.
	Members int
	Pools   []PoolDemand
}

// Pool returns the demand for the pool with key, which is empty if the digest
// has no such pool.
func (d *Digest) Pool(key Key) PoolDemand {
	for i := range d.Pools {
		if d.Pools[i].Pool == key {
			return d.Pools[i]
		}
	}
	return PoolDemand{Pool: key}
}

func (d *Digest) members() int { return max(1, d.Members) }

// PoolDemand is the demand for the slots of one pool.
type PoolDemand struct {
	Pool Key
	// Ranks is indexed by rank, the most urgent first.
	Ranks []RankDemand
	// Workspaces holds the heaviest workspaces by slots.
	Workspaces []WorkspaceDemand
}

// rank returns the demand of rank r; a rank that is not listed has none.
func (p *PoolDemand) rank(r int) RankDemand {
	if r < len(p.Ranks) {
		return p.Ranks[r]
	}
	return RankDemand{}
}

// InFlight returns the running requests of all ranks.
func (p *PoolDemand) InFlight() int {
	sum := 0
	for _, rank := range p.Ranks {
		sum += clampSlots(rank.InFlight)
	}
	return clampSlots(sum)
}

// RankDemand is the demand of one rank.
type RankDemand struct {
	// Queued and InFlight count requests; each takes one slot.
	Queued   int
	InFlight int
	// Backlog is the estimated cost of the queued requests, in tokens.
	Backlog int64
	// RestWeight sums the weights, in thousandths, of the workspaces with work
	// in this rank that are not listed in PoolDemand.Workspaces.
	RestWeight int64
}

// slots returns the number of slots that the rank could use.
func (r RankDemand) slots() int {
	return clampSlots(clampSlots(r.Queued) + clampSlots(r.InFlight))
}

// WorkspaceDemand is the demand of one workspace in one rank.
type WorkspaceDemand struct {
	Workspace Key
	Rank      int
	// Slots counts the requests queued and in flight.
	Slots int
	// Weight is the workspace's weight in thousandths.
	Weight int64
}

// Load is the work of one workspace in one rank and pool at one instance.
type Load struct {
	Workspace string
	Rank      int
	Queued    int
	InFlight  int
	// Backlog is the estimated cost of the queued requests, in tokens.
	Backlog int64
	// Weight is the workspace's weight in thousandths.
	Weight int64
}

// Summarize makes the PoolDemand of pool from the loads of all workspaces. It
// lists at most maxWorkspaces of them, those with the most slots, and sums up
// the others. Loads with a rank outside 0 to ranks-1 are left out.
func Summarize(pool string, ranks int, loads []Load, maxWorkspaces int) PoolDemand {
	summary := PoolDemand{Pool: KeyOf(pool), Ranks: make([]RankDemand, ranks)}
	listed := make([]WorkspaceDemand, 0, len(loads))
	for _, load := range loads {
		if load.Rank < 0 || load.Rank >= ranks || load.Queued+load.InFlight == 0 {
			continue
		}
		rank := &summary.Ranks[load.Rank]
		rank.Queued += load.Queued
		rank.InFlight += load.InFlight
		rank.Backlog += load.Backlog
		listed = append(listed, WorkspaceDemand{
			Workspace: KeyOf(load.Workspace),
			Rank:      load.Rank,
			Slots:     load.Queued + load.InFlight,
			Weight:    load.Weight,
		})
	}
	summary.list(listed, maxWorkspaces)
	return summary
}

// list keeps the limit heaviest workspaces and adds the others to RestWeight.
func (p *PoolDemand) list(workspaces []WorkspaceDemand, limit int) {
	slices.SortFunc(workspaces, func(a, b WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	limit = min(limit, len(workspaces))
	for _, rest := range workspaces[limit:] {
		p.Ranks[rest.Rank].RestWeight += rest.Weight
	}
	p.Workspaces = workspaces[:limit:limit]
}

// Merge sums up the digests of a group of instances under the name group, with
// at most maxWorkspaces workspaces in each pool. The result carries sequence.
func Merge(group string, sequence uint64, digests []Digest, maxWorkspaces int) Digest {
	merged := Digest{Instance: group, Sequence: sequence}
	index := map[Key]int{}
	for i := range digests {
		merged.Members += digests[i].members()
		for _, pool := range digests[i].Pools {
			at, known := index[pool.Pool]
			if !known {
				at = len(merged.Pools)
				index[pool.Pool] = at
				merged.Pools = append(merged.Pools, PoolDemand{Pool: pool.Pool})
			}
			merged.Pools[at].add(pool)
		}
	}
	for i := range merged.Pools {
		merged.Pools[i].list(sumWorkspaces(merged.Pools[i].Workspaces), maxWorkspaces)
	}
	return merged
}

func (p *PoolDemand) add(other PoolDemand) {
	for r, rank := range other.Ranks {
		if r == len(p.Ranks) {
			p.Ranks = append(p.Ranks, RankDemand{})
		}
		p.Ranks[r].Queued += rank.Queued
		p.Ranks[r].InFlight += rank.InFlight
		p.Ranks[r].Backlog += rank.Backlog
		p.Ranks[r].RestWeight += rank.RestWeight
	}
	for _, w := range other.Workspaces {
		if w.Rank >= 0 && w.Rank < len(p.Ranks) {
			p.Workspaces = append(p.Workspaces, w)
		}
	}
}

// workspaceRank names one workspace in one rank.
type workspaceRank struct {
	workspace Key
	rank      int
}

func sumWorkspaces(all []WorkspaceDemand) []WorkspaceDemand {
	index := make(map[workspaceRank]int, len(all))
	var sums []WorkspaceDemand
	for _, w := range all {
		key := workspaceRank{w.Workspace, w.Rank}
		at, known := index[key]
		if !known {
			index[key] = len(sums)
			sums = append(sums, w)
			continue
		}
		sums[at].Slots += w.Slots
		sums[at].Weight = max(sums[at].Weight, w.Weight)
	}
	return sums
}

func clampSlots(n int) int { return min(max(n, 0), MaxSlots) }
