package pipeline

// withMember returns a copy of the set with the ID added.
func withMember(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k := range set {
		out[k] = true
	}
	out[id] = true
	return out
}

// detourStart returns the first replica of a detour, that is, of a part of the path that leaves a
// replica and returns to it later. It returns "" if there is none. Engines refuse paths with
// detours.
func detourStart(p Path) string {
	seen := make(map[string]int, len(p))
	for i, stage := range p {
		if at, ok := seen[stage.ID]; ok {
			return p[at+1].ID
		}
		seen[stage.ID] = i
	}
	return ""
}

// withoutDetours returns the path with each detour replaced by the replica that it leaves. A replica
// holds consecutive layers, so it holds those of its detours too.
func (s *search) withoutDetours(p Path) Choice {
	var path Path
	for i := 0; i < len(p); i++ {
		stage := p[i]
		for j := len(p) - 1; j > i; j-- {
			if p[j].ID == stage.ID {
				stage.To = p[j].To
				i = j
				break
			}
		}
		path = append(path, stage)
	}
	return s.choiceOf(path, s.costOf(path))
}

// costOf returns the cost of a path by which run compares paths.
func (s *search) costOf(p Path) float64 {
	cost := 0.0
	var previous *member
	for _, stage := range p {
		m := s.fleet.replicas[stage.ID]
		cost += s.visitCost[m.index]
		if previous != nil {
			transferMS := ZoneTransferMS
			if previous.zone != m.zone {
				transferMS += s.crossZoneCost()
			}
			cost += transferMS * s.demand.sequentialTokens()
		}
		cost += s.layerCost[m.index] * float64(stage.To-stage.From)
		previous = m
	}
	return cost
}
