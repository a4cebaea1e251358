package router

import (
	"math"

	"masticbank.example/core/config"
)

const (
	// outputGain is the weight of a new sample in a mean output length.
	outputGain = 0.1
	// maxOutputMeans bounds the pairs of workspace and rank remembered.
	maxOutputMeans = 8192
)

// outputLengths learns how many tokens the answers of a workspace and rank have. The
// pool's lock guards it.
type outputLengths struct {
	means map[outputKey]float64
}

type outputKey struct {
	workspace string
	rank      config.Rank
}

// estimate returns the expected number of tokens, at most limit.
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
