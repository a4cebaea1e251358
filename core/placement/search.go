package placement

import (
	"math"
	"slices"
)

const (
	// costRoll and costMove are the costs of a load in a path. One move costs
	// more than any path of version changes.
	costRoll = 1
	costMove = 1 << 16
	// costNone marks a pair of boundaries that no load can join.
	costNone = math.MaxInt
)

// search is the graph of a model's boundaries with the spare units between them
// and the costs of loads.
type search struct {
	cuts  []int
	spare [][]int
	cost  [][]int
}

func newSearch(cuts []int) *search {
	s := &search{cuts: cuts, spare: make([][]int, len(cuts)), cost: make([][]int, len(cuts))}
	for i := range cuts {
		s.spare[i] = make([]int, len(cuts))
		s.cost[i] = slices.Repeat([]int{costNone}, len(cuts))
	}
	return s
}

// ends returns the indexes of the boundaries of a range.
func (s *search) ends(a Assignment) (from, to int, ok bool) {
	from, ok1 := slices.BinarySearch(s.cuts, a.First)
	to, ok2 := slices.BinarySearch(s.cuts, a.Last+1)
	return from, to, ok1 && ok2
}

func (s *search) addUnits(a Assignment, units int) {
	if from, to, ok := s.ends(a); ok {
		s.spare[from][to] += units
	}
}

func (s *search) setCost(a Assignment, cost int) {
	if from, to, ok := s.ends(a); ok {
		s.cost[from][to] = cost
	}
}

// saturate sends as many units as the ranges carry.
func (s *search) saturate() {
	last := len(s.cuts) - 1
	for {
		parent, total := s.shortest()
		if total > 0 {
			return
		}
		units := math.MaxInt
		for to := last; to != 0; to = parent[to] {
			units = min(units, s.spare[parent[to]][to])
		}
		for to := last; to != 0; to = parent[to] {
			s.spare[parent[to]][to] -= units
			s.spare[to][parent[to]] += units
		}
	}
}

// cheapest returns the ranges to load along the cheapest path.
func (s *search) cheapest(m *Model) []Assignment {
	parent, total := s.shortest()
	if total == costNone {
		return nil
	}
	var path []Assignment
	for to := len(s.cuts) - 1; to != 0; to = parent[to] {
		from := parent[to]
		if s.spare[from][to] == 0 {
			path = append(path, Assignment{
				Model: m.Name, Version: m.Version, First: s.cuts[from], Last: s.cuts[to] - 1,
			})
		}
	}
	slices.Reverse(path)
	return path
}

// shortest returns the parents on the cheapest paths from the first boundary and
// the cost to the last one (Bellman, 1958).
func (s *search) shortest() (parent []int, total int) {
	n := len(s.cuts)
	distance := slices.Repeat([]int{costNone}, n)
	parent = make([]int, n)
	distance[0] = 0
	for changed := true; changed; {
		changed = false
		for from := range n {
			if distance[from] == costNone {
				continue
			}
			for to := range n {
				cost := s.price(from, to)
				if cost != costNone && distance[from]+cost < distance[to] {
					distance[to] = distance[from] + cost
					parent[to] = from
					changed = true
				}
			}
		}
	}
	return parent, distance[n-1]
}

func (s *search) price(from, to int) int {
	if s.spare[from][to] > 0 {
		return 0
	}
	return s.cost[from][to]
}
