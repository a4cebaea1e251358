package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"go.uber.org/zap"

	"masticbank.example/core/record"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/logstream"
	"masticbank.example/node/metrics"
	"masticbank.example/node/router"
	"masticbank.example/node/service"
)

// stubLog returns batch and err from every read.
type stubLog struct {
	logstream.Log
	batch record.Batch
	err   error
}

func (l *stubLog) Read(context.Context, string, uint64, int, time.Duration) (record.Batch, error) {
	return l.batch, l.err
}

// TestLogLagGauge checks that only a read that reaches the end of the stream resets
// the lag: a later read that returns records and one that fails do not.
func TestLogLagGauge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &stubLog{}
		a := &App{metrics: metrics.New(metrics.Options{}), configLog: &lagTracker{Log: l}}
		a.router = router.New(router.Options{Engines: httpjson.New(), Services: service.New(), Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.setGauges(ctx) }()
		_, _ = a.configLog.Read(ctx, "", 0, 1, 0)
		l.batch.Entries = []record.Entry{{}}
		time.Sleep(3 * time.Second)
		_, _ = a.configLog.Read(ctx, "", 0, 1, 0)
		l.batch.Entries, l.err = nil, logstream.ErrUnavailable
		_, _ = a.configLog.Read(ctx, "", 0, 1, 0)
		time.Sleep(2*time.Second + time.Millisecond)
		require.EqualValues(t, 5000, a.metrics.Snapshot().Gauges["log_lag_ms"])
		cancel()
		require.NoError(t, <-done)
		a.router.Close()
	})
}

func TestPoolGauges(t *testing.T) {
	m := metrics.New(metrics.Options{})
	pools := []router.PoolStatus{
		{Upstreams: []router.UpstreamStatus{{Weight: 1}, {Weight: 0.1}, {Weight: 0}}},
		{Upstreams: []router.UpstreamStatus{{Weight: 1}}},
	}
	pools[0].Queue.InFlight, pools[0].Queue.Queued = 3, 5
	pools[1].Queue.InFlight, pools[1].Queue.Queued = 4, 2
	setPoolGauges(m, pools)
	g := m.Snapshot().Gauges
	require.EqualValues(t, 7, g["in_flight"])
	require.EqualValues(t, 7, g["queued"])
	require.EqualValues(t, 3, g["upstreams"])
}
