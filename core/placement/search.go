package placement

import (
	"math"
	"slices"
)

const (
	// costRoll and costMove are the costs of one load in a path. One move costs more than any
	// path of version changes.
	costRoll = 1
	costMove = 1 << 16
	// costNone marks a pair of boundaries that no load can connect.
	costNone = math.MaxInt
)

// search is the graph whose nodes are the boundaries of a model's ranges, with the spare units
// and the cost of a load between any two of them.
type search struct {
	boundaries []int
	spare      [][]int
	cost       [][]int
}

func newSearch(bounds []int) *search {
	s := &search{boundaries: bounds, spare: make([][]int, len(bounds)), cost: make([][]int, len(bounds))}
	for i := range bounds {
		s.spare[i] = make([]int, len(bounds))
		s.cost[i] = slices.Repeat([]int{costNone}, len(bounds))
	}
	return s
}

// boundaryIndexes returns the indexes of the boundaries of a range.
func (s *search) boundaryIndexes(a Assignment) (from, to int, ok bool) {
	from, ok1 := slices.BinarySearch(s.boundaries, a.First)
	to, ok2 := slices.BinarySearch(s.boundaries, a.Last+1)
	return from, to, ok1 && ok2
}

func (s *search) addUnits(a Assignment, units int) {
	if from, to, ok := s.boundaryIndexes(a); ok {
		s.spare[from][to] += units
	}
}

func (s *search) setCost(a Assignment, cost int) {
	if from, to, ok := s.boundaryIndexes(a); ok {
		s.cost[from][to] = cost
	}
}

// saturate sends as much flow as the ranges can carry.
func (s *search) saturate() {
	last := len(s.boundaries) - 1
	for {
		parent, total := s.shortestPath()
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

// cheapestLoads returns the ranges to load along the cheapest path.
func (s *search) cheapestLoads(m *Model) []Assignment {
	parent, total := s.shortestPath()
	if total == costNone {
		return nil
	}
	var path []Assignment
	for to := len(s.boundaries) - 1; to != 0; to = parent[to] {
		from := parent[to]
		if s.spare[from][to] == 0 {
			path = append(path, Assignment{
				Model: m.Name, Version: m.Version, First: s.boundaries[from], Last: s.boundaries[to] - 1,
			})
		}
	}
	slices.Reverse(path)
	return path
}

// shortestPath returns the predecessor of each boundary on the cheapest path from the first one,
// and the cost to the last one (Bellman, 1958).
func (s *search) shortestPath() (parent []int, total int) {
	n := len(s.boundaries)
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
				cost := s.edgeCost(from, to)
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

func (s *search) edgeCost(from, to int) int {
	if s.spare[from][to] > 0 {
		return 0
	}
	return s.cost[from][to]
}
