// Package demand shares the slots of upstream pools among the instances. Each instance publishes
// a Digest of its demand to its peers, runs the same weighted max-min computation as they do on
// the digests that it has received, and uses its own part of the result. No communication is
// needed per request.
package demand

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the values in a digest, so that products stay within int64.
const (
	// MaxSlots is the maximum demand or capacity, in slots.
	MaxSlots = 1 << 20
	// MaxWeight is the maximum total weight of one instance in one rank.
	MaxWeight = 1 << 30
	// WeightUnit is the weight 1.0; digests carry weights in thousandths.
	WeightUnit = 1000
)

// Key is a hash that identifies a pool or a workspace in a digest. Two names with the same key
// are counted as one, which only makes the shares less exact.
type Key uint32

// KeyOf returns the key of name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Digest is the demand of one instance, or the total demand of a group of instances.
type Digest struct {
	// Instance is the ID of the instance, or the name of the group.
	Instance string
	// Incarnation identifies the process of the instance; a later process has a higher one.
	Incarnation uint64
	// Sequence increases with each digest of one process of the instance.
	Sequence uint64
	// Members is the number of instances in the group; 0 means 1.
	Members int
	Pools   []PoolDemand
}

// Pool returns the demand for the pool with the key; it is empty if the digest does not contain
// the pool.
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
	// Workspaces holds the workspaces with the most slots.
	Workspaces []WorkspaceDemand
}

// rankDemand returns the demand of rank r, which is empty if the rank is not listed.
func (p *PoolDemand) rankDemand(r int) RankDemand {
	if r < len(p.Ranks) {
		return p.Ranks[r]
	}
	return RankDemand{}
}

// InFlight returns the number of running requests of all ranks.
func (p *PoolDemand) InFlight() int {
	sum := 0
	for _, rank := range p.Ranks {
		sum += clampSlots(rank.InFlight)
	}
	return clampSlots(sum)
}

// RankDemand is the demand of one rank.
type RankDemand struct {
	// Queued and InFlight are numbers of requests; each request needs one slot.
	Queued   int
	InFlight int
	// Backlog is the estimated cost of the queued requests, in tokens.
	Backlog int64
	// RestWeight is the total weight, in thousandths, of the workspaces with requests in this
	// rank that are not listed in PoolDemand.Workspaces.
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
	// Slots is the number of requests that are queued or in flight.
	Slots int
	// Weight is the workspace's weight in thousandths.
	Weight int64
}

// Load holds the requests of one workspace in one rank and pool at one instance.
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

// Summarize returns the PoolDemand of a pool for the loads of all workspaces. It lists the
// maxWorkspaces workspaces with the most slots and adds up the weights of the others. Loads with
// a rank outside 0 to ranks-1 are ignored.
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
	summary.setWorkspaces(listed, maxWorkspaces)
	return summary
}

// setWorkspaces lists the workspaces with the most slots, at most limit, and adds the weights of
// the others to RestWeight.
func (p *PoolDemand) setWorkspaces(workspaces []WorkspaceDemand, limit int) {
	slices.SortFunc(workspaces, func(a, b WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	limit = min(limit, len(workspaces))
	for _, rest := range workspaces[limit:] {
		p.Ranks[rest.Rank].RestWeight += rest.Weight
	}
	p.Workspaces = workspaces[:limit:limit]
}

// Merge returns the total of the digests of a group of instances under the name group, with at
// most maxWorkspaces workspaces in each pool and the given sequence number.
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
		merged.Pools[i].setWorkspaces(sumWorkspaces(merged.Pools[i].Workspaces), maxWorkspaces)
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

// workspaceRank identifies a workspace in one rank.
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
