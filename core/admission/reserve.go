package admission

import (
	"math"
	"time"
)

const (
	// loadPeriod is the time constant of the urgent rank's average load.
	loadPeriod = 30 * time.Second
	// reserveDeviations is the number of standard deviations above the average
	// load that the reserve covers, by square-root staffing (Halfin and Whitt,
	// 1981).
	reserveDeviations = 2
)

// load is the exponentially weighted average number of urgent requests that
// run or wait.
type load struct {
	// sum is the weighted sum and weight the sum of the weights, below 1 until
	// several time constants have passed.
	sum    float64
	weight float64
	last   time.Time
}

// mean returns the average over the time observed so far.
func (l *load) mean() float64 {
	if l.weight == 0 {
		return 0
	}
	return l.sum / l.weight
}

// observe records that count requests were present since the last call.
func (l *load) observe(now time.Time, count int) {
	if !l.last.IsZero() && now.After(l.last) {
		keep := math.Exp(-now.Sub(l.last).Seconds() / loadPeriod.Seconds())
		l.sum = l.sum*keep + float64(count)*(1-keep)
		l.weight = l.weight*keep + (1 - keep)
	}
	if now.After(l.last) {
		l.last = now
	}
}

// reserved is the number of slots that only rank 0 may use, or a rank that is
// owed a whole request: enough for the recent urgent load, at most the
// configured fraction.
func (q *Queue) reserved() int {
	most := math.Floor(q.cfg.UrgentReserve * float64(q.slots))
	mean := q.load.mean()
	needed := math.Round(mean + reserveDeviations*math.Sqrt(mean))
	return int(max(min(most, needed, float64(q.slots-1)), 0))
}
