package load

import "slices"

// jainIndex returns Jain's fairness index over the workspaces with a demand for
// tokens (Jain, Chiu and Hawe, 1984). With x as the goodput of a workspace divided
// by its max-min fair share of the total goodput, and n workspaces, the index is
// sum(x)^2 / (n * sum(x^2)).
func jainIndex(workspaces map[string]Group) float64 {
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
	for i, share := range maxMinShares(demand, total) {
		x := good[i] / share
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(good)) * squares)
}

// maxMinShares returns the max-min fair shares of capacity: no share exceeds its
// demand, and no share can be increased without decreasing a smaller one.
func maxMinShares(demand []float64, capacity float64) []float64 {
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
