// Package capacity computes the maximum concurrent work of a set of replicas when each request
// passes through replicas whose ranges tile the model's layers exactly.
package capacity

// Edge is a set of replicas with the same range of layers.
type Edge struct {
	// First and Last are the layers held, both inclusive.
	First int
	Last  int
	// Units is the total capacity of the replicas. Any unit may be used, such as sequences or
	// tokens per second, if it is the same for all edges.
	Units int
}

// Max returns the largest number of units that all exact tilings of layers 0 to layers-1 carry
// together. It is the maximum flow from boundary 0 to boundary layers in the graph whose edges
// lead from First to Last+1 (Ford and Fulkerson, 1956, with shortest augmenting paths).
func Max(layers int, edges []Edge) int {
	if layers < 1 {
		return 0
	}
	g := newGraph(layers + 1)
	for _, e := range edges {
		if e.First >= 0 && e.Last < layers && e.First <= e.Last && e.Units > 0 {
			g.residual[e.First][e.Last+1] += e.Units
		}
	}
	total := 0
	for {
		pushed := g.augment(0, layers)
		if pushed == 0 {
			return total
		}
		total += pushed
	}
}

type graph struct {
	residual []map[int]int // remaining units by start and end of the edge
	parent   []int
}

func newGraph(n int) *graph {
	g := &graph{residual: make([]map[int]int, n), parent: make([]int, n)}
	for i := range g.residual {
		g.residual[i] = map[int]int{}
	}
	return g
}

// augment pushes flow along one shortest path and returns the number of units pushed, 0 if there
// is no path.
func (g *graph) augment(from, to int) int {
	if !g.findPath(from, to) {
		return 0
	}
	units := 0
	for v := to; v != from; v = g.parent[v] {
		left := g.residual[g.parent[v]][v]
		if units == 0 || left < units {
			units = left
		}
	}
	for v := to; v != from; v = g.parent[v] {
		g.residual[g.parent[v]][v] -= units
		g.residual[v][g.parent[v]] += units
	}
	return units
}

// findPath runs a breadth-first search that records the parents and reports whether the node to
// can be reached.
func (g *graph) findPath(from, to int) bool {
	for i := range g.parent {
		g.parent[i] = -1
	}
	g.parent[from] = from
	queue := []int{from}
	for len(queue) > 0 {
		u := queue[0]
		queue = queue[1:]
		for v := range g.residual {
			if g.residual[u][v] > 0 && g.parent[v] < 0 {
				g.parent[v] = u
				queue = append(queue, v)
			}
		}
	}
	return g.parent[to] >= 0
}
