package metrics

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxTracked bounds the workspaces whose use is counted.
	maxTracked = 8192
	// useDecay weighs the use before the last rotation.
	useDecay = 0.8
	// minUse is the use below which a workspace is forgotten.
	minUse = 0.01
	// promotionFactor is how much more a workspace must be used than a named
	// one to take its place.
	promotionFactor = 1.25
)

// workspaces gives series of their own to the most used workspaces and one
// common series to all others. Registry.mu guards it.
type workspaces struct {
	limit  int
	named  map[string]*series
	other  *series
	counts map[string]float64
}

func newWorkspaces(limit int) *workspaces {
	return &workspaces{
		limit:  limit,
		named:  make(map[string]*series),
		other:  newSeries(),
		counts: make(map[string]float64),
	}
}

// use counts one request of a workspace and returns the series to record in.
func (w *workspaces) use(name string) *series {
	if _, ok := w.counts[name]; ok || len(w.counts) < maxTracked {
		w.counts[name]++
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

// review gives series to the workspaces used most and lets old use fade.
func (w *workspaces) review() {
	w.rename()
	for name, n := range w.counts {
		if n *= useDecay; n < minUse {
			delete(w.counts, name)
			continue
		}
		w.counts[name] = n
	}
}

// rename folds the least used named workspaces into the others where another
// one is used clearly more. The newly named start empty.
func (w *workspaces) rename() {
	candidates := w.ranked(func(name string) bool { return w.named[name] == nil })
	named := w.ranked(func(name string) bool { return w.named[name] != nil })
	for i, candidate := range candidates {
		last := len(named) - 1 - i
		if last < 0 || w.counts[candidate] <= promotionFactor*w.counts[named[last]] {
			return
		}
		w.named[named[last]].foldInto(w.other)
		delete(w.named, named[last])
		w.named[candidate] = newSeries()
	}
}

// ranked returns the names that pass keep, the most used first. Named
// workspaces whose use was forgotten come last.
func (w *workspaces) ranked(keep func(string) bool) []string {
	var names []string
	for name := range w.counts {
		if keep(name) {
			names = append(names, name)
		}
	}
	for name := range w.named {
		if _, counted := w.counts[name]; !counted && keep(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.counts[b], w.counts[a]), cmp.Compare(a, b))
	})
	return names
}
