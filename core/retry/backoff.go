package retry

import (
	"math"
	"math/bits"
	"time"
)

// Backoff computes retry delays with full jitter: the delay before retry n, counted
// from 0, is uniform in [0, min(Cap, Base*2^n)] (Brooker, "Exponential Backoff And
// Jitter", 2015). It is a value and safe for concurrent use.
type Backoff struct {
	// Base is the maximum delay before the first retry.
	Base time.Duration
	// Cap bounds the delay before any retry.
	Cap time.Duration
}

// Delay returns the delay before retry n, counted from 0. random must be uniform over
// all uint64 values. The delay leaves at least the expected service time before the
// deadline; if not even an immediate retry could complete by the deadline, Delay
// returns false. A zero deadline means none.
func (b Backoff) Delay(n int, random uint64, now, deadline time.Time, service time.Duration) (time.Duration, bool) {
	limit := b.limit(n)
	if !deadline.IsZero() {
		left := deadline.Sub(now) - service
		if left <= 0 {
			return 0, false
		}
		limit = min(limit, left)
	}
	return scale(limit, random), true
}

// limit returns min(Cap, Base*2^n) without overflow.
func (b Backoff) limit(n int) time.Duration {
	base, most := max(b.Base, 0), max(b.Cap, 0)
	if base == 0 || n <= 0 {
		return min(base, most)
	}
	if n >= bits.LeadingZeros64(uint64(base)) {
		return most
	}
	return min(base<<n, most)
}

// scale maps random, uniform over all uint64 values, to a uniform value in [0, limit].
func scale(limit time.Duration, random uint64) time.Duration {
	if limit == math.MaxInt64 {
		limit--
	}
	high, _ := bits.Mul64(random, uint64(limit)+1)
	return time.Duration(high)
}
