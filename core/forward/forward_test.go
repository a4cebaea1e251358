package forward_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/forward"
)

func alwaysAllowed() bool { return true }
func neverAllowed() bool  { return false }

var outcomes = []forward.Outcome{forward.Responded, forward.Failed, forward.Rejected, forward.Unsent, forward.Lost, forward.Withheld}

// TestHistories checks over random outcomes that a request that may not be repeated
// runs at most once, that others run on at most MaxRuns replicas, and that the decision
// is Refuse only if no replica may have run the request.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := forward.History{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			MaxRuns:    rapid.IntRange(1, 3).Draw(t, "max runs"),
		}
		ran := 0
		for {
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			if o == forward.Responded || o == forward.Failed || o == forward.Lost {
				ran++
			}
			decision := h.Step(o, alwaysAllowed)
			limit := 1
			if h.Idempotent {
				limit = h.MaxRuns
			}
			require.LessOrEqual(t, ran, max(1, limit))
			require.LessOrEqual(t, h.Sends, forward.MaxSends)
			if decision == forward.Refuse {
				require.Zero(t, ran)
			}
			if decision == forward.Deliver {
				require.Contains(t, []forward.Outcome{forward.Responded, forward.Failed}, o)
			}
			if decision != forward.Retry {
				return
			}
		}
	})
}

// TestRetriesThatReachNoReplicaArePaid guards against retries that are spent for attempts that reached
// no replica, and against attempts that reach one more without a retry. Runs in progress are given up
// at random for a replacement that is paid before, and requests end while they wait for a replica.
func TestRetriesThatReachNoReplicaArePaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := forward.History{Idempotent: true, MaxRuns: forward.MaxSends, Begun: rapid.Bool().Draw(t, "begun")}
		arrivals, paid := 0, 0
		for {
			if h.MayRetryLost() && paid <= arrivals && rapid.Bool().Draw(t, "replaced") {
				h.Paid++
				paid++
			}
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			if o != forward.Unsent && o != forward.Withheld {
				arrivals++
			}
			require.LessOrEqual(t, arrivals-1, paid)
			decision := h.Step(o, func() bool {
				require.Less(t, paid, arrivals, "the next arrival is paid")
				allowed := rapid.Bool().Draw(t, "allowed")
				if allowed {
					paid++
				}
				return allowed
			})
			needed := arrivals
			if decision != forward.Retry {
				needed = max(0, arrivals-1)
			}
			require.LessOrEqual(t, needed, paid)
			paid -= h.Unused(decision == forward.Retry)
			require.Equal(t, needed, paid)
			if decision != forward.Retry {
				return
			}
			if rapid.IntRange(0, 5).Draw(t, "ends while it waits") == 0 {
				paid -= h.Unused(false)
				require.Equal(t, max(0, arrivals-1), paid)
				return
			}
		}
	})
}

// TestWithheldRequestUsesNothingUp guards against a request that is charged for sends that did not
// happen, and against one that is withheld forever.
func TestWithheldRequestUsesNothingUp(t *testing.T) {
	h := forward.History{MaxRuns: 1}
	for range forward.MaxWithheld - 1 {
		require.Equal(t, forward.Retry, h.Step(forward.Withheld, neverAllowed))
	}
	require.Zero(t, h.Sends)
	require.False(t, h.MayHaveRun())
	require.Equal(t, forward.Refuse, h.Step(forward.Withheld, neverAllowed))
	h = forward.History{MaxRuns: 1, Runs: 1, Withheld: forward.MaxWithheld - 1}
	require.Equal(t, forward.GiveUp, h.Step(forward.Withheld, neverAllowed))
}

func TestDecisions(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		outcome    forward.Outcome
		budget     func() bool
		want       forward.Decision
	}{
		{"a complete response is delivered", false, forward.Responded, neverAllowed, forward.Deliver},
		{"an idempotent request that failed is retried", true, forward.Failed, alwaysAllowed, forward.Retry},
		{"a failure is delivered when the budget is spent", true, forward.Failed, neverAllowed, forward.Deliver},
		{"a non-idempotent request that failed is delivered", false, forward.Failed, alwaysAllowed, forward.Deliver},
		{"a non-idempotent request without a response is not retried", false, forward.Lost, alwaysAllowed, forward.GiveUp},
		{"a non-idempotent request that was rejected is retried", false, forward.Rejected, alwaysAllowed, forward.Retry},
		{"a non-idempotent request that was not sent is retried", false, forward.Unsent, alwaysAllowed, forward.Retry},
		{"a rejection without budget is refused", false, forward.Rejected, neverAllowed, forward.Refuse},
		{"an idempotent request without a response is retried", true, forward.Lost, alwaysAllowed, forward.Retry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := forward.History{Idempotent: c.idempotent, MaxRuns: 2}
			require.Equal(t, c.want, h.Step(c.outcome, c.budget))
		})
	}
}

func TestMayRetryLost(t *testing.T) {
	for name, c := range map[string]struct {
		history forward.History
		want    bool
	}{
		"first run":             {forward.History{Idempotent: true, MaxRuns: 2}, true},
		"last run":              {forward.History{Idempotent: true, MaxRuns: 2, Sends: 1, Runs: 1}, false},
		"may run once":          {forward.History{MaxRuns: 2}, false},
		"sent too often":        {forward.History{Idempotent: true, MaxRuns: 9, Sends: forward.MaxSends - 1}, false},
		"rejected in the first": {forward.History{Idempotent: true, MaxRuns: 2, Sends: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			before := c.history
			require.Equal(t, c.want, c.history.MayRetryLost())
			require.Equal(t, before, c.history)
		})
	}
}

// TestRejectionsEndABegunAnswer guards against answers that are closed in the middle, while their client
// waits and retries are left, because replicas rejected the rest.
func TestRejectionsEndABegunAnswer(t *testing.T) {
	h := forward.History{Idempotent: true, MaxRuns: 2, Begun: true}
	require.Equal(t, forward.Retry, h.Step(forward.Lost, alwaysAllowed))
	for range 3 * forward.MaxSends {
		require.Equal(t, forward.Retry, h.Step(forward.Rejected, alwaysAllowed))
		require.True(t, h.MayRetryLost() == (h.Runs+1 < h.MaxRuns))
	}
	require.Equal(t, h.Arrivals, h.Paid, "each arrival but the first is paid, and the next one")
	require.Equal(t, forward.GiveUp, h.Step(forward.Rejected, neverAllowed))
	h = forward.History{Idempotent: true, MaxRuns: 2, Runs: 1, Begun: true}
	require.Equal(t, forward.GiveUp, h.Step(forward.Lost, alwaysAllowed))
}
