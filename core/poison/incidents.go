package poison

import "slices"

// weight returns the total weight of the incidents that are evidence against a fingerprint.
func (l *Ledger) weight(f Fingerprint) float64 {
	r := l.tracked[f]
	if r == nil {
		return 0
	}
	sum := 0.0
	for _, incident := range r.allIncidents() {
		sum += l.incidentWeight(f, incident)
	}
	return sum
}

func (l *Ledger) incidentWeight(f Fingerprint, incident []Crash) float64 {
	for _, c := range incident {
		if by, ok := l.explainedBy[c.Process]; ok && by != f {
			return 0
		}
	}
	return unexplainedWeight(incident)
}

// unexplainedWeight is the weight of an incident that no blocked fingerprint explains.
func unexplainedWeight(incident []Crash) float64 {
	for i := range incident {
		if !incident[i].Progressed {
			return 1
		}
	}
	return progressedWeight
}

// isSuspect reports whether the incidents are enough for a block if no other blocked fingerprint
// explains them.
func (r *crashHistory) isSuspect() bool {
	if len(r.crashes) < int(blockThreshold) {
		return false
	}
	sum := 0.0
	for _, incident := range r.allIncidents() {
		sum += unexplainedWeight(incident)
	}
	return sum >= blockThreshold
}

// allIncidents returns the incidents. They are kept because the blocks are recomputed with each
// message of evidence, which changes few histories.
func (r *crashHistory) allIncidents() [][]Crash {
	if r.incidents == nil {
		r.incidents = incidents(r.crashes)
	}
	return r.incidents
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
