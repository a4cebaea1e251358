package order_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/core/order"
	"masticbank.example/core/record"
)

// An attempt that was paused before its claim was appended must not send its call if a
// later call with the same key got the result not_run in the meantime.
func TestReleaseInvalidatesEarlierAttempts(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	table := order.NewTable(policy)
	offset := uint64(0)
	write := func(effects ...order.Effect) {
		for _, e := range effects {
			var r record.Record
			switch e := e.(type) {
			case order.AppendClaim:
				r = e.Record
			case order.Append:
				r = e.Record
			default:
				continue
			}
			data, err := record.Encode(r)
			require.NoError(t, err)
			table.Apply(now, record.Batch{Next: offset + 1, Entries: []record.Entry{{Offset: offset, Data: data}}})
			offset++
		}
	}
	c := order.Call{Workspace: "w", Service: "s", Key: "k", Fingerprint: "f", Deadline: now.Add(callTimeout)}
	paused := order.NewAttempt(table, c, "paused", "a")
	pausedClaim := paused.Begin(now)
	repeat := order.NewAttempt(table, c, "repeat", "b")
	write(repeat.Begin(now)...)
	require.Equal(t, []order.Effect{order.Confirm{}}, repeat.Step(now, order.Wake))
	require.Equal(t, []order.Effect{order.Send{}}, repeat.Step(now, order.ConfirmSend))
	ended := repeat.HandleResponse(order.Response{Status: 503, Execution: execution.NotRun})
	require.Equal(t, execution.NotRun, ended[1].(order.Reply).Result.Execution)
	write(ended...)

	write(pausedClaim...)
	require.Equal(t,
		[]order.Effect{order.Reply{Result: order.Result{Execution: execution.Unknown, Reason: order.ReasonReleased}}},
		paused.Step(now, order.Wake))
	later := order.NewAttempt(table, c, "later", "a")
	write(later.Begin(now)...)
	require.Equal(t, []order.Effect{order.Confirm{}}, later.Step(now, order.Wake))

	c.Fingerprint = "other"
	reused := order.NewAttempt(table, c, "reused", "a")
	require.Equal(t,
		[]order.Effect{order.Reply{Result: order.Result{Execution: execution.NotRun, Reason: order.ReasonKeyReused}}},
		reused.Begin(now))
}

func TestKeyDate(t *testing.T) {
	date, ok := order.KeyDate("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") // RFC 9562, appendix A.6
	require.True(t, ok)
	require.Equal(t, "2022-02-22T19:22:22Z", date.UTC().Format(time.RFC3339))
	_, ok = order.KeyDate("919108f7-52d1-4320-9bac-f847db4148a8")
	require.False(t, ok)
}

func TestPolicyMustFitRetention(t *testing.T) {
	require.NoError(t, policy.Validate())
	long := policy
	long.AcceptanceWindow = policy.Retention - policy.DispatchWindow
	require.ErrorIs(t, long.Validate(), order.ErrPolicy)
}
