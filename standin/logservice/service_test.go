package logservice_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/logstream"
	"masticbank.example/standin/logservice"
)

func start(t testing.TB, opts logservice.Options) (*logservice.Service, *logstream.HTTP) {
	service := logservice.New(opts)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return service, &logstream.HTTP{Base: server.URL, Client: &http.Client{Transport: transport}}
}

func TestReadAndRetention(t *testing.T) {
	ctx := context.Background()
	service, log := start(t, logservice.Options{AppendsPerSecond: -1, MaxRecords: 3})
	for i := range 5 {
		offset, err := log.Append(ctx, "s", [][]byte{{byte(i)}})
		require.NoError(t, err)
		require.EqualValues(t, i, offset)
	}
	batch, err := log.Read(ctx, "s", 0, 2, 0)
	require.NoError(t, err)
	require.EqualValues(t, 2, batch.First)
	require.EqualValues(t, 4, batch.Next)
	require.Equal(t, []byte{2}, batch.Entries[0].Data)

	got := make(chan uint64)
	go func() {
		batch, err := log.Read(ctx, "s", 5, 10, 10*time.Second)
		if err != nil || len(batch.Entries) != 1 {
			close(got)
			return
		}
		got <- batch.Entries[0].Offset
	}()
	_, err = log.Append(ctx, "s", [][]byte{{5}})
	require.NoError(t, err)
	require.EqualValues(t, 5, <-got)

	service.Truncate("s", 6)
	batch, err = log.Read(ctx, "s", 0, 10, 0)
	require.NoError(t, err)
	require.EqualValues(t, 6, batch.First)
	require.EqualValues(t, 6, batch.Next)
}

func TestFaultsOverHTTP(t *testing.T) {
	ctx := context.Background()
	service, log := start(t, logservice.Options{AppendsPerSecond: 1})
	post := func(body string) {
		resp, err := http.Post(log.Base+"/faults", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	post(`{"lose_next":1,"duplicate_probability":1}`)
	_, err := log.Append(ctx, "s", [][]byte{{1}})
	require.ErrorIs(t, err, logstream.ErrUnavailable)
	batch, err := log.Read(ctx, "s", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Entries, 2)

	_, err = log.Append(ctx, "s", [][]byte{{2}})
	require.ErrorIs(t, err, logstream.ErrThrottled)
	require.EqualValues(t, 1, service.Stats().Refused)

	post(`{"down":true}`)
	_, err = log.Read(ctx, "s", 0, 10, 0)
	require.ErrorIs(t, err, logstream.ErrUnavailable)
}

// TestAppenderGroupsAndRepeats checks that all records are stored although responses
// are lost and the rate limit throttles, and that records waiting at the same time share
// an append.
func TestAppenderGroupsAndRepeats(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	service, log := start(t, logservice.Options{AppendsPerSecond: 200, Seed: 1})
	service.SetFaults(logservice.Faults{LoseNext: 2, LoseProbability: 0.2})
	appender := logstream.NewAppender(log, "s", logstream.AppenderOptions{MinInterval: time.Millisecond})
	var running sync.WaitGroup
	running.Go(func() { _ = appender.Run(ctx) })
	const total = 300
	var appends sync.WaitGroup
	errs := make(chan error, total)
	for i := range total {
		appends.Go(func() { errs <- appender.Append(ctx, fmt.Appendf(nil, "%d", i)) })
	}
	appends.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	seen := map[string]bool{}
	for from := uint64(0); ; {
		batch, err := log.Read(ctx, "s", from, 1000, 0)
		require.NoError(t, err)
		if len(batch.Entries) == 0 {
			break
		}
		for _, e := range batch.Entries {
			seen[string(e.Data)] = true
		}
		from = batch.Next
	}
	require.Len(t, seen, total)
	require.Less(t, service.Stats().Appends, int64(total)/2)
	cancel()
	running.Wait()
}

func TestAppenderRefusesWhenFull(t *testing.T) {
	service, log := start(t, logservice.Options{})
	service.SetFaults(logservice.Faults{Down: true})
	appender := logstream.NewAppender(log, "s", logstream.AppenderOptions{MaxQueued: 2})
	ctx, cancel := context.WithCancel(context.Background())
	first, err := appender.AppendAsync(ctx, []byte("a"))
	require.NoError(t, err)
	_, err = appender.AppendAsync(ctx, []byte("b"))
	require.NoError(t, err)
	_, err = appender.AppendAsync(ctx, []byte("c"))
	require.ErrorIs(t, err, logstream.ErrQueueFull)
	cancel()
	require.ErrorIs(t, appender.Run(ctx), context.Canceled)
	require.ErrorIs(t, <-first, context.Canceled)
	_, err = appender.AppendAsync(ctx, []byte("d"))
	require.ErrorIs(t, err, logstream.ErrStopped)
}

// BenchmarkAppender appends records of 200 bytes from many goroutines over HTTP to a
// log that takes 0.25 ms per request and at most 400 appends per second.
func BenchmarkAppender(b *testing.B) {
	for name, maxRecords := range map[string]int{"single": 1, "group": 0} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			service, log := start(b, logservice.Options{AppendsPerSecond: 400})
			service.SetFaults(logservice.Faults{Slow: 250 * time.Microsecond})
			appender := logstream.NewAppender(log, "s", logstream.AppenderOptions{MaxRecords: maxRecords, MinInterval: 2500 * time.Microsecond})
			go func() { _ = appender.Run(ctx) }()
			data := make([]byte, 200)
			b.SetParallelism(64)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_ = appender.Append(ctx, data)
				}
			})
			appends, records := appender.Counts()
			b.ReportMetric(float64(appends)/b.Elapsed().Seconds(), "appends/s")
			b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
