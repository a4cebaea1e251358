package route

const (
	// sampleGain is the weight of a new sample in a moving average.
	sampleGain = 0.1
	// reportGain is the weight of a reported value in a moving average of
	// observed ones. It lets the estimate of an unused replica converge to what
	// the replica reports.
	reportGain = 0.05
	// minSamples is the number of samples an average needs to be used.
	minSamples = 3
	// defaultPrefill and defaultDecode, in seconds per token and layer, are
	// used until a value was observed or reported.
	defaultPrefill = 2e-6
	defaultDecode  = 250e-6
)

// mean is an exponentially weighted moving average.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample, gain float64) {
	if m.samples == 0 {
		m.value = sample
	} else {
		m.value += gain * (sample - m.value)
	}
	if m.samples < minSamples {
		m.samples++
	}
}

// addReported adds a reported value. If too few samples are known, the value
// replaces them and is used at once.
func (m *mean) addReported(value float64) {
	if !m.reliable() {
		m.value = value
		m.samples = minSamples
		return
	}
	m.add(value, reportGain)
}

// reliable reports whether the average has enough samples to be used.
func (m *mean) reliable() bool {
	return m.samples >= minSamples
}

// tokenTimes holds mean seconds per token, without queueing, of prefill and
// decode.
type tokenTimes struct {
	prefill mean
	decode  mean
}
