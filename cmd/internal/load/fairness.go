package load

import "slices"

// jain returns Jain's index over the workspaces that ask for tokens: the
// square of the sum over n times the sum of the squares of each workspace's
// goodput divided by its max-min fair share of all goodput (Jain, Chiu and
// Hawe, 1984).
func jain(workspaces map[string]Group) float64 {
	var demand, good []float64
	for _, g := range workspaces {
		if g.DemandTokens > 0 {
			demand = append(demand, float64(g.DemandTokens))
			good = append(good, float64(g.GoodTokens))
		}
	}
	total := 0.0
	for _, g := range good {
		total += g
	}
	if total == 0 {
		return 0
	}
	sum, squares := 0.0, 0.0
	for i, share := range maxMin(demand, total) {
		x := good[i] / share
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(good)) * squares)
}

// maxMin returns the max-min fair shares of capacity: nobody gets more than the
// demand, and nobody's share can grow without a smaller one shrinking.
func maxMin(demand []float64, capacity float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demand[a] < demand[b] {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(demand))
	for n, i := range order {
		equal := capacity / float64(len(order)-n)
		shares[i] = min(demand[i], equal)
		capacity -= shares[i]
	}
	return shares
}
