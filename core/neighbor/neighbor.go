// Package neighbor chooses the peers that an instance keeps sessions with, and
// the replicas that it serves. Each instance runs the same pure functions on the
// platform's list, so that nothing has to be agreed and a change of the list
// moves little.
package neighbor

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a candidate.
type Instance struct {
	ID   string
	Zone string
}

// Limits bounds the choice.
type Limits struct {
	// All is the number of instances up to which everybody is a neighbour.
	All int
	// Cell is the mean number of instances of one cell, a power of two.
	Cell int
	// MaxCell bounds the neighbours in the own cell.
	MaxCell int
	// SameZone is the number of neighbours in other cells of the own zone.
	SameZone int
	// OtherZones is the number of neighbours in other zones, each in another
	// zone as long as there are enough.
	OtherZones int
}

// DefaultLimits returns limits that make all of 32 instances neighbours, and
// bound the choice to 36 at any size.
func DefaultLimits() Limits {
	return Limits{All: 32, Cell: 16, MaxCell: 32, SameZone: 2, OtherZones: 2}
}

// Chooser chooses neighbours. It remembers the number of cells, so that a zone
// whose size moves about a threshold does not split and merge its cells each
// time. It is not safe for concurrent use.
type Chooser struct {
	limits Limits
	// depth is the number of hash bits that name a cell.
	depth int
	cell  uint64
}

// NewChooser returns a chooser within limits.
func NewChooser(limits Limits) *Chooser { return &Chooser{limits: limits} }

// Cell returns the cell of self after the last Choose, and its depth: the number
// of bits that name a cell.
func (c *Chooser) Cell() (cell uint64, depth int) { return c.cell, c.depth }

// Choose returns the IDs of the neighbours of self among all, in order. Up to
// Limits.All instances, these are all others. Beyond that, they are the
// instances of the own cell, a few of other cells of the zone, and a few of
// other zones, each drawn by rendezvous hashing of the pair: the two ends of a
// pair see the same score, so that they tend to choose each other.
//
// The method is highest random weight hashing (Thaler and Ravishankar, 1998).
func (c *Chooser) Choose(self Instance, all []Instance) []string {
	others := withoutSelf(self, all)
	if len(others) < c.limits.All {
		c.depth, c.cell = 0, 0
		return sortedIDs(others)
	}
	sameZone, otherZones := splitByZone(self, others)
	c.setDepth(len(sameZone) + 1)
	c.cell = cellOf(self.ID, c.depth)
	sameCell, otherCells := c.splitByCell(sameZone)
	own := xxhash.Sum64String(self.ID)
	chosen := highest(own, sameCell, c.limits.MaxCell)
	chosen = append(chosen, highest(own, otherCells, c.limits.SameZone)...)
	chosen = append(chosen, spreadZones(own, otherZones, c.limits.OtherZones)...)
	return sortedIDs(chosen)
}

// setDepth keeps the present depth while the mean size of a cell lies between
// half and twice of Limits.Cell. Else it takes the depth whose mean size is the
// nearest by ratio.
func (c *Chooser) setDepth(zoneSize int) {
	mean := zoneSize >> c.depth
	if c.depth > 0 && 2*mean >= c.limits.Cell && mean <= 2*c.limits.Cell {
		return
	}
	c.depth = 0
	for float64(zoneSize>>c.depth) > float64(c.limits.Cell)*math.Sqrt2 {
		c.depth++
	}
}

func (c *Chooser) splitByCell(instances []Instance) (same, other []Instance) {
	for _, in := range instances {
		if cellOf(in.ID, c.depth) == c.cell {
			same = append(same, in)
		} else {
			other = append(other, in)
		}
	}
	return same, other
}

// cellOf returns the first depth bits of the hash of id. A deeper cell lies
// within the cell of any lower depth.
func cellOf(id string, depth int) uint64 {
	return xxhash.Sum64String(id) >> (64 - uint(depth))
}

func splitByZone(self Instance, others []Instance) (same, other []Instance) {
	for _, in := range others {
		if in.Zone == self.Zone {
			same = append(same, in)
		} else {
			other = append(other, in)
		}
	}
	return same, other
}

// spreadZones takes the instance with the highest score of each zone, then of
// those the limit highest. If there are fewer zones, it fills up with the next
// highest instances.
func spreadZones(self uint64, others []Instance, limit int) []Instance {
	best := map[string]scored[Instance]{}
	for _, in := range others {
		s := scoredInstance(self, in)
		if known, ok := best[in.Zone]; !ok || s.before(known) {
			best[in.Zone] = s
		}
	}
	var chosen ranking[Instance]
	for _, s := range best {
		chosen.insert(s, limit)
	}
	if len(best) >= limit {
		return chosen.items()
	}
	rest := slices.DeleteFunc(slices.Clone(others), func(in Instance) bool { return best[in.Zone].id == in.ID })
	return append(chosen.items(), highest(self, rest, limit-len(best))...)
}

// highest returns the limit instances with the highest pair scores, the highest
// first.
func highest(self uint64, instances []Instance, limit int) []Instance {
	var chosen ranking[Instance]
	for _, in := range instances {
		chosen.insert(scoredInstance(self, in), limit)
	}
	return chosen.items()
}

func scoredInstance(self uint64, in Instance) scored[Instance] {
	return scored[Instance]{item: in, id: in.ID, score: pairScore(self, xxhash.Sum64String(in.ID))}
}

// pairScore is the same for (a, b) and (b, a).
func pairScore(a, b uint64) uint64 { return score(min(a, b), max(a, b)) }

// score mixes two hashes.
func score(a, b uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], a)
	binary.LittleEndian.PutUint64(pair[8:], b)
	return xxhash.Sum64(pair[:])
}

func withoutSelf(self Instance, all []Instance) []Instance {
	others := make([]Instance, 0, len(all))
	for _, in := range all {
		if in.ID != self.ID && in.ID != "" {
			others = append(others, in)
		}
	}
	return others
}

func sortedIDs(instances []Instance) []string {
	ids := make([]string, len(instances))
	for i, in := range instances {
		ids[i] = in.ID
	}
	slices.Sort(ids)
	return ids
}
