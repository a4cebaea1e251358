// Package instances is a small stand-in for the platform's list of instances,
// which lags behind the truth.
package instances

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"masticbank.example/node/wire"
)

// List is the platform's list. It is an http.Handler, safe for concurrent use.
type List struct {
	lag time.Duration
	now func() time.Time

	mu       sync.Mutex
	versions []version
	down     bool
}

// version is the list as it was from a time on.
type version struct {
	at        time.Time
	instances []wire.Instance
}

// New returns a list that shows changes after lag; the initial entries show at
// once.
func New(lag time.Duration, initial ...wire.Instance) *List {
	return &List{
		lag:      lag,
		now:      time.Now,
		versions: []version{{instances: slices.Clone(initial)}},
	}
}

// Reset replaces the whole list; the new one shows at once.
func (l *List) Reset(list []wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = []version{{instances: slices.Clone(list)}}
}

// Add adds an instance or replaces the one with its ID.
func (l *List) Add(instance wire.Instance) {
	l.change(func(list []wire.Instance) []wire.Instance {
		return append(without(list, instance.ID), instance)
	})
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.change(func(list []wire.Instance) []wire.Instance { return without(list, id) })
}

// SetLeaving marks an instance as leaving or not.
func (l *List) SetLeaving(id string, leaving bool) {
	l.change(func(list []wire.Instance) []wire.Instance {
		for i := range list {
			if list[i].ID == id {
				list[i].Leaving = leaving
			}
		}
		return list
	})
}

// SetDown makes the list answer 503, or answer again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Visible returns the list as callers see it now.
func (l *List) Visible() []wire.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	return slices.Clone(l.versions[0].instances)
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

func (l *List) change(edit func([]wire.Instance) []wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	newest := l.versions[len(l.versions)-1].instances
	edited := edit(slices.Clone(newest))
	l.versions = append(l.versions, version{at: l.now(), instances: edited})
}

// prune drops the versions before the one that is visible.
func (l *List) prune() {
	visible := l.now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(visible) {
		l.versions = l.versions[1:]
	}
}

func without(list []wire.Instance, id string) []wire.Instance {
	return slices.DeleteFunc(list, func(i wire.Instance) bool { return i.ID == id })
}
