package gateway

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/retry"
	"masticbank.example/core/routing"
)

// loanTransit is the time that a message between two instances takes.
const loanTransit = 3 * time.Millisecond

// newLendingGateways returns n gateways that lend each other retries of service "s".
func newLendingGateways(n int, slack float64) []*Gateway {
	all := make([]*Gateway, n)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range all {
		g := newLimitedGateway(slack, true)
		var peers []string
		for p := range n {
			if p != i {
				peers = append(peers, strconv.Itoa(p))
			}
		}
		g.opts.OnRetriesNeeded = func(service string, ask retry.Ask) int {
			chosen := retry.Choose(peers, ask.Peers, random.IntN)
			for _, name := range chosen {
				p, _ := strconv.Atoi(name)
				time.AfterFunc(loanTransit, func() {
					lent := all[p].LendRetries(service, ask.Each)
					time.AfterFunc(loanTransit, func() { g.ReceiveRetries(service, ask.ID, lent) })
				})
			}
			return len(chosen)
		}
		g.SetInstances(n)
		g.countFirst("s")
		all[i] = g
	}
	return all
}

func newWaitingCall(id string, left time.Duration) *call {
	c := &call{service: &routing.Service{Name: "s"}, deadline: time.Now().Add(left)}
	c.ID = id
	return c
}

// TestLoanWaitsForThePoll guards against requests that go on waiting after a peer has lent a retry: a plain
// call has little time.
func TestLoanWaitsForThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const plainTimeout = 600 * time.Millisecond
		all := newLendingGateways(4, 8)
		spendAll(all[0])
		start := time.Now()
		require.True(t, all[0].awaitRetry(t.Context(), newWaitingCall("a", time.Minute), start.Add(time.Second)))
		require.Equal(t, 2*loanTransit, time.Since(start))
		spendAll(all[0])

		// The next round may follow only after a while.
		start = time.Now()
		require.True(t, all[0].awaitPlainRetry(t.Context(), newWaitingCall("b", plainTimeout)))
		require.LessOrEqual(t, time.Since(start), plainRetryWait)
	})
}

// TestLateRejectionGetsNoLoan guards against streams that end because their replica rejected them late: what is left
// of the time for which their client waits is enough for a loan.
func TestLateRejectionGetsNoLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newLendingGateways(4, 8)
		spendAll(all[0])
		require.True(t, all[0].awaitRetry(t.Context(), newWaitingCall("a", time.Minute), time.Now().Add(budgetPollInterval/2)))
	})
}

// TestLoansExceedTheBudgetOfAllInstances guards against loans that create retries: all instances together spend
// the slack's burst and no more, although one of them needs them all.
func TestLoansExceedTheBudgetOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, burst = 8, 8
		all := newLendingGateways(instances, 2*burst)
		allowed := 0
		for n := range 3 * burst {
			if all[0].awaitRetry(t.Context(), newWaitingCall(strconv.Itoa(n), time.Minute), time.Now().Add(time.Second)) {
				allowed++
			}
		}
		// Meanwhile a quarter of the slack is added in each window, and 0.08 by each first attempt.
		const waited = 3 * burst * time.Second
		require.LessOrEqual(t, float64(allowed), burst+0.25*2*burst*(waited.Seconds()/10)+0.08*instances)
		require.GreaterOrEqual(t, allowed, burst)
	})
}

// TestInstanceInNeedLendsItsRetries guards against instances that lend what their own requests wait for, and
// against budgets that peers create for services that do not exist.
func TestInstanceInNeedLendsItsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLimitedGateway(8, true)
		g.SetInstances(8)
		require.Zero(t, g.LendRetries("other", 1))
		require.Empty(t, g.budgets)
		g.countFirst("s")
		g.opts.OnRetriesNeeded = func(string, retry.Ask) int { return 0 }
		c := newWaitingCall("a", time.Minute)
		require.Equal(t, deniedBudget, g.retryDenial(t.Context(), c))
		require.Zero(t, g.LendRetries("s", 1))
		g.endBorrowing(c)
		require.InDelta(t, 0.58, g.LendRetries("s", 1), 1e-9)
		g.ReceiveRetries("s", 77, 1)
		require.Less(t, g.availableRetries("s"), 1.0, "a loan that was not asked for")
	})
}
