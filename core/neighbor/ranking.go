package neighbor

import (
	"cmp"
	"slices"
)

// scored is an item with its rendezvous score. Equal scores are ordered by id.
type scored[T any] struct {
	item  T
	id    string
	score uint64
}

// before reports whether s ranks higher than other.
func (s scored[T]) before(other scored[T]) bool { return s.compare(other) < 0 }

func (s scored[T]) compare(other scored[T]) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.id, other.id))
}

// ranking holds items in descending order of score.
type ranking[T any] struct{ entries []scored[T] }

// insert adds s and keeps only the limit highest items.
func (r *ranking[T]) insert(s scored[T], limit int) {
	if len(r.entries) >= limit && (limit <= 0 || !s.before(r.entries[limit-1])) {
		return
	}
	at, _ := slices.BinarySearchFunc(r.entries, s, scored[T].compare)
	r.entries = slices.Insert(r.entries, at, s)
	r.entries = r.entries[:min(limit, len(r.entries))]
}

func (r *ranking[T]) items() []T {
	items := make([]T, len(r.entries))
	for i, s := range r.entries {
		items[i] = s.item
	}
	return items
}
