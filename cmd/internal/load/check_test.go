package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/standin/fleet"
)

// What callers were told is compared with what the stand-ins recorded.
func TestChecksOfWhatCallersWereTold(t *testing.T) {
	c := &client{runID: "r"}
	order := &Flow{Kind: Order}
	chat := &Flow{Kind: Chat}
	told := func(key string, outcome Outcome, execution string) sample {
		return sample{arrival: &arrival{flow: order, orderKey: key}, outcome: outcome, execution: execution}
	}
	samples := []sample{
		told("done", Completed, "ran"),
		told("lost", Completed, "ran"),
		told("refused", Refused, executionNotRun),
		told("false", Refused, executionNotRun),
		told("false", Refused, executionNotRun),
		told("later-done", Refused, executionNotRun),
		told("later-done", Completed, "ran"),
		told("unknown", Failed, "unknown"),
		told("unknown", Refused, executionNotRun),
		told("unsent", Unsent, ""),
		{arrival: &arrival{flow: chat}, outcome: Refused, execution: executionNotRun, requestID: "m1"},
		{arrival: &arrival{flow: chat}, outcome: Refused, execution: executionNotRun, requestID: "m2"},
		{arrival: &arrival{flow: chat}, outcome: Failed, execution: "unknown", requestID: "m3"},
		{arrival: &arrival{flow: chat}, outcome: Completed, execution: "ran", requestID: "m4"},
		{arrival: &arrival{flow: chat}, outcome: Completed, requestID: "m5"},
	}
	records := fleet.Records{
		Orders: map[string]int{"r-done": 1, "r-false": 1, "r-later-done": 1, "r-unknown": 1},
		Ran:    map[string]bool{"m2": true, "m3": true, "m4": true},
	}
	var got Checks
	c.whatCallersWereTold(samples).compare(records, &got)
	require.Equal(t, Checks{OrdersLost: 1, NotRun: 4, FalselyNotRun: 2, Unseen: 1}, got)

	r := Result{Checks: &got, Phases: []PhaseResult{{
		Name: "p", Summary: Summary{All: Group{Outcomes: map[Outcome]int{Wrong: 1, Completed: 3}}},
	}}}
	require.Len(t, r.Defects(), 4)
	require.Empty(t, (&Result{Checks: &Checks{NotRun: 5}}).Defects())
}
