package metrics

import (
	"maps"
	"strconv"
)

// Snapshot is the state of a registry at one time.
type Snapshot struct {
	Ranks      map[string]Series `json:"ranks"`
	Workspaces map[string]Series `json:"workspaces"`
	// Other is the series of all workspaces without their own series.
	Other    Series            `json:"other_workspaces"`
	Counters map[string]uint64 `json:"counters"`
	// Refusals counts refused requests by reason.
	Refusals map[string]uint64 `json:"refusals"`
	Gauges   map[string]int64  `json:"gauges"`
}

// Snapshot returns the current state.
func (r *Registry) Snapshot() Snapshot {
	ranks, named := r.copySeries()
	scratch := newHistogram()
	out := Snapshot{
		Ranks:      make(map[string]Series, len(ranks)),
		Workspaces: make(map[string]Series, len(named)),
		Other:      r.workspaces.other.snapshot(scratch),
		Counters:   make(map[string]uint64, counterCount),
		Refusals:   r.values.reasonCounts(),
		Gauges:     make(map[string]int64, gaugeCount),
	}
	for name, s := range ranks {
		out.Ranks[name] = s.snapshot(scratch)
	}
	for name, s := range named {
		out.Workspaces[name] = s.snapshot(scratch)
	}
	for i, name := range counterNames {
		out.Counters[name] = r.values.counters[i].Load()
	}
	for i, name := range gaugeNames {
		out.Gauges[name] = r.values.gauges[i].Load()
	}
	return out
}

// copySeries returns the series of ranks and workspaces by name, so that they can be
// read without the lock of the registry.
func (r *Registry) copySeries() (ranks, named map[string]*series) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ranks = make(map[string]*series)
	for i, s := range r.ranks {
		if s != nil {
			ranks[r.rankName(i)] = s
		}
	}
	return ranks, maps.Clone(r.workspaces.named)
}

// rankName returns the name of rank i, or its number if it has no name.
func (r *Registry) rankName(i int) string {
	if i < len(r.rankNames) {
		return r.rankNames[i]
	}
	return strconv.Itoa(i)
}

// BytesPerSeries returns the memory used by the histograms of one series.
func BytesPerSeries() int {
	return int(metricCount) * (sliceCount + 1) * newHistogram().ByteSize()
}
