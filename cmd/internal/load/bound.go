package load

import (
	"math"
	"time"

	"masticbank.example/standin/fleet"
)

// promptBytesPerToken converts prompt lengths into tokens, as stand-ins do.
const promptBytesPerToken = 4

// bound returns the tokens a second that the scenario's fleet allows for the
// given requests; 0 when the fleet is not known. It leaves out prefix caches,
// links and the router.
func (s *Scenario) bound(samples []*sample) float64 {
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
			return boundOf(m, prompt/requests, output/requests)
		}
	}
	return 0
}

// boundOf solves the linear program: sequences on each chain of ranges such
// that no range holds more than its slots and the tokens a second are most.
func boundOf(m fleet.ModelSpec, prompt, output float64) float64 {
	chains := tilings(m, 0, nil)
	perSequence := make([]float64, len(chains))
	uses := make([][]float64, len(m.Ranges))
	slots := make([]float64, len(m.Ranges))
	for i, r := range m.Ranges {
		uses[i] = make([]float64, len(chains))
		slots[i] = float64(r.Accelerator.Slots * len(r.Zones))
	}
	for c, chain := range chains {
		prefill, step := 0.0, 0.0
		for _, i := range chain {
			r := m.Ranges[i]
			layers := float64(r.Last - r.First + 1)
			prefill += prompt * layers / r.Accelerator.PrefillTokensPerSecond
			step += layers * float64(r.Accelerator.StepPerLayer) / float64(time.Second)
			uses[i][c] = 1
		}
		// The prefill gives the first token.
		perSequence[c] = output / (prefill + (output-1)*step)
	}
	return maximize(perSequence, uses, slots)
}

// tilings returns every chain of ranges that covers the layers from first on.
func tilings(m fleet.ModelSpec, first int, chain []int) [][]int {
	if first == m.Layers {
		return [][]int{append([]int(nil), chain...)}
	}
	var out [][]int
	for i, r := range m.Ranges {
		if r.First == first {
			out = append(out, tilings(m, r.Last+1, append(chain, i))...)
		}
	}
	return out
}

// maximize returns the largest value of sum(value*x) with uses*x <= limit and
// x >= 0, for limits of at least 0, by the simplex method with Bland's rule.
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
		column := entering(table[m][:n+m])
		if column < 0 {
			return table[m][n+m]
		}
		row := leaving(table, basis, column)
		if row < 0 {
			return math.Inf(1)
		}
		pivot(table, row, column)
		basis[row] = column
	}
}

// epsilon is the value below which a coefficient counts as 0.
const epsilon = 1e-9

func entering(objective []float64) int {
	for j, v := range objective {
		if v < -epsilon {
			return j
		}
	}
	return -1
}

func leaving(table [][]float64, basis []int, column int) int {
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
