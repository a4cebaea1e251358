package admission

import (
	"cmp"
	"slices"
	"time"

	"masticbank.example/core/config"
)

// Stats summarises a pool for digests and operators.
type Stats struct {
	Slots    int
	InFlight int
	Queued   int
	// Reserved is the number of slots kept for rank 0.
	Reserved int
	// Rate is the service rate in estimated tokens a second at the current
	// number of slots, 0 while unknown.
	Rate float64
	// Ranks has one entry for each rank, the most urgent first.
	Ranks []RankStats
	// Heaviest holds the workspaces with the largest waiting and running cost.
	Heaviest []WorkspaceStats
}

// RankStats summarises one rank.
type RankStats struct {
	Queued     int
	QueuedCost float64 // tokens
	// Credit is the cost in tokens by which the rank lags behind its minimum
	// share. It is negative after service in advance.
	Credit float64
}

// WorkspaceStats summarises one workspace.
type WorkspaceStats struct {
	Workspace    string
	Queued       int
	QueuedCost   float64 // tokens
	InFlight     int
	InFlightCost float64 // tokens
}

// Position is the place of a waiting request.
type Position struct {
	// Place is the place among the requests of the same workspace and rank,
	// from 1.
	Place int
	// CostAhead estimates the tokens that the pool dispatches before the
	// request, as far as they are queued now.
	CostAhead float64
	// Wait is the expected wait; it is valid if WaitKnown.
	Wait      time.Duration
	WaitKnown bool
}

// Stats summarises the pool with at most top workspaces. It takes time linear
// in the number of workspaces.
func (q *Queue) Stats(top int) Stats {
	s := Stats{
		Slots:    q.slots,
		InFlight: q.inFlight,
		Queued:   q.queued,
		Reserved: q.reserved(),
		Rate:     q.pace.perSlot() * float64(q.slots),
	}
	for _, r := range q.ranks {
		s.Ranks = append(s.Ranks, RankStats{Queued: r.queued, QueuedCost: r.queuedCost, Credit: r.credit})
	}
	for _, w := range q.workspaces {
		if w.queued == 0 && w.inFlight == 0 {
			continue
		}
		s.Heaviest = append(s.Heaviest, WorkspaceStats{
			Workspace: w.name,
			Queued:    w.queued, QueuedCost: w.queuedCost,
			InFlight: w.inFlight, InFlightCost: w.inFlightCost,
		})
	}
	s.Heaviest = heaviest(s.Heaviest, top)
	return s
}

// heaviest returns the top workspaces by cost, ties by name.
func heaviest(all []WorkspaceStats, top int) []WorkspaceStats {
	slices.SortFunc(all, func(a, b WorkspaceStats) int {
		byCost := cmp.Compare(b.QueuedCost+b.InFlightCost, a.QueuedCost+a.InFlightCost)
		return cmp.Or(byCost, cmp.Compare(a.Workspace, b.Workspace))
	})
	return all[:min(max(top, 0), len(all))]
}

// Position tells where a waiting request stands. It takes time linear in the
// requests of the same workspace and rank.
func (q *Queue) Position(now time.Time, id string) (Position, bool) {
	r, ok := q.requests[id]
	if !ok || r.running {
		return Position{}, false
	}
	place, before := r.flow.before(r)
	ahead := r.flow.lead(now, before).cost
	wait, known := q.wait(now, r.flow, before)
	for _, o := range q.ranks[:r.flow.rank.index] {
		ahead += o.queuedCost
	}
	return Position{Place: place + 1, CostAhead: ahead, Wait: duration(wait), WaitKnown: known}, true
}

// Load is the work of one workspace in one rank.
type Load struct {
	Workspace  string
	Rank       config.Rank
	Weight     float64
	Queued     int
	QueuedCost float64 // tokens
	InFlight   int
}

// Loads returns the work of each workspace and rank that has some, in no order.
// It takes time linear in the number of workspaces.
func (q *Queue) Loads() []Load {
	var out []Load
	for _, w := range q.workspaces {
		for rank, f := range w.flows {
			if f == nil || f.queued+f.inFlight == 0 {
				continue
			}
			out = append(out, Load{
				Workspace: w.name, Rank: config.Rank(rank), Weight: w.policy.Weight,
				Queued: f.queued, QueuedCost: f.queuedCost, InFlight: f.inFlight,
			})
		}
	}
	return out
}
