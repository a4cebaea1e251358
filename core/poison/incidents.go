package poison

import "slices"

// weight returns the total weight of the incidents that are evidence against a fingerprint.
func (l *Ledger) weight(f Fingerprint) float64 {
	r := l.tracked[f]
	if r == nil {
		return 0
	}
	sum := 0.0
	for _, incident := range incidents(r.crashes) {
		sum += l.incidentWeight(f, incident)
	}
	return sum
}

func (l *Ledger) incidentWeight(f Fingerprint, incident []Crash) float64 {
	weight := progressedWeight
	for _, c := range incident {
		if by, ok := l.explainedBy[c.Process]; ok && by != f {
			return 0
		}
		if !c.Progressed {
			weight = 1
		}
	}
	return weight
}

// incidents groups crashes that share a replica process or a run.
func incidents(crashes []Crash) [][]Crash {
	var groups [][]Crash
	for _, c := range crashes {
		group := []Crash{c}
		groups = slices.DeleteFunc(groups, func(g []Crash) bool {
			shared := slices.ContainsFunc(g, func(x Crash) bool { return x.Run == c.Run || x.Process == c.Process })
			if shared {
				group = append(group, g...)
			}
			return shared
		})
		groups = append(groups, group)
	}
	return groups
}
