// Package retry decides whether and when a failed attempt is repeated. Budget
// bounds the retries of one upstream group by its first attempts, and Backoff
// spreads them in time. Neither reads a clock or a random source.
package retry

import "time"

// BudgetConfig bounds the retries of one upstream group.
type BudgetConfig struct {
	// Ratio is the number of retries paid for by one first attempt, 0 to 1.
	Ratio float64
	// MinPerSecond is the rate at which retries are allowed without first
	// attempts, so that a quiet group can retry too.
	MinPerSecond float64
	// Bank is the largest number of retries saved up. The budget starts full.
	Bank float64
	// Window, if above 0, lets the retries that the first attempts of the last window
	// have paid for be saved up as well, beyond Bank: failures come together, when a
	// replica dies with many requests.
	Window time.Duration
}

// Budget is a token bucket that first attempts fill. It is not safe for
// concurrent use.
//
// In any history, the retries of a period are at most Bank + Ratio*firsts +
// MinPerSecond*seconds. When every attempt fails, the attempts of a period are
// at most (1+Ratio)*firsts + Bank + MinPerSecond*seconds. With a Window, those of a
// window are at most that and Ratio times the first attempts of the window before it.
type Budget struct {
	cfg    BudgetConfig
	saved  float64 // retries
	last   time.Time
	recent recent
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{cfg: c, saved: c.Bank}
}

// Configure puts c in force. What was saved beyond the new bank is lost at the
// next call.
func (b *Budget) Configure(now time.Time, c BudgetConfig) {
	b.earn(now, 0)
	b.cfg = c
}

// First records a first attempt.
func (b *Budget) First(now time.Time) {
	b.recent.add(now, b.cfg.Window)
	b.earn(now, b.cfg.Ratio)
}

// Take spends one retry, or returns false if the budget is exhausted. Then the
// failure must be reported to the caller instead of being retried.
func (b *Budget) Take(now time.Time) bool {
	b.earn(now, 0)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved returns the number of retries that may be spent at once.
func (b *Budget) Saved(now time.Time) float64 {
	b.earn(now, 0)
	return b.saved
}

// earn adds retries and the minimum rate since the last call. A clock that
// steps back earns nothing.
func (b *Budget) earn(now time.Time, retries float64) {
	if now.After(b.last) {
		if !b.last.IsZero() {
			retries += b.cfg.MinPerSecond * now.Sub(b.last).Seconds()
		}
		b.last = now
	}
	most := b.cfg.Bank
	if b.cfg.Window > 0 {
		most += b.cfg.Ratio * b.recent.sum(b.last, b.cfg.Window)
	}
	b.saved = min(b.saved+retries, most)
}
