package metrics

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxTrackedWorkspaces is the maximum number of workspaces whose use is counted.
	maxTrackedWorkspaces = 8192
	// useDecay is the factor by which the use counts decay at each rotation.
	useDecay = 0.8
	// minTrackedUse is the use count below which a workspace is no longer tracked.
	minTrackedUse = 0.01
	// promotionFactor is the ratio of use by which a workspace must exceed one with its
	// own series to replace it.
	promotionFactor = 1.25
)

// workspaces assigns the most used workspaces their own (named) series and all others a
// common one. It is guarded by Registry.mu.
type workspaces struct {
	limit     int
	named     map[string]*series
	other     *series
	useCounts map[string]float64
}

func newWorkspaces(limit int) *workspaces {
	return &workspaces{
		limit:     limit,
		named:     make(map[string]*series),
		other:     newSeries(),
		useCounts: make(map[string]float64),
	}
}

// use counts one request of a workspace and returns the series in which to record it.
func (w *workspaces) use(name string) *series {
	if _, ok := w.useCounts[name]; ok || len(w.useCounts) < maxTrackedWorkspaces {
		w.useCounts[name]++
	}
	if s, ok := w.named[name]; ok {
		return s
	}
	if len(w.named) < w.limit {
		s := newSeries()
		w.named[name] = s
		return s
	}
	return w.other
}

// all returns every series.
func (w *workspaces) all() []*series {
	return append(slices.Collect(maps.Values(w.named)), w.other)
}

// rebalance reassigns the named series to the most used workspaces and decays the
// counts.
func (w *workspaces) rebalance() {
	w.reassign()
	for name, n := range w.useCounts {
		if n *= useDecay; n < minTrackedUse {
			delete(w.useCounts, name)
			continue
		}
		w.useCounts[name] = n
	}
}

// reassign replaces the least used named workspaces by others that are used more by a
// factor above promotionFactor. The replaced series are folded into the common one; the
// new ones start empty.
func (w *workspaces) reassign() {
	candidates := w.sortedByUse(func(name string) bool { return w.named[name] == nil })
	named := w.sortedByUse(func(name string) bool { return w.named[name] != nil })
	for i, candidate := range candidates {
		last := len(named) - 1 - i
		if last < 0 || w.useCounts[candidate] <= promotionFactor*w.useCounts[named[last]] {
			return
		}
		w.named[named[last]].foldInto(w.other)
		delete(w.named, named[last])
		w.named[candidate] = newSeries()
	}
}

// sortedByUse returns the names for which keep returns true, starting with the most
// used. Named workspaces that are no longer tracked come last.
func (w *workspaces) sortedByUse(keep func(string) bool) []string {
	var names []string
	for name := range w.useCounts {
		if keep(name) {
			names = append(names, name)
		}
	}
	for name := range w.named {
		if _, counted := w.useCounts[name]; !counted && keep(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.useCounts[b], w.useCounts[a]), cmp.Compare(a, b))
	})
	return names
}
