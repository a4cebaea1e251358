// Package waitlist orders the requests that wait for free capacity on the replicas of a
// model: those that have run first, then those that can still be in time, then the rest;
// each of these by rank, the most urgent first; within a rank, requests that were refused
// before and retried come first, the rest in order of arrival. It also bounds how long
// they may wait, and tells which of those that are late will not be reached before that.
package waitlist

import (
	"sort"
	"time"
)

// Item is a waiting request.
type Item struct {
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// Retried marks a request that was refused before and was retried at the suggested
	// time.
	Retried bool
	Arrival time.Time
	// TimelyUntil is the last time at which the request can be granted capacity and be in
	// time. A request without an objective has none: it waits behind those that have one.
	TimelyUntil time.Time
	// Begun marks a request that has run. It goes before all others.
	Begun bool
	// RefuseAt is when the request is refused if it still waits.
	RefuseAt time.Time

	sequence uint64
	// late is true for a request that waits behind those that can be in time.
	late bool
}

// Late reports whether the request had a time to be in and the list has found that it cannot be any more.
func (it *Item) Late() bool { return it.late && !it.TimelyUntil.IsZero() }

// List is an ordered list of waiting requests. It is not safe for concurrent use.
type List struct {
	items        []*Item
	lastSequence uint64
	// backlogSince is since when requests have been waiting, granted how many have got capacity
	// since then.
	backlogSince time.Time
	granted      int
}

// Add inserts an item.
func (l *List) Add(it *Item) {
	if len(l.items) == 0 {
		l.backlogSince, l.granted = time.Time{}, 0
	}
	l.lastSequence++
	it.sequence = l.lastSequence
	it.late = it.TimelyUntil.IsZero() && !it.Begun
	l.insert(it)
}

func (l *List) insert(it *Item) {
	at := sort.Search(len(l.items), func(i int) bool { return it.before(l.items[i]) })
	l.items = append(l.items, nil)
	copy(l.items[at+1:], l.items[at:])
	l.items[at] = it
}

func (it *Item) before(other *Item) bool {
	switch {
	case it.Begun != other.Begun:
		return it.Begun
	case it.late != other.late:
		return other.late
	case it.Rank != other.Rank:
		return it.Rank < other.Rank
	case it.Retried != other.Retried:
		return it.Retried
	default:
		return it.sequence < other.sequence
	}
}

// Remove removes an item. It returns false if the item is not in the list.
func (l *List) Remove(it *Item) bool {
	for i, other := range l.items {
		if other == it {
			l.items = append(l.items[:i], l.items[i+1:]...)
			return true
		}
	}
	return false
}

// At returns the item at index n, or nil if there is none.
func (l *List) At(n int) *Item {
	if n >= len(l.items) {
		return nil
	}
	return l.items[n]
}

// Len returns the number of items.
func (l *List) Len() int { return len(l.items) }

// RemoveExpired removes and returns the items that have reached their time of refusal.
func (l *List) RemoveExpired(now time.Time) []*Item {
	var out []*Item
	kept := l.items[:0]
	for _, it := range l.items {
		if now.Before(it.RefuseAt) {
			kept = append(kept, it)
			continue
		}
		out = append(out, it)
	}
	clear(l.items[len(kept):])
	l.items = kept
	return out
}
