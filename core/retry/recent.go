package retry

import "time"

// recentParts is the number of parts of a window in which first attempts are counted.
const recentParts = 10

// recent counts the first attempts of the last window, or of up to a tenth less.
type recent struct {
	// counts and starts belong to the parts, in a ring; at is the newest.
	counts [recentParts]float64
	starts [recentParts]time.Time
	at     int
}

func (r *recent) add(now time.Time, window time.Duration) {
	if window <= 0 {
		return
	}
	if part := window / recentParts; r.starts[r.at].IsZero() || now.Sub(r.starts[r.at]) >= part {
		r.at = (r.at + 1) % recentParts
		r.counts[r.at], r.starts[r.at] = 0, now
	}
	r.counts[r.at]++
}

// sum leaves out the parts that began before the window.
func (r *recent) sum(now time.Time, window time.Duration) float64 {
	total := 0.0
	for i, n := range r.counts {
		if !r.starts[i].IsZero() && now.Sub(r.starts[i]) < window {
			total += n
		}
	}
	return total
}
