package placement

// LoadLimit estimates the number of concurrent loads that the weight store allows. A refusal
// lowers it to the number of loads that were running. It rises by one each time as many loads as
// the limit have finished without a refusal. It is not safe for concurrent use.
type LoadLimit struct {
	maximum  int
	value    int
	finished int
}

// NewLoadLimit returns a limit that starts at maximum, its largest value.
func NewLoadLimit(maximum int) *LoadLimit {
	maximum = max(maximum, 1)
	return &LoadLimit{maximum: maximum, value: maximum}
}

// Value returns the number of concurrent loads.
func (l *LoadLimit) Value() int { return l.value }

// RecordRefused records that the store refused a load while the given number of others was
// running.
func (l *LoadLimit) RecordRefused(running int) {
	l.value = max(1, min(l.value, running))
	l.finished = 0
}

// RecordFinished records that a load has finished.
func (l *LoadLimit) RecordFinished() {
	l.finished++
	if l.finished >= l.value {
		l.value = min(l.maximum, l.value+1)
		l.finished = 0
	}
}
