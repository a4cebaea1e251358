package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// usualResponse is the time of a response until one was measured.
	usualResponse = 3 * time.Second
	// minReturn and maxReturn bound the estimate, which is a part of a usual response.
	minReturn = time.Second
	maxReturn = 3 * time.Second
	// maxReturnShare is the share of the time that a client has left for which it waits at most
	// before it returns.
	maxReturnShare = 1.0 / 3
	// movingMeanWeight is the weight of a new value in a moving mean.
	movingMeanWeight = 0.05
)

// movingMean is an exponentially weighted mean of durations.
type movingMean struct{ mean time.Duration }

func (m *movingMean) add(d time.Duration) {
	if m.mean == 0 {
		m.mean = d
		return
	}
	m.mean += time.Duration(float64(d-m.mean) * movingMeanWeight)
}

// retryAfter estimates when a request that found no room can come back: when those that wait have got
// capacity, but not before half of the running responses have ended. It is spread at random, so that
// callers that were refused together do not return together. left is the time that the client has left.
func (p *modelPool) retryAfter(left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	response := p.responses.mean
	if response == 0 {
		response = usualResponse
	}
	estimate := max(response/2, p.waiting.Wait(time.Now(), p.waiting.Len()))
	estimate = min(max(estimate, minReturn), maxReturn)
	spread := 1 + rand.Float64()
	return min(time.Duration(spread*float64(estimate)), max(0, time.Duration(maxReturnShare*float64(left))))
}

// usualFirstEvent returns the usual time from a path to the first event.
func (p *modelPool) usualFirstEvent() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstEvents.mean
}
