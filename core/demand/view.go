package demand

import (
	"cmp"
	"slices"
	"time"
)

// MaxViewDigests is the maximum number of digests that a View holds.
const MaxViewDigests = 1024

// View holds the latest digest of each instance. It is not safe for concurrent use.
type View struct {
	staleAfter time.Duration
	digests    map[string]receivedDigest
}

// receivedDigest is a digest with the time of its measurement.
type receivedDigest struct {
	digest Digest
	// measuredAt is the time at which the demand was measured, by this instance's clock.
	measuredAt time.Time
}

// NewView returns an empty View. Digests are stale once they are staleAfter old.
func NewView(staleAfter time.Duration) *View {
	return &View{staleAfter: staleAfter, digests: map[string]receivedDigest{}}
}

// Observe records a digest that had the given age when it arrived. It returns false and changes
// nothing if it has a digest of the same instance that is not older, or if the view is full.
func (v *View) Observe(now time.Time, age time.Duration, digest Digest) bool {
	known, ok := v.digests[digest.Instance]
	if ok && !newer(&digest, &known.digest) {
		return false
	}
	if !ok && len(v.digests) >= MaxViewDigests {
		return false
	}
	v.digests[digest.Instance] = receivedDigest{digest: digest, measuredAt: now.Add(-max(age, 0))}
	return true
}

// Delete deletes the digest of an instance that has left.
func (v *View) Delete(instance string) { delete(v.digests, instance) }

// Fresh returns the digests that are not stale at now, sorted by instance ID, and deletes the
// others.
func (v *View) Fresh(now time.Time) []Digest {
	fresh := make([]Digest, 0, len(v.digests))
	for id, received := range v.digests {
		if now.Sub(received.measuredAt) >= v.staleAfter {
			delete(v.digests, id)
			continue
		}
		fresh = append(fresh, received.digest)
	}
	slices.SortFunc(fresh, func(a, b Digest) int { return cmp.Compare(a.Instance, b.Instance) })
	return fresh
}

// Age returns the age of an instance's digest at now, or false if there is none.
func (v *View) Age(now time.Time, instance string) (time.Duration, bool) {
	received, ok := v.digests[instance]
	return now.Sub(received.measuredAt), ok
}
