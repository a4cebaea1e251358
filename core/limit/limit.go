// Package limit learns how many sequences in flight one replica takes, from its load
// reports, its refusals and the observed times of its steps.
//
// Observations are gathered in windows; at the end of each, a law gives the next
// limit. The limit never exceeds the slots that the replica reports.
package limit

import "time"

const (
	// initial applies until slots are reported.
	initial = 8
	lowest  = 1
	// highest bounds the limit while the slots are unknown.
	highest = 1024

	// windowTime and windowSamples are the least duration and number of
	// observations of a window.
	windowTime    = 500 * time.Millisecond
	windowSamples = 5
	// usedShare is the part of the limit that must have been in flight for the
	// limit to rise.
	usedShare = 0.8
	// reportMaxAge is the age of the last report up to which a window waits for
	// the next one.
	reportMaxAge = 5 * time.Second
	// slowdownAllowed is the growth of step times, relative to the fastest window,
	// that a busy replica explains: a step waits for the batch under way, which
	// doubles its time, and fuller batches double it again.
	slowdownAllowed = 4
	// maxUnmoved is the number of windows in a row in which a lower limit did not
	// make steps faster, after which the replica's pace itself is taken to have
	// changed, as by longer contexts.
	maxUnmoved = 3
	// movedShare is the relative slowdown, compared with the window before, below
	// which steps became faster.
	movedShare = 0.95
)

// Kind tells what an observed time is of. Times are compared within a kind only.
type Kind int

const (
	// Decode is the time of one decode step.
	Decode Kind = iota
	// Prefill is the time of a prefill divided by its tokens.
	Prefill
	kinds
)

// law gives the limit that follows a window. Measurements compare laws.
type law interface {
	next(limit float64, w *window) float64
}

// Limiter learns the limit of one replica. It is not safe for concurrent use.
type Limiter struct {
	law    law
	limit  float64
	slots  int
	window window
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// base are the times of the fastest window.
	base [kinds]float64
	slow slowSpell
}

// slowSpell is a row of windows that only their times show to be congested.
type slowSpell struct {
	// before is the limit at its begin.
	before float64
	// last is the slowdown of the latest window.
	last float64
	// unmoved counts the windows that were no faster than the one before.
	unmoved int
}

// New returns a limiter that has learnt nothing.
func New() *Limiter {
	return &Limiter{law: aimd{}, limit: initial}
}

// Limit returns the number of sequences, of all instances, that the replica takes;
// it is at least 1.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Report takes a load report: the sequences held, the steps waiting for a slot,
// and the slots, 0 when
// unknown. The first report of slots sets the limit to them.
func (l *Limiter) Report(now time.Time, running, waiting, slots int) {
	l.window.open(now)
	if slots > 0 && l.slots == 0 {
		l.limit = float64(slots)
	}
	if slots > 0 {
		l.slots = slots
	}
	l.window.reported = true
	// Steps that wait while all slots are held only show that several instances
	// dispatched at once.
	full := slots > 0 && running >= slots
	l.window.waiting = l.window.waiting || waiting > 0 && !full
	l.reportedAt = now
	l.set(l.limit)
	l.close(now)
}

// Refused takes the replica's answer that it has no slot free.
func (l *Limiter) Refused(now time.Time) {
	l.window.open(now)
	l.window.refused = true
	l.close(now)
}

// Observe takes the time of one token of the given kind, with the number of
// sequences that the replica was estimated to hold.
func (l *Limiter) Observe(now time.Time, kind Kind, inFlight int, perToken time.Duration) {
	l.window.open(now)
	l.window.observe(kind, inFlight, perToken.Seconds())
	l.close(now)
}

// close ends the window if it is complete, and sets the next limit.
func (l *Limiter) close(now time.Time) {
	w := &l.window
	reporting := !l.reportedAt.IsZero() && now.Sub(l.reportedAt) <= reportMaxAge
	if !w.complete(now) || reporting && !w.reported && !w.refused {
		return
	}
	w.slowdown = l.compare()
	w.slotsKnown = l.slots > 0
	if l.paceChanged() {
		l.rebase()
		l.set(l.slow.before)
		l.slow = slowSpell{}
	} else {
		l.set(l.law.next(l.limit, w))
	}
	l.window = window{}
}

// compare returns by which factor the window was slower than the fastest one, for
// the kind that slowed most, and updates the fastest times.
func (l *Limiter) compare() float64 {
	slowdown := 1.0
	for k := range kinds {
		mean, ok := l.window.mean(k)
		if !ok {
			continue
		}
		if l.base[k] == 0 || mean < l.base[k] {
			l.base[k] = mean
		}
		if l.base[k] > 0 {
			slowdown = max(slowdown, mean/l.base[k])
		}
	}
	return slowdown
}

// paceChanged follows slow windows. It returns true when lower limits have not made
// steps faster.
func (l *Limiter) paceChanged() bool {
	w := &l.window
	if w.waiting || w.refused || w.slotsKnown || w.slowdown <= slowdownAllowed {
		l.slow = slowSpell{}
		return false
	}
	switch {
	case l.slow.last == 0:
		l.slow.before = l.limit
	case w.slowdown >= movedShare*l.slow.last:
		l.slow.unmoved++
	default:
		l.slow.unmoved = 0
	}
	l.slow.last = w.slowdown
	return l.slow.unmoved >= maxUnmoved
}

// rebase takes the times of the window as the replica's pace.
func (l *Limiter) rebase() {
	for k := range kinds {
		if mean, ok := l.window.mean(k); ok {
			l.base[k] = mean
		}
	}
}

func (l *Limiter) set(limit float64) {
	bound := float64(highest)
	if l.slots > 0 {
		bound = float64(l.slots)
	}
	l.limit = min(max(limit, lowest), bound)
}
