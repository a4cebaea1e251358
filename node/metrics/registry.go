// Package metrics records times, outcomes, counters and gauges of one instance
// and shows them through expvar. Times are kept in HDR histograms by rank and
// by workspace, in microseconds, with an error of at most 1 %.
//
// Memory: one series holds four metrics of four histograms of 24 KiB each,
// about 390 KiB (see BytesPerSeries). There is one for each rank in use, one
// for each of the MaxWorkspaces most used workspaces and one for the rest.
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
	// DefaultMaxWorkspaces is the number of workspaces with series of their own.
	DefaultMaxWorkspaces = 50
	// maxRanks bounds the ranks with series of their own.
	maxRanks = 8
)

// ErrPublished reports that the name is taken in expvar.
var ErrPublished = errors.New("name is published already")

// Options configures a Registry.
type Options struct {
	// Ranks are the names of the ranks, the most urgent first.
	Ranks []string
	// MaxWorkspaces bounds the workspaces with series of their own; 0 means
	// DefaultMaxWorkspaces.
	MaxWorkspaces int
}

// Registry holds the metrics of one instance. Safe for concurrent use.
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

// SetRanks replaces the names of the ranks, the most urgent first.
func (r *Registry) SetRanks(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rankNames = names
}

// Request records the times and the outcome of one request. Safe for
// concurrent use.
type Request struct {
	rank      *series
	workspace *series
}

// Request counts one use of the workspace and returns the recorder for one
// request. Ranks above the seventh share one series.
func (r *Registry) Request(rank int, workspace string) Request {
	rank = min(max(rank, 0), maxRanks-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranks[rank] == nil {
		r.ranks[rank] = newSeries()
	}
	return Request{rank: r.ranks[rank], workspace: r.workspaces.use(workspace)}
}

// Observe records a time.
func (q Request) Observe(m Metric, d time.Duration) {
	q.rank.observe(m, d)
	q.workspace.observe(m, d)
}

// Finish counts the end of the request.
func (q Request) Finish(o Outcome, status execution.Status) {
	q.rank.finish(o, status)
	q.workspace.finish(o, status)
}

// Rotate moves the window of every histogram on by one slice and gives series
// to the workspaces that are used most. Run calls it.
func (r *Registry) Rotate() {
	for _, s := range r.review() {
		s.rotate()
	}
}

// review returns the series to rotate, which need no lock of the registry.
func (r *Registry) review() []*series {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaces.review()
	all := r.workspaces.all()
	for _, s := range r.ranks {
		if s != nil {
			all = append(all, s)
		}
	}
	return all
}

// Run rotates the windows until ctx ends.
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

var publishing sync.Mutex

// Publish shows the registry in expvar under name, or returns ErrPublished.
func (r *Registry) Publish(name string) error {
	publishing.Lock()
	defer publishing.Unlock()
	if expvar.Get(name) != nil {
		return ErrPublished
	}
	expvar.Publish(name, expvar.Func(func() any { return r.Snapshot() }))
	return nil
}
