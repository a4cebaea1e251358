package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/standin/fleet"
)

// The outcomes reported to clients are compared with the records of the stand-ins:
// a recorded order that was only reported as not run, a completed order without a
// record and a completed request without a step are counted. Unsent orders and
// orders with differing reports are not.
func TestChecksCompareReportedWithRecorded(t *testing.T) {
	c := &client{runID: "r"}
	order := &Flow{Kind: Order}
	chat := &Flow{Kind: Chat}
	orderSample := func(key string, outcome Outcome, execution string) sample {
		return sample{arrival: &arrival{flow: order, orderKey: key}, outcome: outcome, execution: execution}
	}
	samples := []sample{
		orderSample("done", Completed, "ran"),
		orderSample("lost", Completed, "ran"),
		orderSample("refused", Refused, executionNotRun),
		orderSample("false", Refused, executionNotRun),
		orderSample("false", Refused, executionNotRun),
		orderSample("later-done", Refused, executionNotRun),
		orderSample("later-done", Completed, "ran"),
		orderSample("unknown", Failed, "unknown"),
		orderSample("unknown", Refused, executionNotRun),
		orderSample("unsent", Unsent, ""),
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
	c.collectReported(samples).compare(records, &got)
	require.Equal(t, Checks{OrdersLost: 1, NotRun: 4, FalselyNotRun: 2, Unseen: 1}, got)

	r := Result{Checks: &got, Phases: []PhaseResult{{
		Name: "p", Summary: Summary{All: Group{Outcomes: map[Outcome]int{Wrong: 1, Completed: 3}}},
	}}}
	require.Len(t, r.Defects(), 4)
	require.Empty(t, (&Result{Checks: &Checks{NotRun: 5}}).Defects())
}
