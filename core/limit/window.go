package limit

import "time"

// window gathers what was observed since the limit last changed.
type window struct {
	begun   time.Time
	samples int
	sum     [kinds]float64
	count   [kinds]int
	// peak is the most sequences in flight.
	peak     int
	reported bool
	waiting  bool
	refused  bool
	// slotsKnown is true when the replica reports its slots.
	slotsKnown bool
	// slowdown is the mean step time relative to the fastest window.
	slowdown float64
}

func (w *window) open(now time.Time) {
	if w.begun.IsZero() {
		w.begun = now
	}
}

func (w *window) observe(kind Kind, inFlight int, seconds float64) {
	w.samples++
	w.sum[kind] += seconds
	w.count[kind]++
	w.peak = max(w.peak, inFlight)
}

// complete tells whether the window is long enough. A sign of congestion needs no
// further observations.
func (w *window) complete(now time.Time) bool {
	enough := w.samples >= windowSamples || w.waiting || w.refused
	return enough && now.Sub(w.begun) >= windowTime
}

func (w *window) mean(kind Kind) (float64, bool) {
	if w.count[kind] == 0 {
		return 0, false
	}
	return w.sum[kind] / float64(w.count[kind]), true
}

// congested tells whether the replica held more than it takes. Times tell only
// while the slots are unknown: beside them, the time of a prefill shows how long
// the prompts are, and that of a step how many instances dispatched at once.
func (w *window) congested() bool {
	return w.refused || w.waiting || !w.slotsKnown && w.slowdown > slowdownAllowed
}

// used tells whether the limit was nearly reached.
func (w *window) used(limit float64) bool {
	return float64(w.peak) >= usedShare*limit
}
