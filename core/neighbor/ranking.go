package neighbor

import (
	"cmp"
	"slices"
)

// scored is an item with its rendezvous score. Equal scores are told apart by id.
type scored[T any] struct {
	item  T
	id    string
	score uint64
}

// before tells whether s ranks higher than other.
func (s scored[T]) before(other scored[T]) bool { return s.compare(other) < 0 }

func (s scored[T]) compare(other scored[T]) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.id, other.id))
}

// ranking holds items in the order of their scores, the highest first.
type ranking[T any] struct{ all []scored[T] }

// insert adds s and keeps the limit highest items.
func (r *ranking[T]) insert(s scored[T], limit int) {
	if len(r.all) >= limit && (limit <= 0 || !s.before(r.all[limit-1])) {
		return
	}
	at, _ := slices.BinarySearchFunc(r.all, s, scored[T].compare)
	r.all = slices.Insert(r.all, at, s)
	r.all = r.all[:min(limit, len(r.all))]
}

func (r *ranking[T]) items() []T {
	items := make([]T, len(r.all))
	for i, s := range r.all {
		items[i] = s.item
	}
	return items
}
