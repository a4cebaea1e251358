package app

import (
	"context"
	"sync/atomic"
	"time"

	"masticbank.example/core/record"
	"masticbank.example/node/logstream"
	"masticbank.example/node/metrics"
	"masticbank.example/node/router"
)

// gaugePeriod is the interval at which the gauges are updated.
const gaugePeriod = time.Second

// lagTracker wraps the logstream.Log of one stream and records when the stream was
// last read to its end. It is safe for concurrent use.
type lagTracker struct {
	logstream.Log
	// lastEnd is the time of that read in Unix nanoseconds, or 0 before the first one.
	lastEnd atomic.Int64
}

// Read implements logstream.Log. A read that returns no record has reached the end.
func (l *lagTracker) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (record.Batch, error) {
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	if err == nil && len(b.Entries) == 0 {
		l.lastEnd.Store(time.Now().UnixNano())
	}
	return b, err
}

// lag returns the time since the stream was last read to its end, or since start if
// it never was.
func (l *lagTracker) lag(now, start time.Time) time.Duration {
	if end := l.lastEnd.Load(); end > 0 {
		start = time.Unix(0, end)
	}
	return now.Sub(start)
}

// setGauges updates the gauges every gaugePeriod until ctx ends.
func (a *App) setGauges(ctx context.Context) error {
	start := time.Now()
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if a.configLog != nil {
				a.metrics.Set(metrics.LogLagMillis, a.configLog.lag(now, start).Milliseconds())
			}
			setPoolGauges(a.metrics, a.router.Status())
		}
	}
}

// setPoolGauges sets the gauges that are sums over all pools. The upstreams gauge
// counts the upstreams that get new requests, which are those of positive weight.
func setPoolGauges(m *metrics.Registry, pools []router.PoolStatus) {
	var inFlight, queued, upstreams int
	for _, p := range pools {
		inFlight += p.Queue.InFlight
		queued += p.Queue.Queued
		for _, u := range p.Upstreams {
			if u.Weight > 0 {
				upstreams++
			}
		}
	}
	m.Set(metrics.InFlight, int64(inFlight))
	m.Set(metrics.Queued, int64(queued))
	m.Set(metrics.Upstreams, int64(upstreams))
}
