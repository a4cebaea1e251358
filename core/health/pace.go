package health

import "time"

const (
	// MinProgressTimeout is the lowest timeout of a decode step.
	MinProgressTimeout = 500 * time.Millisecond
	// MinPrefillTimeout is the lowest timeout of a prefill, which may have to wait
	// for a slot.
	MinPrefillTimeout = 2 * time.Second
	// MaxProgressTimeout is the highest timeout.
	MaxProgressTimeout = 2 * time.Minute
	// meanGain and deviationGain are the weights of a new sample (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is the multiple of the mean deviation in a timeout (RFC 6298).
	deviations = 4
	// slack multiplies timeouts, as batches grow and links degrade faster than
	// means follow.
	slack = 3
	// minSamples is the number of samples from which a pace is used.
	minSamples = 4
	// maxDoublings bounds the growth of the timeout by Expired.
	maxDoublings = 3
)

// Pace follows how long the steps of one stage take, prefill and decode apart. The
// zero value is ready for use. It is not safe for concurrent use.
type Pace struct {
	decode  duration
	prefill duration
	// doublings counts the timeouts since the last observed step.
	doublings int
}

// duration is a smoothed mean with its mean deviation, in seconds.
type duration struct {
	mean      float64
	deviation float64
	samples   int
}

func (d *duration) observe(sample float64) {
	if d.samples == 0 {
		d.mean = sample
		d.deviation = sample / 2
	} else {
		off := max(sample-d.mean, d.mean-sample)
		d.deviation += deviationGain * (off - d.deviation)
		d.mean += meanGain * (sample - d.mean)
	}
	if d.samples < minSamples {
		d.samples++
	}
}

// ObserveDecode takes the duration of one decode step.
func (p *Pace) ObserveDecode(d time.Duration) {
	p.decode.observe(d.Seconds())
	p.doublings = 0
}

// ObservePrefill takes the duration of a prefill of tokens, at least 1.
func (p *Pace) ObservePrefill(tokens int, d time.Duration) {
	p.prefill.observe(d.Seconds() / float64(max(tokens, 1)))
	p.doublings = 0
}

// Expired tells that a step outlasted its timeout. Timeouts double until a step is
// observed again, so that a stage that became slower is not taken for silent over
// and over.
func (p *Pace) Expired() {
	p.doublings = min(p.doublings+1, maxDoublings)
}

// ProgressTimeout returns how long a step may go without an answer before its
// connection counts as silent. prefillTokens is 0 for a decode step. initial
// applies until enough steps were observed.
//
// The form is that of TCP's retransmission timeout (RFC 6298): the mean plus four
// mean deviations, here times a slack.
func (p *Pace) ProgressTimeout(prefillTokens int, initial time.Duration) time.Duration {
	if prefillTokens > 0 {
		perToken := p.prefill
		perToken.scale(float64(prefillTokens))
		return perToken.timeout(initial, MinPrefillTimeout, p.doublings)
	}
	return p.decode.timeout(initial, MinProgressTimeout, p.doublings)
}

func (d *duration) scale(factor float64) {
	d.mean *= factor
	d.deviation *= factor
}

func (d *duration) timeout(initial, lowest time.Duration, doublings int) time.Duration {
	timeout := initial
	if d.samples == minSamples {
		high := slack * (d.mean + deviations*d.deviation)
		timeout = time.Duration(min(high, MaxProgressTimeout.Seconds()) * float64(time.Second))
	}
	return min(max(timeout, lowest)<<doublings, MaxProgressTimeout)
}
