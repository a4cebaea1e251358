package admission

import (
	"math"
	"time"
)

const (
	// urgentLoadPeriod is the time constant of the average load of rank 0.
	urgentLoadPeriod = 30 * time.Second
	// reserveDeviations is the number of standard deviations above the average load
	// that the reserve covers, by square-root staffing (Halfin and Whitt, 1981).
	reserveDeviations = 2
)

// urgentLoad is the exponentially weighted average number of requests of rank 0 that
// wait or run.
type urgentLoad struct {
	// sum is the weighted sum of the counts and weight the sum of the weights, which
	// stays below 1 until several time constants have passed.
	sum    float64
	weight float64
	last   time.Time
}

// mean returns the average over the time observed so far.
func (l *urgentLoad) mean() float64 {
	if l.weight == 0 {
		return 0
	}
	return l.sum / l.weight
}

// observe records that count requests were present since the last call.
func (l *urgentLoad) observe(now time.Time, count int) {
	if !l.last.IsZero() && now.After(l.last) {
		keep := math.Exp(-now.Sub(l.last).Seconds() / urgentLoadPeriod.Seconds())
		l.sum = l.sum*keep + float64(count)*(1-keep)
		l.weight = l.weight*keep + (1 - keep)
	}
	if now.After(l.last) {
		l.last = now
	}
}

// reserved returns the number of slots that only rank 0, or a rank whose credit covers
// its whole next request, may use: enough for the recent load of rank 0, at most the
// configured fraction of the slots.
func (q *Queue) reserved() int {
	maxReserved := math.Floor(q.cfg.UrgentReserve * float64(q.slots))
	mean := q.urgentLoad.mean()
	needed := math.Round(mean + reserveDeviations*math.Sqrt(mean))
	return int(max(min(maxReserved, needed, float64(q.slots-1)), 0))
}
