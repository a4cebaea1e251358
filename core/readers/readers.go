// Package readers selects the designated readers: the few instances that read from a shared
// source on behalf of all. Each instance decides by itself from the instances that it is
// connected to, so that both sides of a network partition have readers. The package
// performs no I/O and has no clock.
package readers

import "github.com/cespare/xxhash/v2"

// IsDesignated reports whether self is one of the count instances with the highest weights
// among itself and the others. The weight is a hash of the name, so that each name is
// equally likely to be selected.
func IsDesignated(self string, others []string, count int) bool {
	higher := 0
	for _, o := range others {
		if outranks(o, self) {
			higher++
		}
	}
	return higher < count
}

// Highest returns the name with the highest weight, or "" if there are no names.
func Highest(names []string) string {
	highest := ""
	for i, name := range names {
		if i == 0 || outranks(name, highest) {
			highest = name
		}
	}
	return highest
}

// outranks reports whether a has a higher weight than b. Equal weights are ordered by name.
func outranks(a, b string) bool {
	wa, wb := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return wa > wb || (wa == wb && a > b)
}
