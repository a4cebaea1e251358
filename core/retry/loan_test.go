package retry

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The users' further grown deployment.
var grown = Limit{Ratio: 0.2, Slack: 362, Window: 10 * time.Second}

const grownInstances = 89

// lender is an instance that borrows from and lends to its peers.
type lender struct {
	*sharer
	borrower *Borrower
	waiting  []string
	// sent and received count the messages of requests for retries.
	sent, received int
}

func newLenders(l Limit, n int) []*lender {
	all := make([]*lender, n)
	for i := range all {
		all[i] = &lender{sharer: newSharer(l, epoch, true), borrower: NewBorrower()}
		all[i].setInstances(epoch, n)
	}
	return all
}

// poll lets each waiting request of instance i try to retry, and carries out what it asks of its peers.
// It returns the number of retries.
func poll(all []*lender, i int, now time.Time, random *rand.Rand) int {
	l := all[i]
	retries := 0
	for _, request := range append([]string(nil), l.waiting...) {
		if l.get(now).TrySpend(now) {
			l.borrower.Done(request)
			l.waiting = l.waiting[1:]
			retries++
			continue
		}
		ask, ok := l.borrower.Denied(now, request, l.get(now).Available(now), l.share.Config().Burst)
		if !ok {
			continue
		}
		var peers []string
		for p := range all {
			if p != i {
				peers = append(peers, strconv.Itoa(p))
			}
		}
		for _, name := range Choose(peers, ask.Peers, random.IntN) {
			p, _ := strconv.Atoi(name)
			l.sent++
			all[p].received++
			if all[p].borrower.Waiting(now) > 0 {
				continue
			}
			lent := all[p].get(now).Lend(now, ask.Each)
			l.get(now).Receive(now, l.borrower.Accept(now, ask.ID, lent))
		}
	}
	return retries
}

// TestInstanceCannotUseTheRetriesOfOthers guards against answers that end at one instance while the
// others have most of the retry budget left: one of 89 instances loses 40 streams, and one of 1,900, whose
// shares are less than one retry, loses 10.
func TestInstanceCannotUseTheRetriesOfOthers(t *testing.T) {
	for _, c := range []struct{ instances, streams int }{{grownInstances, 40}, {1900, 10}} {
		all := newLenders(grown, c.instances)
		random := rand.New(rand.NewPCG(1, 2))
		for n := range c.streams {
			all[0].waiting = append(all[0].waiting, fmt.Sprint(n))
		}
		const patience = 1500 * time.Millisecond
		for d := time.Duration(0); d < patience; d += minAskInterval {
			poll(all, 0, epoch.Add(d), random)
		}
		require.Empty(t, all[0].waiting)
	}
}

// TestExhaustedInstancesFloodEachOtherWithRequests guards against a storm of messages when the budget is
// spent at all instances at once: each sends at most 64 in the first second, four rounds, and at most
// 32 in each later one, and receives as many on average.
func TestExhaustedInstancesFloodEachOtherWithRequests(t *testing.T) {
	const firstSecond, laterSecond, seconds, polls = 64, 32, 10, 10
	l := grown
	l.Slack = 0
	all := newLenders(l, grownInstances)
	random := rand.New(rand.NewPCG(1, 2))
	for _, i := range all {
		for n := range 40 {
			i.waiting = append(i.waiting, fmt.Sprint(n))
		}
	}
	for second := range seconds {
		limit := laterSecond
		if second == 0 {
			limit = firstSecond
		}
		for p := range polls {
			for i := range all {
				require.Zero(t, poll(all, i, epoch.Add(time.Duration(second*polls+p)*time.Second/polls), random))
			}
		}
		for _, i := range all {
			require.LessOrEqual(t, i.sent, limit)
			require.LessOrEqual(t, i.received, 2*limit)
			i.sent, i.received = 0, 0
		}
	}
}

