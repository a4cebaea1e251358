package forward

import "time"

const (
	// minResendPause is the shortest time between a send of a begun answer that was rejected and the
	// next one. It doubles with each rejection in a row, maxResendDoublings times at most.
	minResendPause     = 100 * time.Millisecond
	maxResendDoublings = 2
	// resendSpread is the random part of a pause, as a ratio to the rest.
	resendSpread = 0.5
)

// ResendPause returns the minimum time between the last send of a begun answer, which was rejected, and
// the next one. It grows with the rejections in a row, as each of them costs a retry that other requests
// may need. random is uniform in [0, 1).
func ResendPause(rejections int, random float64) time.Duration {
	d := minResendPause << min(max(rejections, 1)-1, maxResendDoublings)
	return d + time.Duration(random*resendSpread*float64(d))
}
