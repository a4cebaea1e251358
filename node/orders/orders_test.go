package orders_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/core/order"
	"masticbank.example/node/logstream"
	"masticbank.example/node/logstream/logtest"
	"masticbank.example/node/orders"
)

const (
	stream   = "orders"
	callTime = 10 * time.Second
)

var policy = order.Policy{
	AcceptanceWindow: 10 * time.Minute,
	Retention:        time.Hour,
	DispatchWindow:   2 * time.Second,
	ClockSkew:        time.Minute,
	Grace:            time.Second,
}

func start(ctx context.Context, t testing.TB, log logstream.Log, name string, opts logstream.AppenderOptions) (*orders.Coordinator, *logstream.Appender) {
	appender := logstream.NewAppender(log, stream, opts)
	c, err := orders.New(orders.Options{Log: log, Appender: appender, Stream: stream, Policy: policy, Claimant: name})
	require.NoError(t, err)
	go func() { _ = appender.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
	return c, appender
}

func runPair(t *testing.T, run func(ctx context.Context, log *logtest.Log, a, b *orders.Coordinator)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &logtest.Log{Delay: time.Millisecond}
		a, _ := start(ctx, t, log, "a", logstream.AppenderOptions{})
		b, _ := start(ctx, t, log, "b", logstream.AppenderOptions{})
		synctest.Wait()
		run(ctx, log, a, b)
		cancel()
		synctest.Wait()
	})
}

func call(key string) order.Call {
	return order.Call{Workspace: "w", Service: "s", Key: key, Fingerprint: "f", Deadline: time.Now().Add(callTime)}
}

// service counts the calls that it runs.
type service struct {
	mu   sync.Mutex
	runs int
}

func (s *service) run(context.Context) order.Response {
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	return order.Response{Status: 200, Body: fmt.Appendf(nil, "run %d", s.runs), Execution: execution.Ran}
}

func mustNotSend(context.Context) order.Response { panic("sent") }

// Concurrent calls with one key through two instances run once and all get the same
// response, although responses of the log are lost.
func TestConcurrentCallsWithOneKeyRunOnce(t *testing.T) {
	runPair(t, func(ctx context.Context, log *logtest.Log, a, b *orders.Coordinator) {
		log.LoseResponses(2)
		s := &service{}
		results := make([]order.Result, 6)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = []*orders.Coordinator{a, b}[i%2].Do(ctx, call("k"), s.run) })
		}
		wg.Wait()
		replayed := 0
		for _, r := range results {
			require.Equal(t, execution.Ran, r.Execution, r.Reason)
			require.Equal(t, "run 1", string(r.Response.Body))
			if r.Replayed {
				replayed++
			}
		}
		require.Equal(t, len(results)-1, replayed)
		other := call("k")
		other.Fingerprint = "g"
		require.Equal(t, order.Result{Reason: order.ReasonKeyReused}, b.Do(ctx, other, mustNotSend))
	})
}

// While the log is unavailable, a call is refused immediately, and a first attempt gets the
// result not_run. A call that is known to have run is still replayed.
func TestCallsWhileLogIsUnavailable(t *testing.T) {
	runPair(t, func(ctx context.Context, log *logtest.Log, a, b *orders.Coordinator) {
		s := &service{}
		a.Do(ctx, call("before"), s.run)
		synctest.Wait()
		time.Sleep(time.Second)
		log.SetDown(true)
		synctest.Wait()
		started := time.Now()
		repeat, first := call("k"), call("k")
		first.FirstUse = true
		require.Equal(t, order.Result{Execution: execution.Unknown, Reason: order.ReasonLogUnavailable}, b.Do(ctx, repeat, mustNotSend))
		require.Equal(t, order.Result{Execution: execution.NotRun, Reason: order.ReasonLogUnavailable}, b.Do(ctx, first, mustNotSend))
		r := b.Do(ctx, call("before"), mustNotSend)
		require.True(t, r.Replayed)
		require.Zero(t, time.Since(started))
		log.SetDown(false)
		time.Sleep(time.Second)
		require.Equal(t, execution.Ran, b.Do(ctx, call("k"), s.run).Execution)
	})
}

// The disconnect of a client does not stop its call, and the response is replayed. The key
// of a call that the service refused can be used again.
func TestClientDisconnectsAndServiceRefuses(t *testing.T) {
	runPair(t, func(ctx context.Context, _ *logtest.Log, a, b *orders.Coordinator) {
		s := &service{}
		left, leave := context.WithCancel(ctx)
		a.Do(left, call("k"), func(ctx context.Context) order.Response {
			leave()
			require.NoError(t, ctx.Err())
			return s.run(ctx)
		})
		require.NoError(t, a.Flush(ctx))
		r := b.Do(ctx, call("k"), mustNotSend)
		require.True(t, r.Replayed)
		require.Equal(t, "run 1", string(r.Response.Body))

		refuse := func(context.Context) order.Response { return order.Response{Status: 503} }
		require.Equal(t, order.Result{Response: order.Response{Status: 503}}, a.Do(ctx, call("l"), refuse))
		require.NoError(t, a.Flush(ctx))
		synctest.Wait()
		require.Equal(t, execution.Ran, b.Do(ctx, call("l"), s.run).Execution)
		require.Equal(t, 2, s.runs)
	})
}

// A client whose context carries the call's deadline waits until then for another instance
// to finish. It must not be treated as disconnected.
func TestDeadlineIsNotADisconnect(t *testing.T) {
	runPair(t, func(ctx context.Context, _ *logtest.Log, a, b *orders.Coordinator) {
		started, release := make(chan struct{}), make(chan struct{})
		long := call("k")
		long.Deadline = time.Now().Add(5 * callTime)
		var wg sync.WaitGroup
		wg.Go(func() {
			a.Do(ctx, long, func(context.Context) order.Response {
				close(started)
				<-release
				return order.Response{Status: 200, Execution: execution.Ran}
			})
		})
		<-started
		repeat := call("k")
		// The context ends a moment before the timer of the wait.
		waiting, cancel := context.WithDeadline(ctx, repeat.Deadline.Add(-time.Millisecond))
		defer cancel()
		res := b.Do(waiting, repeat, mustNotSend)
		require.NotEqual(t, order.ReasonClientGone, res.Reason)
		require.NotEqual(t, execution.NotRun, res.Execution)
		close(release)
		wg.Wait()
	})
}
