package pipeline

import (
	"math"
	"time"
)

const (
	// useTimeConstant is the time constant of the sums that compare reported with reckoned use of
	// KV cache. Reports arrive once a second; a stream lasts a few seconds.
	useTimeConstant = 3 * time.Second
	// maxUseFactor bounds the correction of the reckoned use. Hints of the output are accurate at
	// the median, but long outputs stay longest.
	maxUseFactor = 1.5
	// minComparedTokens is the reckoned use, in tokens times layers, below which reports say nothing
	// about how well use is reckoned.
	minComparedTokens = 10_000
)

// useCorrection compares the KV cache that replicas report as used with what the requests of all
// instances reserve there.
type useCorrection struct {
	reported, reckoned float64
	at                 time.Time
}

// observe adds the report of one replica.
func (u *useCorrection) observe(now time.Time, reported, reckoned float64) {
	if dt := now.Sub(u.at); dt > 0 {
		keep := math.Exp(-dt.Seconds() / useTimeConstant.Seconds())
		u.reported, u.reckoned, u.at = u.reported*keep, u.reckoned*keep, now
	}
	u.reported += reported
	u.reckoned += reckoned
}

// factor returns by what reckoned use is multiplied, 1 without recent reports. It is never below 1:
// requests that a replica has not admitted yet are reckoned and not reported.
func (u *useCorrection) factor(now time.Time) float64 {
	if u.reckoned < minComparedTokens || now.Sub(u.at) > maxReportAge {
		return 1
	}
	return min(max(u.reported/u.reckoned, 1), maxUseFactor)
}

// UseFactor returns the factor by which the reckoned use of KV cache is corrected.
func (f *Fleet) UseFactor(now time.Time) float64 { return f.use.factor(now) }
