package retry

import "time"

const (
	// ratioFraction is the fraction of the allowed ratio that is used. What the requests of
	// one window add may be spent in the next one, so it counts twice; the rest covers
	// requests that are counted in another window.
	ratioFraction = 0.4
	// burstFraction is the fraction of the slack that may be spent at once, as when a
	// replica dies with many streams; rateFraction is the fraction that is refilled within
	// one window. Their sum stays below 1.
	burstFraction = 0.5
	rateFraction  = 0.25
	// minWindow is the shortest window that a rate is computed for.
	minWindow = time.Second
)

// Limit bounds the retries of one upstream group for all instances together: in each window,
// Ratio times the group's first attempts plus Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Share is one instance's share of a Limit. The shares of all instances keep the limit together
// also when processes restart and when instances disagree on their number for a while. It is not
// safe for concurrent use.
type Share struct {
	limit     Limit
	startedAt time.Time
	// full is set if no earlier process can have spent a part of this share.
	full bool
	// instances is the largest number of instances in the last window; 0 while unknown.
	instances int
	// lower is the largest number since lowerSince, from which on all were below instances.
	lower      int
	lowerSince time.Time
}

// NewShare returns the share of a process that starts at startedAt. If the whole system starts for the
// first time its budgets are full; otherwise they fill at the minimum rate from then on, as an earlier
// process may have spent what it had.
func NewShare(l Limit, startedAt time.Time, firstStart bool) *Share {
	return &Share{limit: l, startedAt: startedAt, full: firstStart}
}

// SetLimit changes the limit.
func (s *Share) SetLimit(l Limit) { s.limit = l }

// Instances returns the number of instances that the share rests on; 0 while it is unknown.
func (s *Share) Instances() int { return s.instances }

// SetInstances records the number of instances. A larger number counts at once, a smaller one only after
// a window without a larger one: the missing instances may be alive and spend their shares. It
// reports whether the share changed.
func (s *Share) SetInstances(now time.Time, n int) bool {
	before := s.instances
	switch {
	case n < 1:
	case n >= s.instances:
		s.instances, s.lowerSince = n, time.Time{}
	case s.lowerSince.IsZero():
		s.lower, s.lowerSince = n, now
	default:
		s.lower = max(s.lower, n)
		if now.Sub(s.lowerSince) >= s.limit.Window {
			s.instances, s.lowerSince = s.lower, time.Time{}
		}
	}
	return s.instances != before
}

// Config returns the configuration of one group's budget. While the number of instances is unknown,
// retries are limited to what this instance's own first attempts add. A limit without a window allows
// none, as it states no rate.
func (s *Share) Config() BudgetConfig {
	c := BudgetConfig{Ratio: s.limit.Ratio * ratioFraction, Window: s.limit.Window}
	if s.instances == 0 || s.limit.Window <= 0 {
		return c
	}
	slack := s.limit.Slack / float64(s.instances)
	c.Burst = slack * burstFraction
	c.MinPerSecond = slack * rateFraction / max(s.limit.Window, minWindow).Seconds()
	return c
}

// NewBudget returns the budget of one group.
func (s *Share) NewBudget(now time.Time) *Budget {
	c := s.Config()
	b := NewBudget(c)
	if !s.full {
		b.available = min(c.Burst, c.MinPerSecond*now.Sub(s.startedAt).Seconds())
	}
	return b
}
