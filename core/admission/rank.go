package admission

import (
	"math"
	"time"
)

// demandPeriod is the time constant of a rank's arrival rate.
const demandPeriod = 10 * time.Second

// rank holds the flows of one rank and what the rank is owed.
type rank struct {
	index    int
	minShare float64
	// credit is the cost in tokens by which the rank lags behind its minimum
	// share; a negative value was served in advance.
	credit float64
	// vtime is the virtual time: the largest start tag dispatched so far.
	vtime      float64
	weight     float64 // of all its flows, idle ones too
	queued     int
	queuedCost float64
	demand     demand

	byStart  tree
	byTail   tree
	byVictim tree
}

// ready returns the flow to be served next, or nil if the rank has no work
// that may run.
func (r *rank) ready() *flow {
	return r.byStart.min()
}

// place updates the places of f after any change to f or its workspace. A flow
// that becomes eligible starts at the current virtual time.
func (r *rank) place(f *flow) {
	head := f.head()
	eligible := head != nil && !f.workspace.held()
	if eligible && !f.byStart.linked {
		f.floor = r.vtime
	}
	var start, tail float64
	var tie uint64
	if eligible {
		start, tail, tie = f.start(), f.tail(), head.seq
	}
	r.byStart.set(&f.byStart, eligible, start, tie)
	r.byTail.set(&f.byTail, eligible, tail, f.id)
	if f.last == nil {
		r.byVictim.set(&f.byVictim, false, 0, 0)
	} else {
		r.byVictim.set(&f.byVictim, true, f.lastStart(), f.last.seq)
	}
}

// expireCredit takes the credit of a rank without work that may run.
func (r *rank) expireCredit() {
	if r.ready() == nil {
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

// rate returns tokens a second.
func (d *demand) rate(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	age := max(now.Sub(d.last).Seconds(), 0)
	return d.sum * math.Exp(-age/demandPeriod.Seconds()) / demandPeriod.Seconds()
}

// account records that cost tokens of rank served were dispatched. A negative
// cost takes back an earlier call. Each other rank with a minimum share gains
// credit; the rank itself pays if the dispatch used its minimum share.
func (q *Queue) account(served *rank, cost float64, guaranteed bool) {
	for _, r := range q.ranks {
		switch {
		case r == served && guaranteed:
			r.credit -= (1 - r.minShare) * cost
		case r == served:
		case r.ready() != nil:
			r.credit += r.minShare * cost
		default:
			r.credit = min(r.credit+r.minShare*max(cost, 0), 0)
		}
	}
}
