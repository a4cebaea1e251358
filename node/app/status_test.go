package app

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/record"
	"masticbank.example/core/revision"
	"masticbank.example/node/follower"
	"masticbank.example/node/logstream"
)

// unavailableLog fails every read and closes second when the second read begins.
type unavailableLog struct {
	logstream.Log
	reads  int
	second chan struct{}
}

func (l *unavailableLog) Read(context.Context, string, uint64, int, time.Duration) (record.Batch, error) {
	l.reads++
	if l.reads == 2 {
		close(l.second)
	}
	return record.Batch{}, logstream.ErrUnavailable
}

// TestLogReason checks the reason shown for an unavailable log before and after a
// configuration is active.
func TestLogReason(t *testing.T) {
	l := &unavailableLog{second: make(chan struct{})}
	a := &App{follower: follower.New(follower.Options{Log: l})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.follower.Run(ctx) }()
	<-l.second
	require.Equal(t, string(revision.ReasonUnavailable), a.logReason())
	a.state.revision.Store(1)
	require.Equal(t, reasonLogUnavailable, a.logReason())
	cancel()
	require.Error(t, <-done)
}
