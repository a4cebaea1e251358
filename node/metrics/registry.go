// Package metrics records durations, outcomes, counters and gauges of one instance and
// publishes them in expvar. Durations are recorded in HDR histograms by rank and by
// workspace, in microseconds, with an error of at most 1 %.
//
// A series holds four metrics of four histograms of 24 KiB each and so uses about
// 390 KiB (see BytesPerSeries). There is one series for each rank in use, one for each
// of the MaxWorkspaces most used workspaces, and one for all other workspaces.
package metrics

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"masticbank.example/core/execution"
)

const (
	// DefaultMaxWorkspaces is the default of Options.MaxWorkspaces.
	DefaultMaxWorkspaces = 50
	// maxRanks is the maximum number of ranks with their own series.
	maxRanks = 8
)

// ErrPublished means that the name is already in use in expvar.
var ErrPublished = errors.New("name is already published")

// Options configures a Registry.
type Options struct {
	// Ranks are the names of the ranks, starting with the most urgent one.
	Ranks []string
	// MaxWorkspaces is the maximum number of workspaces with their own series; 0 means
	// DefaultMaxWorkspaces.
	MaxWorkspaces int
}

// Registry holds the metrics of one instance. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	rankNames  []string
	ranks      [maxRanks]*series
	workspaces *workspaces
	values     values
}

// New returns an empty registry.
func New(o Options) *Registry {
	if o.MaxWorkspaces <= 0 {
		o.MaxWorkspaces = DefaultMaxWorkspaces
	}
	return &Registry{
		rankNames:  o.Ranks,
		workspaces: newWorkspaces(o.MaxWorkspaces),
		values:     newValues(),
	}
}

// SetRanks replaces the names of the ranks, starting with the most urgent one.
func (r *Registry) SetRanks(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rankNames = names
}

// RequestRecorder records the durations and the outcome of one request. It is safe for
// concurrent use.
type RequestRecorder struct {
	rank      *series
	workspace *series
}

// NewRequest returns a recorder for one request and counts a use of the workspace.
// Ranks from 7 on share one series.
func (r *Registry) NewRequest(rank int, workspace string) RequestRecorder {
	rank = min(max(rank, 0), maxRanks-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranks[rank] == nil {
		r.ranks[rank] = newSeries()
	}
	return RequestRecorder{rank: r.ranks[rank], workspace: r.workspaces.use(workspace)}
}

// Observe records a duration.
func (q RequestRecorder) Observe(m Metric, d time.Duration) {
	q.rank.observe(m, d)
	q.workspace.observe(m, d)
}

// Finish records the outcome of the request.
func (q RequestRecorder) Finish(o Outcome, status execution.Status) {
	q.rank.finish(o, status)
	q.workspace.finish(o, status)
}

// Rotate advances the window of all histograms by one slice and reassigns the series to
// the most used workspaces. Run calls it every slicePeriod.
func (r *Registry) Rotate() {
	for _, s := range r.rebalance() {
		s.rotate()
	}
}

// rebalance reassigns the series of workspaces and returns all series. Rotating these
// does not require the lock of the registry.
func (r *Registry) rebalance() []*series {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaces.rebalance()
	all := r.workspaces.all()
	for _, s := range r.ranks {
		if s != nil {
			all = append(all, s)
		}
	}
	return all
}

// Run calls Rotate periodically until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(slicePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Rotate()
		}
	}
}

// publishMu makes the check for the name and its publication atomic.
var publishMu sync.Mutex

// Publish publishes the snapshots of the registry in expvar under name. It returns
// ErrPublished if the name is already in use.
func (r *Registry) Publish(name string) error {
	publishMu.Lock()
	defer publishMu.Unlock()
	if expvar.Get(name) != nil {
		return ErrPublished
	}
	expvar.Publish(name, expvar.Func(func() any { return r.Snapshot() }))
	return nil
}
