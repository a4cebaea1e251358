// Package instances is a small stand-in for the platform's instance list, which shows
// changes with a delay.
package instances

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"masticbank.example/node/wire"
)

// List is the instance list. It is an http.Handler and safe for concurrent use.
type List struct {
	lag time.Duration
	now func() time.Time

	mu        sync.Mutex
	snapshots []snapshot
	down      bool
}

// snapshot is the content of the list from the given time until the next snapshot.
type snapshot struct {
	at        time.Time
	instances []wire.Instance
}

// New returns a list that shows changes after the given lag. The initial entries are
// visible immediately.
func New(lag time.Duration, initial ...wire.Instance) *List {
	return &List{
		lag:       lag,
		now:       time.Now,
		snapshots: []snapshot{{instances: slices.Clone(initial)}},
	}
}

// Reset replaces the whole list. The new one is visible immediately.
func (l *List) Reset(list []wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = []snapshot{{instances: slices.Clone(list)}}
}

// Add adds an instance, or replaces the one with the same ID.
func (l *List) Add(instance wire.Instance) {
	l.update(func(list []wire.Instance) []wire.Instance {
		return append(without(list, instance.ID), instance)
	})
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.update(func(list []wire.Instance) []wire.Instance { return without(list, id) })
}

// SetLeaving sets whether an instance is marked as leaving.
func (l *List) SetLeaving(id string, leaving bool) {
	l.update(func(list []wire.Instance) []wire.Instance {
		for i := range list {
			if list[i].ID == id {
				list[i].Leaving = leaving
			}
		}
		return list
	})
}

// SetDown sets whether the list is unavailable and responds with status 503.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Visible returns the list as clients see it now.
func (l *List) Visible() []wire.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	return slices.Clone(l.snapshots[0].instances)
}

// ServeHTTP serves wire.PathInstances.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathInstances {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.InstanceList{Instances: l.Visible()})
}

// update appends a snapshot with the edited list.
func (l *List) update(edit func([]wire.Instance) []wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	newest := l.snapshots[len(l.snapshots)-1].instances
	edited := edit(slices.Clone(newest))
	l.snapshots = append(l.snapshots, snapshot{at: l.now(), instances: edited})
}

// prune discards the snapshots before the one that is visible now.
func (l *List) prune() {
	visible := l.now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].at.After(visible) {
		l.snapshots = l.snapshots[1:]
	}
}

func without(list []wire.Instance, id string) []wire.Instance {
	return slices.DeleteFunc(list, func(i wire.Instance) bool { return i.ID == id })
}
