package follower_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"masticbank.example/node/follower"
	"masticbank.example/node/logstream/logtest"
)

// BenchmarkPublish measures the time from publishing a revision until it is in force on
// nine instances that only read the log. An append takes 0.25 ms.
func BenchmarkPublish(b *testing.B) {
	const instances = 9
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &logtest.Log{Delay: 250 * time.Microsecond}
	var followers []*follower.Follower
	var subscriptions []*follower.Subscription
	for range instances {
		f := start(ctx, log, nil)
		followers = append(followers, f)
		subscriptions = append(subscriptions, f.Subscribe())
	}
	for ready, reason := followers[0].Ready(); reason != "no configuration has been published"; ready, reason = followers[0].Ready() {
		if ready {
			b.Fatal("ready without a configuration")
		}
		time.Sleep(time.Millisecond)
	}
	times := make([]time.Duration, 0, b.N)
	for n := range uint64(b.N) {
		started := time.Now()
		if _, err := followers[0].Publish(ctx, "ana", fmt.Appendf(nil, "%d", n), n); err != nil {
			b.Fatal(err)
		}
		for _, s := range subscriptions {
			for r := <-s.C; r.Number <= n; r = <-s.C {
			}
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[b.N*99/100].Microseconds())/1000, "p99-ms")
}
