package route

const (
	// paceGain is the weight of a new sample in a mean.
	paceGain = 0.1
	// reportGain is the weight of a reported speed in a mean of observed ones. It
	// lets the pace of an unused replica return to what the replica reports.
	reportGain = 0.05
	// minPaceSamples is the number of samples from which a mean is used.
	minPaceSamples = 3
	// defaultPrefill and defaultDecode, in seconds per token and layer, apply
	// before anything was observed or reported.
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
	if m.samples < minPaceSamples {
		m.samples++
	}
}

// addReported takes a reported value, which is used at once when nothing is known.
func (m *mean) addReported(value float64) {
	if !m.known() {
		m.value = value
		m.samples = minPaceSamples
		return
	}
	m.add(value, reportGain)
}

func (m *mean) known() bool {
	return m.samples >= minPaceSamples
}

// pace holds mean seconds per token without waiting, of prefill and of decode.
type pace struct {
	prefill mean
	decode  mean
}
