package retry

import (
	"math"
	"time"
)

const (
	// minAskInterval is the shortest time between two rounds of requests for retries of one group,
	// maxAskInterval the longest: each round that brings too little doubles it.
	minAskInterval = 100 * time.Millisecond
	maxAskInterval = 800 * time.Millisecond
	// waitingExpiry is how long a request counts as waiting after its retry was denied. Waiting
	// requests ask at least every 130 ms.
	waitingExpiry = 300 * time.Millisecond
	// minAskedPeers and maxAskedPeers bound the peers that are asked in one round.
	minAskedPeers = 3
	maxAskedPeers = 16
	// askedFactor is the ratio of the retries that are asked for to those that are needed, as some
	// peers have none.
	askedFactor = 1.5
)

// Ask is one round of requests for retries to peers.
type Ask struct {
	// ID identifies the round.
	ID uint32
	// Peers is how many peers are asked, Each how many retries each of them is asked for.
	Peers int
	Each  float64
}

// round is an Ask whose loans may still arrive.
type round struct {
	Ask
	at time.Time
	// gained is the sum of its loans, needed the retries that it was to bring.
	gained, needed float64
}

// Borrower decides when an instance borrows retries of one group from its peers, and how many. It
// borrows only for requests that wait. It is not safe for concurrent use.
type Borrower struct {
	// waiting holds when the retry of each waiting request was last denied.
	waiting map[string]time.Time
	// rounds holds the rounds of the last LoanHold, in order.
	rounds   []round
	lastID   uint32
	lastAt   time.Time
	interval time.Duration
}

// NewBorrower returns a Borrower for one group.
func NewBorrower() *Borrower { return &Borrower{waiting: map[string]time.Time{}} }

// Denied records that the budget denies the retry of a request that goes on waiting for it. It returns
// whom to ask now, if anyone. available is what the budget holds and share what the full budget of a
// peer does.
func (b *Borrower) Denied(now time.Time, request string, available, share float64) (Ask, bool) {
	b.waiting[request] = now
	if b.untilNextAsk(now) > 0 {
		return Ask{}, false
	}
	need := float64(b.Waiting(now)) - available
	if need <= 0 {
		return Ask{}, false
	}
	b.interval = b.nextInterval(now)
	b.lastAt = now
	b.lastID++
	peers := maxAskedPeers
	if share > 0 {
		peers = int(math.Ceil(min(max(askedFactor*need/share, minAskedPeers), maxAskedPeers)))
	}
	ask := Ask{ID: b.lastID, Peers: peers, Each: max(askedFactor*need/float64(peers), minLoan)}
	b.rounds = append(b.rounds, round{Ask: ask, at: now, needed: need})
	return ask, true
}

func (b *Borrower) untilNextAsk(now time.Time) time.Duration {
	if b.lastAt.IsZero() {
		return 0
	}
	return b.interval - now.Sub(b.lastAt)
}

// UntilNextAsk returns the time until peers may be asked again, but at most limit, and limit if they may be
// asked now.
func (b *Borrower) UntilNextAsk(now time.Time, limit time.Duration) time.Duration {
	if d := b.untilNextAsk(now); d > 0 {
		return min(d, limit)
	}
	return limit
}

// nextInterval returns the time until the round after the one that begins now.
func (b *Borrower) nextInterval(now time.Time) time.Duration {
	if b.lastAt.IsZero() || now.Sub(b.lastAt) > 2*maxAskInterval {
		return minAskInterval
	}
	if b.expireRounds(now); len(b.rounds) > 0 {
		if last := b.rounds[len(b.rounds)-1]; last.gained >= min(1, last.needed) {
			return minAskInterval
		}
	}
	return min(2*b.interval, maxAskInterval)
}

// Done records that a request doesn't wait for a retry any more.
func (b *Borrower) Done(request string) { delete(b.waiting, request) }

// Waiting returns the number of requests that wait for a retry.
func (b *Borrower) Waiting(now time.Time) int {
	for request, at := range b.waiting {
		if now.Sub(at) > waitingExpiry {
			delete(b.waiting, request)
		}
	}
	return len(b.waiting)
}

// Accept returns the loan that an answer to the round id brings: nothing if it was not asked for or comes too late.
func (b *Borrower) Accept(now time.Time, id uint32, retries float64) Loan {
	b.expireRounds(now)
	for i := range b.rounds {
		r := &b.rounds[i]
		if r.ID != id || r.Peers <= 0 || !(retries > 0) {
			continue
		}
		r.Peers--
		l := Loan{Retries: min(retries, r.Each), Until: r.at.Add(LoanHold)}
		r.gained += l.Retries
		return l
	}
	return Loan{}
}

func (b *Borrower) expireRounds(now time.Time) {
	for len(b.rounds) > 0 && now.Sub(b.rounds[0].at) >= LoanHold {
		b.rounds = b.rounds[1:]
	}
}

// Choose returns n of the peers at random. random returns a uniform number below its argument. The
// order of peers changes.
func Choose(peers []string, n int, random func(below int) int) []string {
	n = min(n, len(peers))
	for i := range n {
		j := i + random(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}
