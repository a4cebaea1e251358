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

// awayLog fails every read and tells when the second one begins.
type awayLog struct {
	logstream.Log
	reads  int
	second chan struct{}
}

func (l *awayLog) Read(context.Context, string, uint64, int, time.Duration) (record.Batch, error) {
	l.reads++
	if l.reads == 2 {
		close(l.second)
	}
	return record.Batch{}, logstream.ErrUnavailable
}

// TestLogReason reads a log that is away, before and after a configuration is in
// force.
func TestLogReason(t *testing.T) {
	l := &awayLog{second: make(chan struct{})}
	a := &App{follower: follower.New(follower.Options{Log: l})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.follower.Run(ctx) }()
	<-l.second
	require.Equal(t, string(revision.ReasonUnavailable), a.logReason())
	a.state.revision.Store(1)
	require.Equal(t, reasonLogAway, a.logReason())
	cancel()
	require.Error(t, <-done)
}
