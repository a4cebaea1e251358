// Package era tells the histories of a store apart that replace each other. A store that is restored
// from an older copy begins a new era: its offsets, its generations and what it has acknowledged
// since the copy belong to the era before. The package performs no I/O and has no clock.
package era

// Unknown is the era of an answer that names none. Such an answer belongs to the current era.
const Unknown = -1

// Max is the highest era that counts. Up to it the part of the era in a token is at most 2^52, which every
// JSON decoder keeps exact.
const Max = 1 << 32

// Position is a place in the history of an era.
type Position struct{ Era, Offset int64 }

// Tracker follows the eras that a store names in its answers. The zero value has seen no answer. It
// is not safe for concurrent use.
type Tracker struct {
	current int64
	// seen is false until the first answer. A process cannot tell a first era from a later one.
	seen bool
}

// Current returns the newest era that was named, 0 if none was.
func (t *Tracker) Current() int64 { return t.current }

// Observe records the era of an answer and reports whether a new one has begun, so that whatever was
// read before belongs to a history that has been replaced.
func (t *Tracker) Observe(answer int64) (risen bool) {
	risen = t.seen && answer > t.current
	t.seen = true
	t.current = max(t.current, answer)
	return risen
}

// Resolve returns the era that an answer belongs to, and false if that era is over: the answer was
// under way while the store was restored.
func (t *Tracker) Resolve(answer int64) (int64, bool) {
	if answer == Unknown {
		return t.current, true
	}
	return answer, answer >= t.current
}

// MaxLostGenerations is the number of generations that a restored store may have lost. A copy is some
// seconds old, and a group changes a few hundred times a second when all of its members start at once.
// The number is no larger so that tokens of small eras and generations take 32 bits.
const MaxLostGenerations = 1<<20 - 1

// Token returns the fencing token of a generation of a group. Within an era tokens grow with the
// generation. Generations fall back with the store, and a token of a later era is still higher than
// all of the earlier ones. Without an era it is the generation.
func Token(era, generation int64) int64 { return era*(MaxLostGenerations+1) + generation }
