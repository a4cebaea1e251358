package demand

import (
	"cmp"
	"slices"
	"time"
)

// MaxViewDigests bounds the digests that a View holds.
const MaxViewDigests = 1024

// View holds the latest digest of each peer. It is not safe for concurrent use.
type View struct {
	staleAfter time.Duration
	heard      map[string]heardDigest
}

type heardDigest struct {
	digest Digest
	// measuredAt is when the figures were taken, on this instance's clock.
	measuredAt time.Time
}

// NewView returns an empty view whose digests count until they are staleAfter
// old.
func NewView(staleAfter time.Duration) *View {
	return &View{staleAfter: staleAfter, heard: map[string]heardDigest{}}
}

// Observe takes a digest that was age old when it came. It returns false and
// changes nothing if a newer one of the same instance is held, or if the view is
// full.
func (v *View) Observe(now time.Time, age time.Duration, digest Digest) bool {
	known, ok := v.heard[digest.Instance]
	if ok && !newer(&digest, &known.digest) {
		return false
	}
	if !ok && len(v.heard) >= MaxViewDigests {
		return false
	}
	v.heard[digest.Instance] = heardDigest{digest: digest, measuredAt: now.Add(-max(age, 0))}
	return true
}

// Forget drops the digest of an instance that is gone.
func (v *View) Forget(instance string) { delete(v.heard, instance) }

// Fresh returns the digests that are not stale at now, in the order of instance
// IDs, and drops the others.
func (v *View) Fresh(now time.Time) []Digest {
	fresh := make([]Digest, 0, len(v.heard))
	for id, h := range v.heard {
		if now.Sub(h.measuredAt) >= v.staleAfter {
			delete(v.heard, id)
			continue
		}
		fresh = append(fresh, h.digest)
	}
	slices.SortFunc(fresh, func(a, b Digest) int { return cmp.Compare(a.Instance, b.Instance) })
	return fresh
}

// Age returns how old the digest of instance is at now, false if there is none.
func (v *View) Age(now time.Time, instance string) (time.Duration, bool) {
	h, ok := v.heard[instance]
	return now.Sub(h.measuredAt), ok
}
