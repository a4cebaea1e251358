package limit

import "math"

const (
	// gradientMinRatio bounds the decrease in one window.
	gradientMinRatio = 0.5
	// gradientSmoothing is the weight of the new value.
	gradientSmoothing = 0.5
)

// gradient is an alternative algorithm for comparison: it multiplies the limit by the
// ratio of the allowed to the observed slowdown, at most 1, and adds the square root of
// the limit so that it can grow. Waiting steps and refusals count as twice the allowed
// slowdown.
type gradient struct{}

func (gradient) next(limit float64, w *window) float64 {
	ratio := maxSlowdown / w.slowdown
	if w.waiting || w.refused {
		ratio = gradientMinRatio
	}
	ratio = min(max(ratio, gradientMinRatio), 1)
	if ratio == 1 && !w.limitUsed(limit) {
		return limit
	}
	target := limit*ratio + math.Sqrt(limit)
	return limit + gradientSmoothing*(target-limit)
}
