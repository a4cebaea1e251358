package health

import "time"

const (
	// MinProgressTimeout is the minimum timeout of a decode step.
	MinProgressTimeout = 500 * time.Millisecond
	// MinPrefillTimeout is the minimum timeout of a prefill, which may have to
	// wait for a slot.
	MinPrefillTimeout = 2 * time.Second
	// MaxProgressTimeout is the maximum timeout.
	MaxProgressTimeout = 2 * time.Minute
	// meanGain and deviationGain are the weights of a new sample (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is the number of mean deviations in a timeout (RFC 6298).
	deviationFactor = 4
	// timeoutFactor multiplies timeouts, because batches grow and links degrade
	// faster than the averages follow.
	timeoutFactor = 3
	// minSamples is the number of samples an estimate needs to be used.
	minSamples = 4
	// maxDoublings limits how often a timeout can be doubled.
	maxDoublings = 3
)

// TimeoutEstimator estimates the timeout of the steps of one stage from their
// durations, separately for prefill and decode. The zero value is ready for use.
// It is not safe for concurrent use.
type TimeoutEstimator struct {
	decode  durationEstimate
	prefill durationEstimate
	// doublings is the number of timeouts since the last observed step, at most
	// maxDoublings.
	doublings int
}

// durationEstimate is a smoothed mean and its mean deviation, in seconds.
type durationEstimate struct {
	mean      float64
	deviation float64
	samples   int
}

func (d *durationEstimate) addSample(sample float64) {
	if d.samples == 0 {
		d.mean = sample
		d.deviation = sample / 2
	} else {
		distance := max(sample-d.mean, d.mean-sample)
		d.deviation += deviationGain * (distance - d.deviation)
		d.mean += meanGain * (sample - d.mean)
	}
	if d.samples < minSamples {
		d.samples++
	}
}

// ObserveDecode adds the duration of one decode step.
func (e *TimeoutEstimator) ObserveDecode(d time.Duration) {
	e.decode.addSample(d.Seconds())
	e.doublings = 0
}

// ObservePrefill adds the duration of a prefill of the given number of tokens.
func (e *TimeoutEstimator) ObservePrefill(tokens int, d time.Duration) {
	e.prefill.addSample(d.Seconds() / float64(max(tokens, 1)))
	e.doublings = 0
}

// RecordTimeout records that a step exceeded its timeout. Timeouts double until a
// step is observed again, so that a stage that became slower does not repeatedly
// count as unresponsive.
func (e *TimeoutEstimator) RecordTimeout() {
	e.doublings = min(e.doublings+1, maxDoublings)
}

// ProgressTimeout returns how long a step may go without a response before its
// connection counts as unresponsive. prefillTokens is 0 for a decode step.
// initial applies until enough steps were observed.
//
// The formula is that of TCP's retransmission timeout (RFC 6298), the mean plus
// four mean deviations, times timeoutFactor.
func (e *TimeoutEstimator) ProgressTimeout(prefillTokens int, initial time.Duration) time.Duration {
	if prefillTokens > 0 {
		perToken := e.prefill
		perToken.scale(float64(prefillTokens))
		return perToken.timeout(initial, MinPrefillTimeout, e.doublings)
	}
	return e.decode.timeout(initial, MinProgressTimeout, e.doublings)
}

func (d *durationEstimate) scale(factor float64) {
	d.mean *= factor
	d.deviation *= factor
}

func (d *durationEstimate) timeout(initial, minTimeout time.Duration, doublings int) time.Duration {
	timeout := initial
	if d.samples == minSamples {
		seconds := timeoutFactor * (d.mean + deviationFactor*d.deviation)
		timeout = time.Duration(min(seconds, MaxProgressTimeout.Seconds()) * float64(time.Second))
	}
	return min(max(timeout, minTimeout)<<doublings, MaxProgressTimeout)
}
