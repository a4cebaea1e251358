// Package limit estimates how many sequences one replica can process at the same time,
// from its load reports, its refusals and the observed times of its steps.
//
// Observations are collected in windows. At the end of each window, an algorithm
// computes the next limit. The limit never exceeds the slots that the replica reports.
package limit

import "time"

const (
	// initialLimit applies until the replica reports its slots.
	initialLimit = 8
	minLimit     = 1
	// maxLimit bounds the limit while the number of slots is unknown.
	maxLimit = 1024

	// windowTime and windowSamples are the minimum duration and number of observations
	// of a window.
	windowTime    = 500 * time.Millisecond
	windowSamples = 5
	// usedFraction is the fraction of the limit that must have been in flight for the
	// limit to increase.
	usedFraction = 0.8
	// reportMaxAge is the age of the last report up to which a window stays open for
	// the next report.
	reportMaxAge = 5 * time.Second
	// maxSlowdown is the largest ratio of step times to those of the fastest window that
	// does not count as congestion. On a busy replica, a step waits for the current
	// batch, which doubles its time, and fuller batches double it again.
	maxSlowdown = 4
	// maxIneffectiveWindows is the number of consecutive windows in which lowering the
	// limit did not make steps faster. After it, the step time of the replica itself is
	// assumed to have changed, for example because contexts became longer.
	maxIneffectiveWindows = 3
	// improvedRatio is the slowdown relative to the previous window below which steps
	// count as faster.
	improvedRatio = 0.95
)

// Kind is the kind of an observed time. Times are compared only with times of the same
// kind.
type Kind int

const (
	// Decode is the time of one decode step.
	Decode Kind = iota
	// Prefill is the time of a prefill divided by its tokens.
	Prefill
	numKinds
)

// algorithm computes the limit that follows a window. Benchmarks compare several
// algorithms.
type algorithm interface {
	next(limit float64, w *window) float64
}

// Limiter estimates the limit of one replica. It is not safe for concurrent use.
type Limiter struct {
	algorithm algorithm
	limit     float64
	slots     int
	window    window
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// baseline holds the mean times of the fastest window by kind, 0 while unknown.
	baseline   [numKinds]float64
	slowPeriod slowPeriod
}

// slowPeriod is a series of consecutive windows whose congestion shows only in their
// times.
type slowPeriod struct {
	// limitBefore is the limit at the start of the period.
	limitBefore float64
	// lastSlowdown is the slowdown of the latest window.
	lastSlowdown float64
	// ineffective counts the latest consecutive windows that were not faster than the
	// window before.
	ineffective int
}

// New returns a limiter without observations.
func New() *Limiter {
	return &Limiter{algorithm: aimd{}, limit: initialLimit}
}

// Limit returns the number of sequences, of all instances together, that the replica
// can process; it is at least 1.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Report records a load report: the sequences held, the steps waiting for a slot, and
// the number of slots, 0 when unknown. The first report with slots sets the limit to
// them.
func (l *Limiter) Report(now time.Time, running, waiting, slots int) {
	l.window.begin(now)
	if slots > 0 && l.slots == 0 {
		l.limit = float64(slots)
	}
	if slots > 0 {
		l.slots = slots
	}
	l.window.reported = true
	// Steps that wait while all slots are held show only that several instances
	// dispatched at the same time.
	full := slots > 0 && running >= slots
	l.window.waiting = l.window.waiting || waiting > 0 && !full
	l.reportedAt = now
	l.setLimit(l.limit)
	l.closeIfComplete(now)
}

// Refused records that the replica responded that it has no free slot.
func (l *Limiter) Refused(now time.Time) {
	l.window.begin(now)
	l.window.refused = true
	l.closeIfComplete(now)
}

// Observe records the time per token of an operation of the given kind, with the number
// of sequences that the replica was estimated to hold.
func (l *Limiter) Observe(now time.Time, kind Kind, inFlight int, perToken time.Duration) {
	l.window.begin(now)
	l.window.observe(kind, inFlight, perToken.Seconds())
	l.closeIfComplete(now)
}

// closeIfComplete ends the window if it is complete and computes the next limit.
func (l *Limiter) closeIfComplete(now time.Time) {
	w := &l.window
	reporting := !l.reportedAt.IsZero() && now.Sub(l.reportedAt) <= reportMaxAge
	if !w.complete(now) || reporting && !w.reported && !w.refused {
		return
	}
	w.slowdown = l.updateBaseline()
	w.slotsKnown = l.slots > 0
	if l.baselineChanged() {
		l.resetBaseline()
		l.setLimit(l.slowPeriod.limitBefore)
		l.slowPeriod = slowPeriod{}
	} else {
		l.setLimit(l.algorithm.next(l.limit, w))
	}
	l.window = window{}
}

// updateBaseline lowers the baseline to the times of the window where these are faster.
// It returns the ratio of the mean time of the window to the baseline, for the kind
// that slowed down most.
func (l *Limiter) updateBaseline() float64 {
	slowdown := 1.0
	for k := range numKinds {
		mean, ok := l.window.mean(k)
		if !ok {
			continue
		}
		if l.baseline[k] == 0 || mean < l.baseline[k] {
			l.baseline[k] = mean
		}
		if l.baseline[k] > 0 {
			slowdown = max(slowdown, mean/l.baseline[k])
		}
	}
	return slowdown
}

// baselineChanged tracks slow windows. It returns true when lower limits have not made
// steps faster.
func (l *Limiter) baselineChanged() bool {
	w := &l.window
	if w.waiting || w.refused || w.slotsKnown || w.slowdown <= maxSlowdown {
		l.slowPeriod = slowPeriod{}
		return false
	}
	switch {
	case l.slowPeriod.lastSlowdown == 0:
		l.slowPeriod.limitBefore = l.limit
	case w.slowdown >= improvedRatio*l.slowPeriod.lastSlowdown:
		l.slowPeriod.ineffective++
	default:
		l.slowPeriod.ineffective = 0
	}
	l.slowPeriod.lastSlowdown = w.slowdown
	return l.slowPeriod.ineffective >= maxIneffectiveWindows
}

// resetBaseline replaces the baseline by the times of the window.
func (l *Limiter) resetBaseline() {
	for k := range numKinds {
		if mean, ok := l.window.mean(k); ok {
			l.baseline[k] = mean
		}
	}
}

func (l *Limiter) setLimit(limit float64) {
	bound := float64(maxLimit)
	if l.slots > 0 {
		bound = float64(l.slots)
	}
	l.limit = min(max(limit, minLimit), bound)
}
