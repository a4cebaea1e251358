// Package forward decides what follows the outcome of sending a request to a replica:
// deliver the response, retry on another replica, or give up, and whether the client is
// informed that the request did not run or that it may have run.
package forward

// Outcome is the result of sending a request to one replica.
type Outcome int

// Outcomes of sending a request.
const (
	// Responded means a complete response that is not a server error.
	Responded Outcome = iota
	// Failed means a complete response with a server error from a replica that ran the
	// request.
	Failed
	// Rejected means that the replica states that the request did not run.
	Rejected
	// Unsent means that no byte of the request was sent.
	Unsent
	// Lost means that the request was sent and no complete response was received. The
	// request may have run.
	Lost
	// Withheld means that the request was not sent although the replica could be reached:
	// right before, it was found that it must not be. It says nothing about the replica and
	// uses up no retry.
	Withheld
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "rejected", "unsent", "lost", "withheld"}[o]
}

// Decision is what to do after an outcome.
type Decision int

// Decisions.
const (
	// Deliver forwards the response to the client.
	Deliver Decision = iota
	// Retry sends the request to another replica.
	Retry
	// Refuse informs the client that the request did not run.
	Refuse
	// GiveUp informs the client that the request may have run.
	GiveUp
)

// String returns the name used in logs.
func (d Decision) String() string {
	return [...]string{"deliver", "retry", "refuse", "give_up"}[d]
}

// MaxSends is the maximum number of replicas that one request is sent to before its answer has begun,
// including those that rejected it, because each retry counts against the retry budget.
const MaxSends = 4

// MaxWithheld is the maximum number of times that one request is withheld before it ends. Each
// time something has changed since its replica was chosen.
const MaxWithheld = 4

// History records the outcomes of one request so far.
type History struct {
	// Idempotent marks a request that may run more than once.
	Idempotent bool
	// MaxRuns is the maximum number of replicas that may run the request.
	MaxRuns int
	// Sends is the number of replicas tried, Runs the number of those that may have run
	// the request.
	Sends, Runs int
	// Arrivals is the number of replicas that may have received the request, Paid the number of
	// retries that were spent for it. Each arrival beyond the first needs one.
	Arrivals, Paid int
	// Withheld is the number of times that the request was withheld.
	Withheld int
	// Begun marks a request whose client has a part of the answer, which cannot be refused any more. Its
	// sends are bounded by the retry budget and by the time for which its client waits.
	Begun bool
}

// Step records an outcome and returns the decision. spendRetry spends a retry and
// returns true if the budget allows one; it is called only when a retry is wanted that is not paid
// yet.
func (h *History) Step(o Outcome, spendRetry func() bool) Decision {
	if o == Withheld {
		return h.stepWithheld()
	}
	h.Sends++
	if o != Unsent {
		h.Arrivals++
	}
	if o == Responded || o == Failed || o == Lost {
		h.Runs++
	}
	if o == Responded {
		return Deliver
	}
	if h.mayRetry() && h.payNext(spendRetry) {
		return Retry
	}
	switch {
	case o == Failed:
		return Deliver
	case h.Runs > 0:
		return GiveUp
	default:
		return Refuse
	}
}

// payNext spends a retry for the next send unless none is needed: no replica has received the request
// yet, or the last retry that was spent reached none.
func (h *History) payNext(spendRetry func() bool) bool {
	if h.Paid >= h.Arrivals {
		return true
	}
	if !spendRetry() {
		return false
	}
	h.Paid++
	return true
}

// Unused returns the number of retries that were spent and are not needed, and forgets them. more is
// set if the request is to be sent once more.
func (h *History) Unused(more bool) int {
	needed := max(0, h.Arrivals-1)
	if more {
		needed = h.Arrivals
	}
	n := max(0, h.Paid-needed)
	h.Paid -= n
	return n
}

// stepWithheld chooses again, unless that happened too often.
func (h *History) stepWithheld() Decision {
	h.Withheld++
	switch {
	case h.Withheld < MaxWithheld:
		return Retry
	case h.Runs > 0:
		return GiveUp
	default:
		return Refuse
	}
}

func (h *History) mayRetry() bool { return h.Limit() == NoLimit }

// Limit is what bounds the sends of one request, besides the retry budget and its deadline.
type Limit int

// Limits of a request.
const (
	// NoLimit means that the request may be sent again.
	NoLimit Limit = iota
	// SendLimit means that MaxSends replicas were tried.
	SendLimit
	// RunLimit means that the request may have run on as many replicas as it may.
	RunLimit
	// WithheldLimit means that the request was withheld MaxWithheld times.
	WithheldLimit
)

// String returns the name used in logs.
func (l Limit) String() string { return [...]string{"", "sends", "runs", "withheld"}[l] }

// Limit returns the limit that the request has reached, if any.
func (h *History) Limit() Limit {
	switch {
	case h.Withheld >= MaxWithheld:
		return WithheldLimit
	case h.Sends >= MaxSends && !h.Begun:
		return SendLimit
	case h.Runs > 0 && (!h.Idempotent || h.Runs >= h.MaxRuns):
		return RunLimit
	default:
		return NoLimit
	}
}

// MayRetryLost reports whether the request may be sent again if the send in progress is lost.
func (h *History) MayRetryLost() bool {
	next := *h
	next.Sends++
	next.Runs++
	return next.mayRetry()
}

// MayHaveRun reports whether any replica may have run the request.
func (h *History) MayHaveRun() bool { return h.Runs > 0 }
