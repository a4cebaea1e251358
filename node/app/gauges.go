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

// gaugePeriod is the time between two settings of the gauges.
const gaugePeriod = time.Second

// readTimes is a logstream.Log that notes when a stream was last read up to its
// end. It is safe for concurrent use.
type readTimes struct {
	logstream.Log
	// end is the time of that read in nanoseconds since 1970, 0 for never.
	end atomic.Int64
}

// Read implements logstream.Log. A read that finds no record has reached the end.
func (l *readTimes) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (record.Batch, error) {
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	if err == nil && len(b.Entries) == 0 {
		l.end.Store(time.Now().UnixNano())
	}
	return b, err
}

// lag returns the time since the last read up to the end, or since start.
func (l *readTimes) lag(now, start time.Time) time.Duration {
	if end := l.end.Load(); end > 0 {
		start = time.Unix(0, end)
	}
	return now.Sub(start)
}

// setGauges sets the gauges once a second until ctx ends.
func (a *App) setGauges(ctx context.Context) error {
	start := time.Now()
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if a.reads != nil {
				a.metrics.Set(metrics.LogLagMillis, a.reads.lag(now, start).Milliseconds())
			}
			setPoolGauges(a.metrics, a.router.Status())
		}
	}
}

// setPoolGauges sets the gauges that add up all pools. An upstream is in use
// when it gets new work.
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
