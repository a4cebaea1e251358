package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/retry"
)

const (
	// plainRetryWait is how long a plain call waits at most for a retry that only the budget denies, and
	// plainRetryWaitShare the largest fraction of its remaining time that the wait may use. Peers
	// answer within milliseconds; the next round of requests may have to wait for 100 ms.
	plainRetryWait      = 250 * time.Millisecond
	plainRetryWaitShare = 0.4
)

// loanState is the borrowing of retries for one service.
type loanState struct {
	borrower *retry.Borrower
	// arrived is closed, and replaced, when borrowed retries allow a waiting request to retry.
	arrived chan struct{}
	// asked, gained and slowest describe the loans since the last log line: the number of peers asked,
	// the retries they lent, and the longest time until a loan arrived.
	asked   int
	gained  float64
	slowest time.Duration
}

// loansOf returns the borrowing for a service. The lock is held.
func (g *Gateway) loansOf(service string) *loanState {
	s := g.loans[service]
	if s == nil {
		s = &loanState{borrower: retry.NewBorrower(), arrived: make(chan struct{})}
		g.loans[service] = s
	}
	return s
}

// borrow asks peers for a retry of a request that goes on waiting for one, unless it is too early.
func (g *Gateway) borrow(c *call) {
	if g.opts.OnRetriesNeeded == nil {
		return
	}
	service := c.service.Name
	g.mu.Lock()
	now := time.Now()
	s := g.loansOf(service)
	ask, ok := s.borrower.Denied(now, c.ID, g.budget(service).Available(now), g.share.Config().Burst)
	g.mu.Unlock()
	if !ok {
		return
	}
	// The lock is not held: the peers' answers may need it.
	n := g.opts.OnRetriesNeeded(service, ask)
	g.opts.Metrics.CountRetryRequests(n)
	g.mu.Lock()
	defer g.mu.Unlock()
	s.asked += n
}

// endBorrowing records that a request doesn't wait for a retry any more.
func (g *Gateway) endBorrowing(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.loans[c.service.Name]; s != nil {
		s.borrower.Done(c.ID)
	}
}

// loanArrived returns a channel that is closed when borrowed retries of a service allow a retry.
func (g *Gateway) loanArrived(service string) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loansOf(service).arrived
}

// untilNextCheck returns when a waiting request looks at the budget of a service again, and may ask peers.
func (g *Gateway) untilNextCheck(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loansOf(service).borrower.UntilNextAsk(time.Now(), budgetPollInterval)
}

// LendRetries removes up to want retries from this instance's share of a service's budget, for another
// instance, and returns how many. It lends none while a request waits for one here.
func (g *Gateway) LendRetries(service string, want float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.routes.Load(); g.budgets[service] == nil && (t == nil || t.Service(service) == nil) {
		return 0
	}
	now := time.Now()
	if s := g.loans[service]; s != nil && s.borrower.Waiting(now) > 0 {
		return 0
	}
	lent := g.budget(service).Lend(now, want)
	g.opts.Metrics.CountLent(lent)
	return lent
}

// ReceiveRetries adds retries that another instance has lent in answer to the request id.
func (g *Gateway) ReceiveRetries(service string, id uint32, retries float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.loans[service]
	if s == nil {
		return
	}
	now := time.Now()
	l := s.borrower.Accept(now, id, retries)
	if l.Retries <= 0 {
		return
	}
	b := g.budget(service)
	b.Receive(now, l)
	s.gained += l.Retries
	s.slowest = max(s.slowest, retry.LoanHold-l.Until.Sub(now))
	g.opts.Metrics.CountBorrowed(l.Retries)
	if b.Available(now) >= 1 {
		close(s.arrived)
		s.arrived = make(chan struct{})
	}
}

// logLoans logs the retries that were borrowed since the last call.
func (g *Gateway) logLoans() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, s := range g.loans {
		if s.asked == 0 {
			continue
		}
		g.log.Info("retries borrowed", zap.String("service", service), zap.Float64("amount", s.gained), zap.Int("asked", s.asked),
			zap.Duration("wait", s.slowest), zap.Int("waiting", s.borrower.Waiting(time.Now())))
		s.asked, s.gained, s.slowest = 0, 0, 0
	}
}

// awaitPlainRetry is awaitRetry for a plain call, which has little time.
func (g *Gateway) awaitPlainRetry(ctx context.Context, c *call) bool {
	if g.opts.OnRetriesNeeded == nil {
		return g.mayRetry(ctx, c)
	}
	now := time.Now()
	share := time.Duration(float64(c.remaining(now)) * plainRetryWaitShare)
	return g.awaitRetry(ctx, c, now.Add(min(plainRetryWait, share)))
}