// TestLoansExceedTheLimit guards against loans that let all instances together make more retries in a
// window than the limit: they lend at random, loans are lost or late, and processes restart.
func TestLoansExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Ratio: rapid.Float64Range(0, 0.3).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"), Window: 10 * time.Second}
		now := epoch
		instances := rapid.IntRange(2, 30).Draw(t, "instances")
		all := newLenders(l, instances)
		one := func(name string) *lender { return all[rapid.IntRange(0, instances-1).Draw(t, name)] }
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s := one("restarts")
				s.sharer = newSharer(l, now, false)
				s.setInstances(now, instances)
			case 1:
				for _, s := range all[:rapid.IntRange(1, instances).Draw(t, "some")] {
					s.get(now).RecordFirst(now)
					firsts = append(firsts, now)
				}
			case 2, 3:
				until := now.Add(LoanHold)
				arrival := now.Add(time.Duration(rapid.IntRange(0, 1100).Draw(t, "transit")) * time.Millisecond)
				to, want := one("borrower"), rapid.Float64Range(0, 5).Draw(t, "want")
				lent := 0.0
				for _, s := range all {
					if s != to {
						lent += s.get(now).Lend(now, want)
					}
				}
				if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					now = arrival
					to.get(now).Receive(now, Loan{Retries: lent, Until: until})
				}
			default:
				for _, s := range all {
					for s.get(now).TrySpend(now) {
						retries = append(retries, now)
					}
				}
			}
		}
		within := func(list []time.Time, from, to time.Time) float64 {
			n := 0.0
			for _, at := range list {
				if !at.Before(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, at := range retries {
			end := at.Add(l.Window)
			counted := max(within(firsts, at, end), within(firsts, at.Add(-l.Window/2), at.Add(l.Window/2)), within(firsts, at.Add(-l.Window), at))
			require.LessOrEqual(t, within(retries, at, end), l.Ratio*counted+l.Slack+1e-6)
			c := all[0].share.Config()
			bound := c.Ratio*within(firsts, at.Add(-l.Window), end) + float64(instances)*(c.Burst+c.MinPerSecond*(l.Window+LoanHold).Seconds())
			require.LessOrEqual(t, within(retries, at, end), bound+1e-6)
		}
	})
}

// TestLoansRaiseWhatABudgetHolds guards against loans that let budgets hold more than their maximum for
// longer than LoanHold, or more than what the lenders gave up.
func TestLoansRaiseWhatABudgetHolds(t *testing.T) {
	cfg := BudgetConfig{Ratio: 0.5, Burst: 2, Window: 10 * time.Second}
	a, b := NewBudget(cfg), NewBudget(cfg)
	require.InDelta(t, 1.5, a.Lend(epoch, 1.5), 1e-9)
	require.InDelta(t, 0.5, a.Available(epoch), 1e-9)
	b.Receive(epoch, Loan{Retries: 1.5, Until: epoch.Add(LoanHold)})
	require.InDelta(t, 3.5, b.Available(epoch), 1e-9)
	require.InDelta(t, 2, b.Lend(epoch, 100), 1e-9, "borrowed retries are not lent again")
	require.Zero(t, b.Lend(epoch, 100))
	require.True(t, b.TrySpend(epoch))
	require.InDelta(t, 0.5, b.Available(epoch.Add(LoanHold-1)), 1e-9)
	require.Zero(t, b.Available(epoch.Add(LoanHold)))
	b.Receive(epoch.Add(LoanHold), Loan{Retries: 1, Until: epoch.Add(LoanHold)})
	require.Zero(t, b.Available(epoch.Add(LoanHold)), "it came too late")

	// What first attempts added expires with their window, lent or not.
	c := NewBudget(cfg)
	for range 10 {
		c.RecordFirst(epoch)
	}
	late := epoch.Add(cfg.Window - LoanHold/2)
	require.InDelta(t, 7, c.Available(late), 1e-9)
	require.InDelta(t, 1, c.Lend(late, 1), 1e-9)
	require.InDelta(t, 1, c.Available(late), 1e-9)
}

// TestUnaskedLoansCount guards against loans that nobody asked for, that are larger than asked, or that
// arrive twice or late.
func TestUnaskedLoansCount(t *testing.T) {
	b := NewBorrower()
	require.Zero(t, b.Accept(epoch, 1, 1))
	ask, ok := b.Denied(epoch, "r", 0.5, 2)
	require.True(t, ok)
	require.InDelta(t, 0.75, ask.Each*float64(ask.Peers), 1e-9)
	require.Zero(t, b.Accept(epoch, ask.ID+1, 1))
	require.Equal(t, Loan{Retries: ask.Each, Until: epoch.Add(LoanHold)}, b.Accept(epoch, ask.ID, 1000))
	require.Zero(t, b.Accept(epoch, ask.ID, -1))
	require.Zero(t, b.Accept(epoch.Add(LoanHold), ask.ID, ask.Each))
	for range ask.Peers {
		b.Accept(epoch, ask.ID, ask.Each)
	}
	require.Zero(t, b.Accept(epoch, ask.ID, ask.Each))
}

// TestLoansAreAskedForWithoutNeed guards against requests to peers for retries that nobody waits for, or
// that the budget holds.
func TestLoansAreAskedForWithoutNeed(t *testing.T) {
	b := NewBorrower()
	_, ok := b.Denied(epoch, "r", 1, 2)
	require.False(t, ok)
	_, ok = b.Denied(epoch, "r", 0, 2)
	require.True(t, ok)
	_, ok = b.Denied(epoch.Add(minAskInterval-1), "r", 0, 2)
	require.False(t, ok)
	require.Equal(t, 1, b.Waiting(epoch.Add(waitingExpiry)))
	b.Done("r")
	require.Zero(t, b.Waiting(epoch))
	b.Denied(epoch, "r", 0, 2)
	require.Zero(t, b.Waiting(epoch.Add(waitingExpiry+1)), "it has not asked again")
}
