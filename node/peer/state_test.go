package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPullWaitsForOtherDelivery checks that a new revision is not requested
// from a peer before it had the delay to arrive in another way, even if
// revisions follow each other.
func TestPullWaitsForOtherDelivery(t *testing.T) {
	const delay = 400 * time.Millisecond
	now := time.Unix(1000, 0)
	var p pullState
	require.True(t, (&pullState{}).delayElapsed(now, 0))
	require.False(t, p.delayElapsed(now, delay))
	require.False(t, p.delayElapsed(now.Add(399*time.Millisecond), delay))
	require.True(t, p.delayElapsed(now.Add(delay), delay))
	p.behindSince = time.Time{}
	require.False(t, p.delayElapsed(now.Add(delay), delay))
}
