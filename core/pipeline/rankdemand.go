package pipeline

import (
	"math"
	"time"
)

const (
	// rankTimeConstant is the time constant of the demand by rank, and rankMemory the time without
	// demand after which it is forgotten.
	rankTimeConstant = 10 * time.Second
	rankMemory       = 3 * rankTimeConstant
	// maxRank is the largest rank that is told apart. Operators use a few.
	maxRank = 15
)

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
