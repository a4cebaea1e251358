package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Only events over progressTime count as progress, not just the first events of a run.
func TestProgressOfARun(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &stream{}
	s.beginRun(start)
	require.False(t, s.progressed())
	s.runFirstEvent, s.lastProgress = start, start.Add(progressTime-1)
	require.False(t, s.progressed())
	s.lastProgress = start.Add(progressTime)
	require.True(t, s.progressed())
	s.beginRun(s.lastProgress)
	require.False(t, s.progressed())
}
