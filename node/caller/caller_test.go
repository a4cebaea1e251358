package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/caller"
)

func TestCheckIsUpToDate(t *testing.T) {
	require.NoError(t, caller.Check(context.Background()))
	left := false
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx := caller.WithConnection(base, func() {
		if left {
			cancel()
		}
	})
	require.NoError(t, caller.Check(ctx))
	left = true
	require.NoError(t, ctx.Err())
	detached := context.WithoutCancel(ctx)
	require.NoError(t, caller.Check(detached))
	require.ErrorIs(t, caller.Check(ctx), context.Canceled)
	require.NoError(t, caller.Check(detached), "work that goes on without its client")
}

// lateTimer is a context whose deadline has passed and whose timer has not run yet.
type lateTimer struct{ context.Context }

func (lateTimer) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestDeadlineIsNotWaitedFor guards against a request that is sent after its deadline because the
// timer of its context runs late.
func TestDeadlineIsNotWaitedFor(t *testing.T) {
	require.ErrorIs(t, caller.Check(lateTimer{context.Background()}), context.DeadlineExceeded)
}
