// Package retry decides whether and when a failed attempt is retried. Budget limits the
// retries of one upstream group relative to its first attempts, and Backoff spreads
// them in time. Neither reads a clock or a random source.
package retry

import (
	"slices"
	"time"
)

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
//
// Budgets of one group may lend each other retries. As a loan can be spent for LoanHold
// only and was earned before, the sum over all budgets keeps these bounds, with the
// minimum rate counted for LoanHold longer.
type Budget struct {
	cfg       BudgetConfig
	available float64 // own retries
	last      time.Time
	firsts    windowCounter
	borrowed  []Loan
}

const (
	// LoanHold is how long after it was asked for a borrowed retry may be spent. A longer time
	// would let a window spend more of what was earned before it.
	LoanHold = time.Second
	// minLoan is the smallest loan, in retries, that is worth a message.
	minLoan = 0.02
)

// Loan is a number of borrowed retries, which may be fractional, until when they may be spent.
type Loan struct {
	Retries float64
	Until   time.Time
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

// TrySpend spends one retry, borrowed ones first. It returns false if the budget is exhausted;
// the failure must then be reported to the client instead of being retried.
func (b *Budget) TrySpend(now time.Time) bool {
	if b.Available(now) < 1 {
		return false
	}
	price := 1.0
	for i := range b.borrowed {
		paid := min(price, b.borrowed[i].Retries)
		b.borrowed[i].Retries -= paid
		price -= paid
	}
	b.available = max(b.available-price, 0)
	return true
}

// maxHeldFraction is the fraction of the window for which a retry may be held and still be used or given
// back. While it is held, the budget refills beyond what it could hold otherwise.
const maxHeldFraction = 0.5

// Expired reports whether a retry that was spent at spentAt has been held for too long to be used.
func (b *Budget) Expired(now, spentAt time.Time) bool {
	return now.Sub(spentAt).Seconds() > maxHeldFraction*b.cfg.Window.Seconds()
}

// Return gives back a retry that was spent at spentAt and reached no replica. One that was held for
// long is lost.
func (b *Budget) Return(now, spentAt time.Time) {
	returned := 0.0
	if !b.Expired(now, spentAt) {
		returned = 1
	}
	b.refill(now, returned)
}

// Available returns the number of retries that are available now, borrowed ones included.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now, 0)
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l Loan) bool { return l.Retries <= 0 || !now.Before(l.Until) })
	sum := b.available
	for _, l := range b.borrowed {
		sum += l.Retries
	}
	return sum
}

// Lend removes up to want retries from the budget, for another one of the same group, and returns how
// many. Borrowed retries aren't lent again. What the budget could not hold until the loan
// expires is not lent, and lost if anything is.
func (b *Budget) Lend(now time.Time, want float64) float64 {
	b.refill(now, 0)
	held := min(b.available, b.maximum(now.Add(LoanHold)))
	if min(want, held) < minLoan {
		return 0
	}
	lent := min(want, held)
	b.available = held - lent
	return lent
}

// Receive adds borrowed retries.
func (b *Budget) Receive(now time.Time, l Loan) {
	if l.Retries > 0 && now.Before(l.Until) {
		b.borrowed = append(b.borrowed, l)
	}
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
	b.available = min(b.available+retries, b.maximum(b.last))
}

// maximum returns the number of own retries that the budget may hold at a time, as far as first attempts
// are known.
func (b *Budget) maximum(at time.Time) float64 {
	if b.cfg.Window <= 0 {
		return b.cfg.Burst
	}
	return b.cfg.Burst + b.cfg.Ratio*b.firsts.sum(at, b.cfg.Window)
}
