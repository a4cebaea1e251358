// Package waitlist orders the requests that wait for room on the replicas of a
// model: urgent ranks first, within a rank those that were refused before, then
// by arrival. It bounds how long and how many may wait.
package waitlist

import (
	"sort"
	"time"
)

// Item is a waiting request.
type Item struct {
	// Rank is 0 for the most urgent.
	Rank int
	// Returned requests were refused before and came back as they were told.
	Returned bool
	Arrival  time.Time
	// GiveUp is when it is refused if it still waits.
	GiveUp time.Time

	order uint64
}

// List is not safe for concurrent use.
type List struct {
	items []*Item
	count uint64
}

// Add puts an item into the list.
func (l *List) Add(it *Item) {
	l.count++
	it.order = l.count
	at := sort.Search(len(l.items), func(i int) bool { return it.before(l.items[i]) })
	l.items = append(l.items, nil)
	copy(l.items[at+1:], l.items[at:])
	l.items[at] = it
}

func (it *Item) before(other *Item) bool {
	switch {
	case it.Rank != other.Rank:
		return it.Rank < other.Rank
	case it.Returned != other.Returned:
		return it.Returned
	default:
		return it.order < other.order
	}
}

// Remove takes an item out; it returns false if it is not in the list.
func (l *List) Remove(it *Item) bool {
	for i, other := range l.items {
		if other == it {
			l.items = append(l.items[:i], l.items[i+1:]...)
			return true
		}
	}
	return false
}

// At returns the item with n items before it, or nil.
func (l *List) At(n int) *Item {
	if n >= len(l.items) {
		return nil
	}
	return l.items[n]
}

// Len returns the number of items.
func (l *List) Len() int { return len(l.items) }

// Expired takes out the items whose time to give up has come.
func (l *List) Expired(now time.Time) []*Item {
	var out []*Item
	kept := l.items[:0]
	for _, it := range l.items {
		if now.Before(it.GiveUp) {
			kept = append(kept, it)
			continue
		}
		out = append(out, it)
	}
	clear(l.items[len(kept):])
	l.items = kept
	return out
}
