package forward_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/forward"
)

func always() bool { return true }
func never() bool  { return false }

var outcomes = []forward.Outcome{forward.Answered, forward.Failed, forward.Rejected, forward.Unsent, forward.Lost}

// TestHistories checks the promises over random outcomes: requests that may not
// be repeated run once at most, others on MaxRuns replicas at most, and Refuse is
// said only when nothing may have run.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := forward.History{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:    rapid.IntRange(1, 3).Draw(t, "max runs"),
		}
		ran := 0
		for {
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			if o == forward.Answered || o == forward.Failed || o == forward.Lost {
				ran++
			}
			next := h.Step(o, always)
			limit := 1
			if h.Repeatable {
				limit = h.MaxRuns
			}
			require.LessOrEqual(t, ran, max(1, limit))
			require.LessOrEqual(t, h.Sends, forward.MaxSends)
			if next == forward.Refuse {
				require.Zero(t, ran)
			}
			if next == forward.Deliver {
				require.Contains(t, []forward.Outcome{forward.Answered, forward.Failed}, o)
			}
			if next != forward.Retry {
				return
			}
		}
	})
}

func TestDecisions(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		outcome    forward.Outcome
		budget     func() bool
		want       forward.Next
	}{
		{"a whole answer is delivered", false, forward.Answered, never, forward.Deliver},
		{"a repeatable failure is tried again", true, forward.Failed, always, forward.Retry},
		{"a failure is delivered when the budget is spent", true, forward.Failed, never, forward.Deliver},
		{"an order that failed is delivered", false, forward.Failed, always, forward.Deliver},
		{"an order without an answer is not repeated", false, forward.Lost, always, forward.GiveUp},
		{"an order that was rejected goes to another replica", false, forward.Rejected, always, forward.Retry},
		{"an order that was not sent goes to another replica", false, forward.Unsent, always, forward.Retry},
		{"a rejection without budget is refused", false, forward.Rejected, never, forward.Refuse},
		{"a lost lookup is repeated", true, forward.Lost, always, forward.Retry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := forward.History{Repeatable: c.repeatable, MaxRuns: 2}
			require.Equal(t, c.want, h.Step(c.outcome, c.budget))
		})
	}
}
