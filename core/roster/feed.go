package roster

import (
	"time"

	"masticbank.example/core/era"
)

// Feed merges the updates that this instance reads and those that another instance forwards
// into one sequence without gaps. It is not safe for concurrent use.
type Feed struct {
	// next is the position of the first update that was not applied.
	next era.Position
	// initialized is false until the whole list has been read.
	initialized bool
	// forwardedAt is when another instance last forwarded a complete set of updates.
	forwardedAt time.Time
}

// Reset records that the whole list was read, as of the position next.
func (f *Feed) Reset(next era.Position) {
	f.next = next
	f.initialized = true
}

// Invalidate records that the whole list must be read again.
func (f *Feed) Invalidate() { f.initialized = false }

// Next returns the position to read from, and false if the whole list must be read.
func (f *Feed) Next() (era.Position, bool) { return f.next, f.initialized }

// ApplyRead records updates that this instance read and returns the new ones, to be
// forwarded. It returns false if there is a gap between the updates and the last known
// offset, or if they are of another era. Updates that another instance forwarded during the read are left out, and the
// returned range starts after them: an instance that lacks them must recognize the gap.
func (f *Feed) ApplyRead(u Updates) (Updates, bool) {
	if !f.initialized || u.Era != f.next.Era || u.From > f.next.Offset {
		return Updates{}, false
	}
	from := f.next.Offset
	added := f.advance(u)
	return Updates{Era: u.Era, From: from, To: f.next.Offset, List: added}, true
}

// ApplyForwarded records updates that another instance read and forwarded, and returns the
// new ones. Updates after a gap, those of a sender that is behind and those of another era are
// ignored, and it returns false: this instance then reads by itself.
func (f *Feed) ApplyForwarded(now time.Time, u Updates) ([]Update, bool) {
	if !f.initialized || u.Era != f.next.Era || u.From > f.next.Offset || u.To < f.next.Offset {
		return nil, false
	}
	f.forwardedAt = now
	return f.advance(u), true
}

func (f *Feed) advance(u Updates) []Update {
	var added []Update
	for _, one := range u.List {
		if one.Offset >= f.next.Offset {
			added = append(added, one)
		}
	}
	f.next.Offset = max(f.next.Offset, u.To)
	return added
}

// ReadDelay returns how long this instance may still rely on the forwarding instance before
// it must read by itself: until timeout has passed since updates, or an empty set of them,
// were last forwarded.
func (f *Feed) ReadDelay(now time.Time, timeout time.Duration) time.Duration {
	if !f.initialized || f.forwardedAt.IsZero() {
		return 0
	}
	return max(0, timeout-now.Sub(f.forwardedAt))
}
