package silence

import "time"

const (
	// highShare is the share of the gaps that are below a Gaps' High.
	highShare = 0.99
	// gapStep is the relative change of High for a gap above it. An instance sees some hundred events
	// a second under load, so that High follows within a second or two.
	gapStep = 0.1
	// highFactor times High is the silence that does not occur without a reason.
	highFactor = 1.2
)

// Gaps estimates the longest usual gap between two events of any stream of an instance, as a moving
// quantile. When replicas are full, all streams pause now and then. The zero Gaps knows none.
type Gaps struct{ high time.Duration }

// Add adds a gap within one run.
func (g *Gaps) Add(gap time.Duration) {
	switch {
	case g.high == 0:
		g.high = min(gap, minSilence)
	case gap > g.high:
		g.high = min(gap, g.high+time.Duration(gapStep*float64(g.high)))
	default:
		g.high -= time.Duration(gapStep * (1 - highShare) / highShare * float64(g.high))
	}
}

// High returns the longest usual gap; 0 if none is known.
func (g *Gaps) High() time.Duration { return g.high }
