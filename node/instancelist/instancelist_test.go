package instancelist

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"masticbank.example/node/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listFrom(t *testing.T, status int, body string) ([]wire.Instance, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.PathInstances {
			http.NotFound(w, r)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	defer server.Client().CloseIdleConnections()
	lister, err := NewHTTP(server.URL, server.Client())
	require.NoError(t, err)
	return lister.List(context.Background())
}

// TestMissingInstancesAreAnEmptyList guards against instances that lose all upstreams and peers at once,
// since an answer does not state the list.
func TestMissingInstancesAreAnEmptyList(t *testing.T) {
	got, err := listFrom(t, http.StatusOK, `{"instances":[]}`)
	require.NoError(t, err)
	require.Empty(t, got)
	for _, body := range []string{``, `null`, `{}`, `[]`, `{"instances":null}`, `{"instances":""}`, `{"instances":{}}`} {
		_, err := listFrom(t, http.StatusOK, body)
		require.Error(t, err, body)
	}
}

func TestHTTPList(t *testing.T) {
	got, err := listFrom(t, http.StatusOK, `{"instances":[
		{"id":"e1","role":"engine","leaving":true},{"id":""},{"id":"m1","role":"entry","zone":"quito"},{"id":"e1","role":"engine"}]}`)
	require.NoError(t, err)
	require.Equal(t, []wire.Instance{
		{ID: "e1", Role: wire.RoleEngine, Leaving: true},
		{ID: "m1", Role: wire.RoleRouter, Zone: "quito"},
	}, got)
	_, err = listFrom(t, http.StatusServiceUnavailable, `{}`)
	require.Error(t, err)
	_, err = listFrom(t, http.StatusOK, `{"instances":`)
	require.Error(t, err)
	_, err = NewHTTP("10.0.0.1:9000", nil)
	require.Error(t, err)
}

// TestOddInstanceHidesTheOthers guards against one entry that keeps the whole list from being read,
// poll after poll.
func TestOddInstanceHidesTheOthers(t *testing.T) {
	want := []wire.Instance{{ID: "e1"}, {ID: "e2", Address: "10.0.0.1:80"}}
	for _, odd := range []string{
		`7`, `null`, `"e3"`, `[]`, `{"id":7}`, `{"id":"e3","address":7}`, `{"id":"e3","leaving":"yes"}`,
		`{"id":"e3","role":"engine","model":"m"}`, `{"id":"e3","role":"engine","model":"m","first_layer":3}`,
		`{"id":"e3","role":"engine","model":"m","first_layer":null,"last_layer":3}`, `{}`, `{"id":null}`,
		`{"id":"e3","last_layer":1e19}`, `{"id":"e3","first_layer":1.5}`, `{"id":"e3","zone":{"a":[[[[1]]]]}}`,
	} {
		got, err := listFrom(t, http.StatusOK, `{"instances":[{"id":"e1"},`+odd+`,{"id":"e2","address":"10.0.0.1:80"}]}`)
		require.NoError(t, err, odd)
		require.Equal(t, want, got, odd)
	}
}

type listerFunc func(ctx context.Context) ([]wire.Instance, error)

func (f listerFunc) List(ctx context.Context) ([]wire.Instance, error) { return f(ctx) }

// Modes of the platform in TestPollerKeepsLastCopyWhileListIsUnavailable.
const (
	working = iota
	failing
	unresponsive
)

func TestPollerKeepsLastCopyWhileListIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mode atomic.Int32
		lister := listerFunc(func(ctx context.Context) ([]wire.Instance, error) {
			switch mode.Load() {
			case failing:
				return nil, errors.New("unavailable")
			case unresponsive:
				<-ctx.Done()
				return nil, ctx.Err()
			default:
				return []wire.Instance{{ID: "m1"}}, nil
			}
		})
		var updates atomic.Int32
		poller := NewPoller(lister, PollerOptions{OnUpdate: func(Snapshot) { updates.Add(1) }})
		_, known := poller.Latest().Age(time.Now())
		require.False(t, known)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- poller.Run(ctx) }()
		synctest.Wait()
		require.Equal(t, int32(1), updates.Load())
		require.Len(t, poller.Latest().Instances, 1)

		mode.Store(failing)
		time.Sleep(10 * DefaultInterval)
		last := poller.Latest()
		require.Error(t, last.Err)
		require.Len(t, last.Instances, 1)
		age, _ := last.Age(time.Now())
		require.Equal(t, 10*DefaultInterval, age)

		mode.Store(unresponsive)
		time.Sleep(3 * (DefaultInterval + DefaultTimeout))
		require.Equal(t, int32(1), updates.Load())
		mode.Store(working)
		time.Sleep(2 * (DefaultInterval + DefaultTimeout))
		require.NoError(t, poller.Latest().Err)
		require.Greater(t, updates.Load(), int32(1))
		cancel()
		require.NoError(t, <-done)
	})
}
