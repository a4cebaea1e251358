package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Only events over a while speak for a request, not the first ones of a run.
func TestProgressOfARun(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &stream{}
	s.beginRun(start)
	require.False(t, s.progressed())
	s.runFirstAt, s.lastAt = start, start.Add(progressTime-1)
	require.False(t, s.progressed())
	s.lastAt = start.Add(progressTime)
	require.True(t, s.progressed())
	s.beginRun(s.lastAt)
	require.False(t, s.progressed())
}
