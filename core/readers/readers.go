// Package readers chooses the few instances that read from a shared source for all. Each
// instance decides for itself, from the instances that it is connected to: in a group that
// is cut off from the rest, some read as well. It has no I/O and no clock.
package readers

import "github.com/cespare/xxhash/v2"

// Among tells whether self is one of the count instances with the highest weights (by a
// hash of the name) among itself and the others. The chance is the same for each name.
func Among(self string, others []string, count int) bool {
	own := xxhash.Sum64String(self)
	before := 0
	for _, o := range others {
		w := xxhash.Sum64String(o)
		if w > own || (w == own && o > self) {
			before++
		}
	}
	return before < count
}
