package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPullWaitsForTheOtherWay leaves a new revision some time to come by itself, also
// while revisions follow each other.
func TestPullWaitsForTheOtherWay(t *testing.T) {
	const delay = 400 * time.Millisecond
	now := time.Unix(1000, 0)
	var p pullState
	require.True(t, (&pullState{}).waited(now, 0))
	require.False(t, p.waited(now, delay))
	require.False(t, p.waited(now.Add(399*time.Millisecond), delay))
	require.True(t, p.waited(now.Add(delay), delay))
	p.behindSince = time.Time{}
	require.False(t, p.waited(now.Add(delay), delay))
}
