// Package neighbor chooses the peers that an instance keeps sessions with, and the replicas
// that it serves. Every instance runs the same pure functions on the platform's list, so
// that no agreement protocol is needed and a change of the list changes few choices.
package neighbor

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a candidate for the choice.
type Instance struct {
	ID   string
	Zone string
}

// Limits bounds the number of neighbors.
type Limits struct {
	// All is the number of instances up to which all instances are neighbors.
	All int
	// Cell is the target mean number of instances per cell, a power of two.
	Cell int
	// MaxCell bounds the number of neighbors in the own cell.
	MaxCell int
	// SameZone is the number of neighbors in other cells of the own zone.
	SameZone int
	// OtherZones is the number of neighbors in other zones, each in a different zone if
	// there are enough.
	OtherZones int
}

// DefaultLimits returns limits that make all instances neighbors in a system of up to 32,
// and bound the number of neighbors to 36 at any size.
func DefaultLimits() Limits {
	return Limits{All: 32, Cell: 16, MaxCell: 32, SameZone: 2, OtherZones: 2}
}

// Chooser chooses neighbors. It keeps the number of cells between calls, so that a zone
// whose size varies around a threshold does not split and merge its cells each time. It is
// not safe for concurrent use.
type Chooser struct {
	limits Limits
	// depth is the number of hash bits that identify a cell.
	depth int
	cell  uint64
}

// NewChooser returns a chooser with the given limits.
func NewChooser(limits Limits) *Chooser { return &Chooser{limits: limits} }

// Cell returns the cell of self after the last call of Choose and its depth, the number of
// bits that identify a cell.
func (c *Chooser) Cell() (cell uint64, depth int) { return c.cell, c.depth }

// Choose returns the sorted IDs of the neighbors of self among all. Up to Limits.All
// instances, these are all others. Beyond that, they are the instances of the own cell, a
// few of other cells of the zone, and a few of other zones. They are selected by rendezvous
// hashing of the pair: both ends of a pair compute the same score, so they tend to choose
// each other.
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

// setDepth keeps the current depth while the mean cell size is between half and twice
// Limits.Cell. Otherwise it selects the depth whose mean cell size has the ratio closest to
// 1.
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

// cellOf returns the first depth bits of the hash of id. A cell is contained in the cells
// of the same instance at any lower depth.
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

// spreadZones selects the instance with the highest score of each zone, and among these the
// limit highest. If there are fewer zones than limit, it adds the next highest instances.
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

// highest returns the limit instances with the highest pair scores, in descending order.
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

// pairScore returns a score that is the same for (a, b) and (b, a).
func pairScore(a, b uint64) uint64 { return score(min(a, b), max(a, b)) }

// score returns a hash of two hashes.
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
