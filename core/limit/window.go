package limit

import "time"

// window collects the observations since the limit was last computed.
type window struct {
	start   time.Time
	samples int
	sum     [numKinds]float64
	count   [numKinds]int
	// peakInFlight is the maximum number of sequences in flight.
	peakInFlight int
	reported     bool
	waiting      bool
	refused      bool
	// slotsKnown is true if the replica reports its slots.
	slotsKnown bool
	// slowdown is the ratio of the mean times of the window to those of the fastest
	// window, for the kind that slowed down most.
	slowdown float64
}

func (w *window) begin(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
}

func (w *window) observe(kind Kind, inFlight int, seconds float64) {
	w.samples++
	w.sum[kind] += seconds
	w.count[kind]++
	w.peakInFlight = max(w.peakInFlight, inFlight)
}

// complete reports whether the window is long enough. If it shows congestion by waiting
// steps or refusals, it needs no minimum number of observations.
func (w *window) complete(now time.Time) bool {
	enough := w.samples >= windowSamples || w.waiting || w.refused
	return enough && now.Sub(w.start) >= windowTime
}

func (w *window) mean(kind Kind) (float64, bool) {
	if w.count[kind] == 0 {
		return 0, false
	}
	return w.sum[kind] / float64(w.count[kind]), true
}

// congested reports whether the replica held more sequences than it can process. Times
// count only while the slots are unknown: if they are known, the prefill time mainly
// reflects the length of the prompts, and the step time how many instances dispatched
// at the same time.
func (w *window) congested() bool {
	return w.refused || w.waiting || !w.slotsKnown && w.slowdown > maxSlowdown
}

// limitUsed reports whether the limit was nearly reached.
func (w *window) limitUsed(limit float64) bool {
	return float64(w.peakInFlight) >= usedFraction*limit
}
