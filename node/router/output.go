package router

import (
	"math"

	"masticbank.example/core/config"
)

const (
	// outputGain is the weight of a new sample in the moving average of an output
	// length.
	outputGain = 0.1
	// maxOutputMeans bounds the number of averages that are kept, one for each pair of
	// workspace and rank.
	maxOutputMeans = 8192
)

// outputLengths keeps the average output length in tokens for each workspace and rank.
// It is guarded by the lock of its pool.
type outputLengths struct {
	means map[outputKey]float64
}

type outputKey struct {
	workspace string
	rank      config.Rank
}

// estimate returns the expected number of output tokens, at most limit.
func (o *outputLengths) estimate(key outputKey, limit int) int {
	mean, ok := o.means[key]
	if !ok {
		return limit
	}
	return min(limit, int(math.Ceil(mean)))
}

func (o *outputLengths) observe(key outputKey, tokens int) {
	mean, ok := o.means[key]
	switch {
	case ok:
		o.means[key] = mean + outputGain*(float64(tokens)-mean)
	case len(o.means) < maxOutputMeans:
		o.means[key] = float64(tokens)
	}
}
