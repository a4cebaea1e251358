package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/core/health"
	"masticbank.example/core/poison"
	"masticbank.example/node/wire"
)

const leavingLoadReport = `{"leaving":true}`

// A service replica must get no further calls once it is known to be leaving, whatever
// the source. The peers are notified only if the replica announced it itself.
func TestServiceReplicaLeaves(t *testing.T) {
	signals := []struct {
		name      string
		announced bool
		leave     func(t *testing.T, r *Router, a *fakeReplica)
	}{
		{"reported by a peer", false, func(t *testing.T, r *Router, _ *fakeReplica) {
			require.True(t, r.MarkLeaving("a"))
		}},
		{"announced in its load report", true, func(_ *testing.T, r *Router, a *fakeReplica) {
			a.set("", leavingLoadReport)
			r.readLoadOnce()
		}},
		{"announced by refusing an idempotent call", true, func(t *testing.T, r *Router, a *fakeReplica) {
			a.set(wire.CodeLeaving, "")
			require.True(t, callService(t, r, http.MethodGet).Complete)
			a.set("", "")
		}},
		{"announced by refusing a non-idempotent call", true, func(t *testing.T, r *Router, a *fakeReplica) {
			a.set(wire.CodeLeaving, "")
			require.True(t, callService(t, r, http.MethodPost).Complete)
			a.set("", "")
		}},
	}
	for _, signal := range signals {
		t.Run(signal.name, func(t *testing.T) {
			r, e := newPlainRouter(t)
			a, b := newFakeReplica(t, "a"), newFakeReplica(t, "b")
			r.setInstancesAndWait(a.Instance, b.Instance)
			callService(t, r, http.MethodGet)
			require.Equal(t, 1, a.served())
			signal.leave(t, r, a)
			// The list is out of date and does not show that a is leaving.
			r.setInstancesAndWait(a.Instance, b.Instance)
			for range 4 {
				require.True(t, callService(t, r, http.MethodGet).Complete)
			}
			require.Equal(t, 1, a.served())
			require.Equal(t, signal.announced, len(e.leaving) == 1)
			require.Equal(t, serviceSlots, r.services["s"].queue.totalCapacity())
		})
	}
}

func TestMarkLeavingOfUnknownUpstream(t *testing.T) {
	r, _ := newPlainRouter(t)
	require.False(t, r.MarkLeaving("nobody"))
}

// When the server of replica a is down, the first call to it must move on to b and a
// must be ejected. After a successful probe, its share of work rises in steps.
func TestServiceReplicaIsEjected(t *testing.T) {
	r, e := newPlainRouter(t)
	a, b := newFakeReplica(t, "a"), newFakeReplica(t, "b")
	r.setInstancesAndWait(a.Instance, b.Instance)
	a.server.Close()
	require.True(t, callService(t, r, http.MethodPost).Complete)
	require.Equal(t, []string{"a"}, e.ejected)
	s := r.services["s"]
	require.Equal(t, serviceSlots, s.queue.totalCapacity())
	for range 3 {
		c, ok := s.beginCall(nil)
		require.True(t, ok)
		require.Equal(t, "b", c.id)
	}
	rep := s.replicas["a"]
	at, ok := rep.health.Deadline()
	require.True(t, ok)
	rep.health.Step(at, health.Tick{})
	rep.health.Step(at, health.ProbeSucceeded{Probe: 3})
	require.Equal(t, health.DefaultConfig().SlowStart[0], rep.health.Weight())
	c, ok := s.beginCall(nil)
	require.True(t, ok)
	require.Equal(t, "b", c.id, "b with 3 calls is less loaded than a with one at its reduced weight")
}

// When both servers are down, one replica must stay in use at a low weight, so that
// calls fail instead of waiting.
func TestServiceEjectionIsBounded(t *testing.T) {
	r, e := newPlainRouter(t)
	a, b := newFakeReplica(t, "a"), newFakeReplica(t, "b")
	r.setInstancesAndWait(a.Instance, b.Instance)
	a.server.Close()
	b.server.Close()
	res := callService(t, r, http.MethodGet)
	require.False(t, res.Complete)
	require.Equal(t, execution.NotRun, res.Execution)
	require.Len(t, e.ejected, 1)
	require.Equal(t, serviceSlots, r.services["s"].queue.totalCapacity())
}

// A leaving replica that is listed again at a new address must start from scratch, and
// late messages about the old address must not affect it.
func TestServiceReplicaReturnsAtNewAddress(t *testing.T) {
	r, _ := newPlainRouter(t)
	before, after := newFakeReplica(t, "a"), newFakeReplica(t, "a")
	r.setInstancesAndWait(before.Instance)
	s := r.services["s"]
	c, ok := s.beginCall(nil)
	require.True(t, ok)
	require.True(t, r.MarkLeaving("a"))
	r.setInstancesAndWait(after.Instance)
	s.observe(c.replica, health.Leaving{Source: health.FromUpstream})
	s.endCall(c)
	require.True(t, callService(t, r, http.MethodPost).Complete)
	require.Equal(t, 1, after.served())
	// A move while in use must not leave a stale member in the health group.
	r.setInstancesAndWait(newFakeReplica(t, "a").Instance)
	require.Equal(t, 1, s.group.Members())
}

// An idempotent call must end once its replica has failed a probe, well before the
// call's own timeout.
func TestUnresponsiveServiceReplica(t *testing.T) {
	r, e := newPlainRouter(t)
	a, b := newFakeReplica(t, "a"), newFakeReplica(t, "b")
	r.setInstancesAndWait(a.Instance, b.Instance)
	a.mu.Lock() // blocks all responses
	defer a.mu.Unlock()
	s := r.services["s"]
	c, ok := s.beginCall(nil)
	require.True(t, ok)
	require.Equal(t, "a", c.id)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := r.sendCall(ctx, s, c, poison.Fingerprint{}, getCall("/x", true))
		done <- err
	}()
	s.observe(c.replica, health.Unresponsive{Connection: c.number})
	require.Error(t, <-done)
	r.work.Wait()
	require.NoError(t, ctx.Err())
	require.Equal(t, []string{"a"}, e.ejected)
}

// A call that crashes each replica that runs it must be blocked before it has crashed
// more than three of six replicas.
func TestCallThatCrashesServiceReplicasIsStopped(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			r, _ := newPlainRouter(t)
			crashes := make(chan string, 16)
			var list []wire.Instance
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				rep := newFakeReplica(t, id)
				rep.server.Config.Handler = crashOn(rep, crashes)
				list = append(list, rep.Instance)
			}
			r.setInstancesAndWait(list...)
			var last ServiceResult
			for range 6 {
				last = r.CallService(t.Context(), crashCall(method))
				r.work.Wait()
			}
			require.LessOrEqual(t, len(crashes), 3)
			require.Equal(t, CodePoison, last.Code)
			require.Equal(t, execution.NotRun, last.Execution)
			require.True(t, callService(t, r, http.MethodGet).Complete, "other calls must be served")
		})
	}
}

func crashCall(method string) *ServiceRequest {
	now := time.Now()
	return &ServiceRequest{
		ID: "crash", Workspace: "w", Service: "s", Method: method, Path: "/crash", Header: http.Header{},
		Deadline: now.Add(10 * time.Second), Arrived: now,
	}
}

// crashOn returns a handler that closes the replica's server on a call to /crash.
func crashOn(rep *fakeReplica, crashes chan<- string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/crash" {
			rep.ServeHTTP(w, req)
			return
		}
		crashes <- rep.ID
		_ = rep.server.Listener.Close()
		go rep.server.CloseClientConnections()
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
}
