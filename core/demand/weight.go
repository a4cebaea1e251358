package demand

// instanceWeights returns the weight of each instance by rank. The weight of a listed workspace
// is divided among the instances in proportion to the workspace's slots there; the weight of
// unlisted workspaces is added.
func instanceWeights(demands []PoolDemand, ranks int) [][]int64 {
	totals := map[workspaceRank]int64{}
	for i := range demands {
		for _, w := range demands[i].Workspaces {
			totals[workspaceRank{w.Workspace, w.Rank}] += int64(clampSlots(w.Slots))
		}
	}
	weights := make([][]int64, len(demands))
	for i := range demands {
		weights[i] = rankWeights(&demands[i], ranks, totals)
	}
	return weights
}

func rankWeights(demand *PoolDemand, ranks int, totals map[workspaceRank]int64) []int64 {
	weights := make([]int64, ranks)
	for rank := range weights {
		weights[rank] = clampWeight(demand.rankDemand(rank).RestWeight)
	}
	for _, w := range demand.Workspaces {
		if w.Rank < 0 || w.Rank >= ranks {
			continue
		}
		total := max(1, totals[workspaceRank{w.Workspace, w.Rank}])
		share := clampWeight(w.Weight) * int64(clampSlots(w.Slots)) / total
		weights[w.Rank] = max(1, clampWeight(weights[w.Rank]+share))
	}
	return weights
}

func clampWeight(weight int64) int64 { return min(max(weight, 0), MaxWeight) }
