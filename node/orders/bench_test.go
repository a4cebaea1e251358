package orders_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticbank.example/core/execution"
	"masticbank.example/core/order"
	"masticbank.example/node/logstream"
	"masticbank.example/node/logstream/logtest"
)

const (
	logDelay = 250 * time.Microsecond
	// logLimit spaces appends so that the log accepts 400 per second.
	logLimit = 2500 * time.Microsecond
)

// BenchmarkDo makes calls with distinct keys through one instance. The log takes 0.25 ms
// per append and accepts 400 appends per second.
func BenchmarkDo(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		for _, c := range []struct {
			name string
			opts logstream.AppenderOptions
		}{
			{"single", logstream.AppenderOptions{MaxRecords: 1, MinInterval: logLimit}},
			{"group", logstream.AppenderOptions{MinInterval: logLimit}},
		} {
			b.Run("callers="+strconv.Itoa(clients)+"/"+c.name, func(b *testing.B) { benchmarkDo(b, clients, c.opts) })
		}
	}
}

func benchmarkDo(b *testing.B, clients int, opts logstream.AppenderOptions) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &logtest.Log{Delay: logDelay}
	c, appender := start(ctx, b, log, "a", opts)
	var next atomic.Int64
	latencies := make([]time.Duration, b.N)
	var failed atomic.Int64
	respond := func(context.Context) order.Response { return order.Response{Status: 200, Execution: execution.Ran} }
	var wg sync.WaitGroup
	b.ResetTimer()
	for range clients {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				started := time.Now()
				if c.Do(ctx, call(strconv.FormatInt(n, 10)), respond).Execution != execution.Ran {
					failed.Add(1)
				}
				latencies[n-1] = time.Since(started)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	if failed.Load() > 0 {
		b.Fatalf("%d orders failed", failed.Load())
	}
	appends, _ := appender.Counts()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "orders/s")
	b.ReportMetric(float64(appends)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkDoIdle measures the latency that is added to a single call while no other is in
// progress.
func BenchmarkDoIdle(b *testing.B) {
	const gap = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, _ := start(ctx, b, &logtest.Log{Delay: logDelay}, "a", logstream.AppenderOptions{MinInterval: logLimit})
	respond := func(context.Context) order.Response { return order.Response{Status: 200, Execution: execution.Ran} }
	latencies := make([]time.Duration, 0, b.N)
	for n := range b.N {
		time.Sleep(gap)
		started := time.Now()
		c.Do(ctx, call(strconv.Itoa(n)), respond)
		latencies = append(latencies, time.Since(started))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds())/1000, "p99-ms")
}
