package admission

import (
	"math"
	"time"
)

// demandPeriod is the time constant of the arrival rate of a rank or a flow.
const demandPeriod = 10 * time.Second

// rank holds the flows of one rank and the credit from its minimum share.
type rank struct {
	index    int
	minShare float64
	// credit is the cost in tokens by which the rank lags behind its minimum share. It
	// is negative if the rank was served in advance.
	credit float64
	// virtualTime is the largest start tag dispatched so far, the virtual time of
	// start-time fair queueing.
	virtualTime float64
	weight      float64 // sum over all its flows, including idle ones
	queued      int
	queuedCost  float64
	demand      demand

	byStart     tree
	byDrain     tree
	byLastStart tree
}

// nextFlow returns the flow to be served next, or nil if the rank has no request that
// may run.
func (r *rank) nextFlow() *flow {
	return r.byStart.min()
}

// reindex updates the tree positions of f. It must be called after any change to f or
// its workspace. The start tag of a flow that becomes eligible is at least the current
// virtual time.
func (r *rank) reindex(f *flow) {
	head := f.head()
	eligible := head != nil && !f.workspace.atInFlightLimit()
	if eligible && !f.byStart.linked {
		f.minStartTag = r.virtualTime
	}
	var start, drain float64
	var tie uint64
	if eligible {
		start, drain, tie = f.startTag(), f.drainTag(), head.seq
	}
	r.byStart.set(&f.byStart, eligible, start, tie)
	r.byDrain.set(&f.byDrain, eligible, drain, f.id)
	if f.last == nil {
		r.byLastStart.set(&f.byLastStart, false, 0, 0)
	} else {
		r.byLastStart.set(&f.byLastStart, true, f.lastStartTag(), f.last.seq)
	}
}

// clearIdleCredit discards the positive credit of a rank without a request that may
// run.
func (r *rank) clearIdleCredit() {
	if r.nextFlow() == nil {
		r.credit = min(r.credit, 0)
	}
}

// demand is an exponentially decayed arrival rate.
type demand struct {
	sum  float64 // tokens
	last time.Time
}

func (d *demand) add(now time.Time, cost float64) {
	d.sum = d.rate(now)*demandPeriod.Seconds() + cost
	d.last = now
}

// rate returns the arrival rate in tokens per second.
func (d *demand) rate(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	age := max(now.Sub(d.last).Seconds(), 0)
	return d.sum * math.Exp(-age/demandPeriod.Seconds()) / demandPeriod.Seconds()
}

// updateCredits records that cost tokens of rank served were dispatched. A negative
// cost reverses an earlier call. Each other rank gains credit in proportion to its
// minimum share, up to zero if none of its requests may run; served itself pays if the
// dispatch was made to fill its minimum share (guaranteed).
func (q *Queue) updateCredits(served *rank, cost float64, guaranteed bool) {
	for _, r := range q.ranks {
		switch {
		case r == served && guaranteed:
			r.credit -= (1 - r.minShare) * cost
		case r == served:
		case r.nextFlow() != nil:
			r.credit += r.minShare * cost
		default:
			r.credit = min(r.credit+r.minShare*max(cost, 0), 0)
		}
	}
}
