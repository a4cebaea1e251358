// Package readers chooses the few instances that read from a shared source for all. Each
// instance decides for itself, from the instances that it is connected to: in a group that
// is cut off from the rest, some read as well. It has no I/O and no clock.
package readers

import "github.com/cespare/xxhash/v2"

// Among tells whether self is one of the count instances with the highest weights (by a
// hash of the name) among itself and the others. The chance is the same for each name.
func Among(self string, others []string, count int) bool {
	before := 0
	for _, o := range others {
		if above(o, self) {
			before++
		}
	}
	return before < count
}

// First returns the one with the highest weight, or "" of none.
func First(names []string) string {
	first := ""
	for i, name := range names {
		if i == 0 || above(name, first) {
			first = name
		}
	}
	return first
}

// above tells whether a has a higher weight than b.
func above(a, b string) bool {
	wa, wb := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return wa > wb || (wa == wb && a > b)
}
