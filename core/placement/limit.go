package placement

// Limit learns how many loads at once the weight store gives. A refusal lowers
// it to the loads that ran, and each completed run of as many loads without a
// refusal raises it by one. It is not safe for concurrent use.
type Limit struct {
	top      int
	value    int
	finished int
}

// NewLimit returns a Limit that starts at top, its largest value.
func NewLimit(top int) *Limit {
	top = max(top, 1)
	return &Limit{top: top, value: top}
}

// Value returns the number of loads at once.
func (l *Limit) Value() int { return l.value }

// Refused notes that the store refused a load while running others were going on.
func (l *Limit) Refused(running int) {
	l.value = max(1, min(l.value, running))
	l.finished = 0
}

// Finished notes that a load was completed.
func (l *Limit) Finished() {
	l.finished++
	if l.finished >= l.value {
		l.value = min(l.top, l.value+1)
		l.finished = 0
	}
}
