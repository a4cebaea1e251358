package admission

import (
	"cmp"
	"slices"
	"time"

	"masticbank.example/core/config"
)

// Stats summarizes a pool for digests and operators.
type Stats struct {
	Slots    int
	InFlight int
	Queued   int
	// Reserved is the number of slots reserved for rank 0.
	Reserved int
	// Rate is the service rate in estimated tokens per second with the current number
	// of slots, 0 while unknown.
	Rate float64
	// Ranks has one entry for each rank, the most urgent first.
	Ranks []RankStats
	// Heaviest holds the workspaces with the largest waiting and running cost.
	Heaviest []WorkspaceStats
}

// RankStats summarizes one rank.
type RankStats struct {
	Queued     int
	QueuedCost float64 // tokens
	// Credit is the cost in tokens by which the rank lags behind its minimum share. It
	// is negative if the rank was served in advance.
	Credit float64
}

// WorkspaceStats summarizes one workspace.
type WorkspaceStats struct {
	Workspace    string
	Queued       int
	QueuedCost   float64 // tokens
	InFlight     int
	InFlightCost float64 // tokens
}

// Position describes the position of a waiting request.
type Position struct {
	// Place is the position among the requests of the same workspace and rank, starting
	// at 1. FIFO counts all waiting requests.
	Place int
	// CostAhead estimates the tokens that the pool dispatches before the request,
	// counting only work that is queued now.
	CostAhead float64
	// Wait is the expected wait. It is valid if WaitKnown is true.
	Wait      time.Duration
	WaitKnown bool
}

// Stats summarizes the pool, with at most top workspaces. It takes time linear in the
// number of workspaces.
func (q *Queue) Stats(top int) Stats {
	s := Stats{
		Slots:    q.slots,
		InFlight: q.inFlight,
		Queued:   q.queued,
		Reserved: q.reserved(),
		Rate:     q.rate.perSlot() * float64(q.slots),
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

// heaviest returns the top workspaces by cost, ties ordered by name.
func heaviest(all []WorkspaceStats, top int) []WorkspaceStats {
	slices.SortFunc(all, func(a, b WorkspaceStats) int {
		byCost := cmp.Compare(b.QueuedCost+b.InFlightCost, a.QueuedCost+a.InFlightCost)
		return cmp.Or(byCost, cmp.Compare(a.Workspace, b.Workspace))
	})
	return all[:min(max(top, 0), len(all))]
}

// Position returns the position of a waiting request. It takes time linear in the
// number of requests of the same workspace and rank.
func (q *Queue) Position(now time.Time, id string) (Position, bool) {
	r, ok := q.requests[id]
	if !ok || r.running {
		return Position{}, false
	}
	place, costAhead := r.flow.ahead(r)
	ahead := r.flow.workAhead(now, costAhead).cost
	wait, known := q.expectedWait(now, r.flow, costAhead)
	for _, o := range q.ranks[:r.flow.rank.index] {
		ahead += o.queuedCost
	}
	return Position{Place: place + 1, CostAhead: ahead, Wait: secondsToDuration(wait), WaitKnown: known}, true
}

// Load is the waiting and running work of one workspace in one rank.
type Load struct {
	Workspace  string
	Rank       config.Rank
	Weight     float64
	Queued     int
	QueuedCost float64 // tokens
	InFlight   int
}

// Loads returns the work by workspace and rank in no particular order, without empty
// entries. It takes time linear in the number of workspaces.
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
