// Package retry decides whether and when a failed attempt is retried. Budget limits the
// retries of one upstream group relative to its first attempts, and Backoff spreads
// them in time. Neither reads a clock or a random source.
package retry

import "time"

// BudgetConfig configures the retry budget of one upstream group.
type BudgetConfig struct {
	// Ratio is the number of retries that each first attempt adds to the budget, 0 to
	// 1.
	Ratio float64
	// MinPerSecond is the rate at which retries are added regardless of first attempts,
	// so that an idle group can retry too.
	MinPerSecond float64
	// Burst is the maximum number of retries that the budget can hold. The budget starts
	// full.
	Burst float64
	// Window, if positive, raises the maximum by the retries earned by the first
	// attempts of the last window. Failures come in bursts, for example when a replica
	// with many requests crashes.
	Window time.Duration
}

// Budget is a token bucket of retries that is filled by first attempts and by a minimum
// rate. It is not safe for concurrent use.
//
// In any period, there are at most burst + ratio*firsts + rate*seconds retries. If
// every attempt fails, there are at most (1+ratio)*firsts + burst + rate*seconds
// attempts. With a window, the retries of one window may exceed this by ratio times the
// first attempts of the window before it.
type Budget struct {
	cfg       BudgetConfig
	available float64 // retries
	last      time.Time
	firsts    windowCounter
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{cfg: c, available: c.Burst}
}

// Configure applies c. Retries above the new maximum are lost at the next call.
func (b *Budget) Configure(now time.Time, c BudgetConfig) {
	b.refill(now, 0)
	b.cfg = c
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.firsts.add(now, b.cfg.Window)
	b.refill(now, b.cfg.Ratio)
}

// TrySpend spends one retry. It returns false if the budget is exhausted; the failure
// must then be reported to the client instead of being retried.
func (b *Budget) TrySpend(now time.Time) bool {
	b.refill(now, 0)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// maxHeldFraction is the fraction of the window for which a retry may be held and still be given back.
// While it is held, the budget refills beyond what it could hold otherwise.
const maxHeldFraction = 0.5

// Return gives back a retry that was spent at spentAt and reached no replica. One that was held for
// long is lost.
func (b *Budget) Return(now, spentAt time.Time) {
	returned := 0.0
	if now.Sub(spentAt).Seconds() <= maxHeldFraction*b.cfg.Window.Seconds() {
		returned = 1
	}
	b.refill(now, returned)
}

// Available returns the number of retries that are available now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now, 0)
	return b.available
}

// refill adds retries, and the minimum rate for the time since the last call. A clock
// that steps back adds nothing.
func (b *Budget) refill(now time.Time, retries float64) {
	if now.After(b.last) {
		if !b.last.IsZero() {
			retries += b.cfg.MinPerSecond * now.Sub(b.last).Seconds()
		}
		b.last = now
	}
	maxAvailable := b.cfg.Burst
	if b.cfg.Window > 0 {
		maxAvailable += b.cfg.Ratio * b.firsts.sum(b.last, b.cfg.Window)
	}
	b.available = min(b.available+retries, maxAvailable)
}
