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
	// reserveDeviations is the number of standard deviations of the urgent load that are kept free
	// for it, by square-root staffing (Halfin and Whitt, 1981), and maxUrgentReserve the largest share
	// of a KV cache. Both are as in package admission.
	reserveDeviations = 2
	maxUrgentReserve  = 0.2
	// rankTimeConstant is the time constant of the demand by rank, and rankMemory the time without
	// demand after which it is forgotten.
	rankTimeConstant = 10 * time.Second
	rankMemory       = 3 * rankTimeConstant
	// maxRank is the largest rank that is told apart. Operators use a few.
	maxRank = 15
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

// rankDemand is the demand for KV cache of this instance's requests by rank, as exponentially decaying
// sums of tokens.
type rankDemand struct {
	tokens []float64
	at     time.Time
}

func (r *rankDemand) add(now time.Time, rank int, tokens float64) {
	rank = min(max(rank, 0), maxRank)
	if dt := now.Sub(r.at); dt > 0 {
		keep := math.Exp(-dt.Seconds() / rankTimeConstant.Seconds())
		for i := range r.tokens {
			r.tokens[i] *= keep
		}
		r.at = now
	}
	for len(r.tokens) <= rank {
		r.tokens = append(r.tokens, 0)
	}
	r.tokens[rank] += tokens
}

// above returns the share of the demand that is more urgent than the rank.
func (r *rankDemand) above(now time.Time, rank int) float64 {
	if now.Sub(r.at) > rankMemory {
		return 0
	}
	urgent, all := 0.0, 0.0
	for i, t := range r.tokens {
		all += t
		if i < min(rank, maxRank) {
			urgent += t
		}
	}
	if all == 0 {
		return 0
	}
	return urgent / all
}

// cacheShareWith returns the used share of a replica's KV cache with one more request. A replica without
// KV cache is full.
func (f *Fleet) cacheShareWith(now time.Time, m *member, d Demand) float64 {
	capacity, used := f.cacheUsage(now, m)
	if capacity <= 0 {
		return math.Inf(1)
	}
	return (used + d.reservedTokens()*float64(m.To-m.From)) / capacity
}

// slotShare returns the share of a replica's slots that are taken, 0 if their number is not published.
//
// The requests that enter at a replica take its slots, and wait there for one if all are taken. How many
// of the other instances' do is known only for a replica that holds the first layer: those that pass
// through it, nearly all of which enter there.
func (f *Fleet) slotShare(m *member) float64 {
	if f.model.Slots <= 0 {
		return 0
	}
	taken := float64(m.entering)
	if m.From <= 0 {
		taken = m.sequences + m.remoteSequences
	}
	return taken / float64(f.model.Slots)
}

// urgentReserve returns the share of a replica's KV cache that a request leaves free for more urgent
// ones: two standard deviations of their number, if their share of the demand stays as it is. Less
// urgent work fills what is free, and urgent work finds room at once when it comes.
func (f *Fleet) urgentReserve(m *member, urgentShare float64) float64 {
	if m.sequences+m.remoteSequences == 0 {
		return 0 // an idle replica takes any request that fits
	}
	capacity := m.cacheCapacity
	perRequest := (f.model.MeanPromptTokens + f.model.MeanOutputTokens*reservedOutputShare) * float64(m.To-m.From)
	if urgentShare <= 0 || perRequest <= 0 || capacity <= 0 {
		return 0
	}
	fit := max(1, capacity/perRequest)
	return min(maxUrgentReserve, reserveDeviations*math.Sqrt(fit*urgentShare)/fit)
}
