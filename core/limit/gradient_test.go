package limit

import "math"

const (
	// gradientLowest bounds the decrease of one window.
	gradientLowest = 0.5
	// gradientSmoothing is the weight of the new value.
	gradientSmoothing = 0.5
)

// gradient is an alternative to compare with: the limit is multiplied by the ratio of the allowed
// to the observed slowdown, at most 1, and the square root of the limit is added as
// room to grow. Waiting and refusals count as twice the allowed slowdown.
type gradient struct{}

func (gradient) next(limit float64, w *window) float64 {
	ratio := slowdownAllowed / w.slowdown
	if w.waiting || w.refused {
		ratio = gradientLowest
	}
	ratio = min(max(ratio, gradientLowest), 1)
	if ratio == 1 && !w.used(limit) {
		return limit
	}
	target := limit*ratio + math.Sqrt(limit)
	return limit + gradientSmoothing*(target-limit)
}
