package pipeline

import "time"

const (
	// firstRejection keeps new paths off a part that rejected a request though it has
	// room: it leaves or gives up layers, which its entry shows within a read interval.
	firstRejection = 300 * time.Millisecond
	// mostDoublings bounds how often that time doubles while the part takes nothing: its
	// entry may be old while the store is away.
	mostDoublings = 2
	// toldLonger is how much longer other instances keep off a part at least, so that
	// the one that was rejected asks first, and toldSpread how far their times lie apart,
	// so that they do not ask at once if it has nothing to ask.
	toldLonger = 200 * time.Millisecond
	toldSpread = 400 * time.Millisecond
	// fullUse is the share of its KV cache from which on a part that rejects a request
	// is taken to be full: what is reserved is an estimate, and requests that wait for
	// room need it in one piece.
	fullUse = 0.7
)

// Full tells whether a part that rejects a request does so for want of memory.
func (s State) Full() bool { return s.Use() >= fullUse }

// Rejections holds the parts that rejected requests though they have room, and have
// taken none since. The load that it answers: several parts leave while the store does
// not answer, and each request that they reject costs a retry. It is not safe for
// concurrent use.
type Rejections struct {
	parts map[string]rejection
}

// rejection counts how often in a row a part rejected requests.
type rejection struct {
	count int
	last  time.Time
}

// NewRejections returns a Rejections without parts.
func NewRejections() *Rejections { return &Rejections{parts: map[string]rejection{}} }

// Add notes that a part rejected a request of this instance. It returns how often it
// did so in a row, and how long new paths are to keep off it.
func (r *Rejections) Add(now time.Time, id string) (count int, d time.Duration) {
	count = r.parts[id].count + 1
	d = firstRejection << min(count-1, mostDoublings)
	r.parts[id] = rejection{count: count, last: now}
	return count, d
}

// Told notes that a part rejected a request of another instance, for the count-th time
// in a row. It returns how long new paths are to keep off it. Random, 0 to 1, spreads
// the instances.
func (r *Rejections) Told(now time.Time, id string, count int, random float64) time.Duration {
	count = max(count, r.parts[id].count)
	d := firstRejection<<min(max(count, 1)-1, mostDoublings) + toldLonger
	d += time.Duration(random * float64(toldSpread))
	r.parts[id] = rejection{count: count, last: now}
	return d
}

// Took notes that a part runs a request that was sent to it at a time. One that was
// sent before the last rejection shows nothing: a part that leaves goes on with what it
// has.
func (r *Rejections) Took(id string, sent time.Time) {
	if r.parts[id].last.Before(sent) {
		delete(r.parts, id)
	}
}

// Forget drops a part that has restarted or holds other layers now.
func (r *Rejections) Forget(id string) { delete(r.parts, id) }
