package limit

const (
	aimdIncrease = 1
	aimdDecrease = 0.9
)

// aimd is additive increase, multiplicative decrease: it adds one to a limit that is in
// use and multiplies it by aimdDecrease on congestion (Chiu and Jain, "Analysis of the
// increase and decrease algorithms for congestion avoidance in computer networks",
// 1989).
type aimd struct{}

func (aimd) next(limit float64, w *window) float64 {
	switch {
	case w.congested():
		return limit * aimdDecrease
	case w.limitUsed(limit):
		return limit + aimdIncrease
	default:
		return limit
	}
}
