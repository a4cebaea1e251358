package roster

import "time"

// Feed puts the updates that this instance reads itself and those that another one
// passes on into one sequence without gaps. It is not safe for concurrent use.
type Feed struct {
	// next is the offset of the first update that is not known.
	next int64
	// known is false until the whole list was read.
	known bool
	// passedAt is when another instance last passed on all that there was.
	passedAt time.Time
}

// Start tells that the whole list was read, as of the offset next.
func (f *Feed) Start(next int64) {
	f.next = next
	f.known = true
}

// Lose tells that the whole list has to be read again.
func (f *Feed) Lose() { f.known = false }

// Next returns the offset to read from, and false if the whole list has to be read.
func (f *Feed) Next() (int64, bool) { return f.next, f.known }

// Read takes what this instance read, and returns what of it is new, to be passed on;
// false if it does not follow what is known. What others passed on while it was being read
// is left out, and so is its place: to an instance that does not have that, it is a gap.
func (f *Feed) Read(u Updates) (Updates, bool) {
	if !f.known || u.From > f.next {
		return Updates{}, false
	}
	from := f.next
	fresh := f.advance(u)
	return Updates{From: from, To: f.next, List: fresh}, true
}

// Passed takes what another instance read and passed on, and returns what of it is
// new. Updates after a gap, and those of a sender that is behind, count as nothing:
// this instance reads itself then.
func (f *Feed) Passed(now time.Time, u Updates) []Update {
	if !f.known || u.From > f.next || u.To < f.next {
		return nil
	}
	f.passedAt = now
	return f.advance(u)
}

func (f *Feed) advance(u Updates) []Update {
	var fresh []Update
	for _, one := range u.List {
		if one.Offset >= f.next {
			fresh = append(fresh, one)
		}
	}
	f.next = max(f.next, u.To)
	return fresh
}

// Due returns how long this instance may still leave reading to the other one, which
// is trusted for patience after it passed something on.
func (f *Feed) Due(now time.Time, patience time.Duration) time.Duration {
	if !f.known || f.passedAt.IsZero() {
		return 0
	}
	return max(0, patience-now.Sub(f.passedAt))
}
