package retry

import "time"

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 10

// windowCounter counts the first attempts of the last window. Because it counts in
// buckets, it covers up to a tenth of the window less.
type windowCounter struct {
	// counts and starts hold the counts and start times of the buckets, as a ring;
	// newest is the index of the newest one.
	counts [windowBuckets]float64
	starts [windowBuckets]time.Time
	newest int
}

func (c *windowCounter) add(now time.Time, window time.Duration) {
	if window <= 0 {
		return
	}
	if bucket := window / windowBuckets; c.starts[c.newest].IsZero() || now.Sub(c.starts[c.newest]) >= bucket {
		c.newest = (c.newest + 1) % windowBuckets
		c.counts[c.newest], c.starts[c.newest] = 0, now
	}
	c.counts[c.newest]++
}

// sum returns the first attempts of the window. It leaves out buckets that started
// before the window.
func (c *windowCounter) sum(now time.Time, window time.Duration) float64 {
	total := 0.0
	for i, n := range c.counts {
		if !c.starts[i].IsZero() && now.Sub(c.starts[i]) < window {
			total += n
		}
	}
	return total
}
