package load

import (
	"math"
	"time"

	"masticbank.example/standin/fleet"
)

// promptBytesPerToken converts prompt lengths to tokens. The stand-ins use the same
// ratio.
const promptBytesPerToken = 4

// throughputBound returns the maximum output throughput, in tokens per second, that
// the fleet of the scenario can reach for the mix of the given requests; 0 if the
// fleet or the model is unknown. It ignores prefix caches, links and the router.
func (s *Scenario) throughputBound(samples []*sample) float64 {
	makeSpec, ok := fleets[s.Fleet]
	if !ok {
		return 0
	}
	requests, prompt, output := 0.0, 0.0, 0.0
	for _, x := range samples {
		if !x.arrival.isModel() {
			continue
		}
		requests++
		prompt += float64(len(x.arrival.prompt)) / promptBytesPerToken
		output += float64(x.arrival.maxTokens)
	}
	if requests == 0 {
		return 0
	}
	for _, m := range makeSpec().Models {
		if m.Name == s.Model {
			return modelThroughputBound(m, prompt/requests, output/requests)
		}
	}
	return 0
}

// modelThroughputBound solves a linear program: it distributes sequences over the
// pipelines of layer ranges so that no range exceeds its slots and the tokens per
// second are maximal.
func modelThroughputBound(m fleet.ModelSpec, prompt, output float64) float64 {
	pipelines := tilings(m, 0, nil)
	perSequence := make([]float64, len(pipelines))
	uses := make([][]float64, len(m.Ranges))
	slots := make([]float64, len(m.Ranges))
	for i, r := range m.Ranges {
		uses[i] = make([]float64, len(pipelines))
		slots[i] = float64(r.Accelerator.Slots * len(r.Zones))
	}
	for column, pipeline := range pipelines {
		prefill, step := 0.0, 0.0
		for _, i := range pipeline {
			r := m.Ranges[i]
			layers := float64(r.Last - r.First + 1)
			prefill += prompt * layers / r.Accelerator.PrefillTokensPerSecond
			step += layers * float64(r.Accelerator.StepPerLayer) / float64(time.Second)
			uses[i][column] = 1
		}
		// The prefill produces the first token.
		perSequence[column] = output / (prefill + (output-1)*step)
	}
	return maximize(perSequence, uses, slots)
}

// tilings returns all pipelines that consist of prefix and ranges covering the
// layers from first to the last one. Each pipeline is a list of indices into
// m.Ranges.
func tilings(m fleet.ModelSpec, first int, prefix []int) [][]int {
	if first == m.Layers {
		return [][]int{append([]int(nil), prefix...)}
	}
	var out [][]int
	for i, r := range m.Ranges {
		if r.First == first {
			out = append(out, tilings(m, r.Last+1, append(prefix, i))...)
		}
	}
	return out
}

// maximize returns the maximum of sum(value*x) subject to uses*x <= limit and x >=
// 0, for non-negative limits. It uses the simplex method with Bland's rule, which
// guarantees termination.
func maximize(value []float64, uses [][]float64, limit []float64) float64 {
	n, m := len(value), len(limit)
	table := make([][]float64, m+1)
	for i := range table {
		table[i] = make([]float64, n+m+1)
		if i == m {
			for j, v := range value {
				table[m][j] = -v
			}
			break
		}
		copy(table[i], uses[i])
		table[i][n+i] = 1
		table[i][n+m] = limit[i]
	}
	basis := make([]int, m)
	for i := range basis {
		basis[i] = n + i
	}
	for {
		column := enteringColumn(table[m][:n+m])
		if column < 0 {
			return table[m][n+m]
		}
		row := leavingRow(table, basis, column)
		if row < 0 {
			return math.Inf(1)
		}
		pivot(table, row, column)
		basis[row] = column
	}
}

// epsilon is the threshold below which a coefficient counts as 0.
const epsilon = 1e-9

func enteringColumn(objective []float64) int {
	for j, v := range objective {
		if v < -epsilon {
			return j
		}
	}
	return -1
}

func leavingRow(table [][]float64, basis []int, column int) int {
	best, row := math.Inf(1), -1
	last := len(table[0]) - 1
	for i := range basis {
		if table[i][column] <= epsilon {
			continue
		}
		ratio := table[i][last] / table[i][column]
		if ratio < best-epsilon || (ratio <= best && basis[i] < basis[row]) {
			best, row = ratio, i
		}
	}
	return row
}

func pivot(table [][]float64, row, column int) {
	scale := table[row][column]
	for j := range table[row] {
		table[row][j] /= scale
	}
	for i := range table {
		factor := table[i][column]
		if i == row || factor == 0 {
			continue
		}
		for j := range table[i] {
			table[i][j] -= factor * table[row][j]
		}
	}
}
