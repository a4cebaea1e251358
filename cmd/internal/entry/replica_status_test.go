package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// pauseSeconds is the Retry-After time of the replicas in these tests.
const pauseSeconds = 1.5

// arrivedAfter returns the number of requests that arrived at a replica after at.
func arrivedAfter(r *platformtest.Replica, at time.Time) int {
	n := 0
	for _, a := range r.Arrivals() {
		if a.After(at) {
			n++
		}
	}
	return n
}

// TestLeavingReplicaGetsNoMoreRequests guards against sending requests to a plain replica
// whose responses say that it is leaving while its entry stays ready. It must get none
// either after an outage of the store during which the entry was removed and added again.
func TestLeavingReplicaGetsNoMoreRequests(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "plain", "ready")
	env.start()
	a.SetBehavior(platformtest.Behavior{Leaving: true})
	before := len(a.Runs())
	env.eventually(func() bool {
		env.send("GET", "/look/1", "key1", "")
		return len(a.Runs()) > before
	}, "one response states that the replica is leaving")
	stated := time.Now()
	for range 20 {
		require.Equal(t, http.StatusOK, env.send("GET", "/look/1", "key1", "").status)
	}
	env.store.Fail(http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond)
	env.store.Put(platform.ReplicaTopic, a.ID, nil)
	env.store.Fail(0)
	time.Sleep(300 * time.Millisecond)
	env.publishEntry(a, "plain", "ready")
	time.Sleep(1200 * time.Millisecond)
	for range 20 {
		require.Equal(t, http.StatusOK, env.send("GET", "/look/1", "key1", "").status)
	}
	require.Zero(t, arrivedAfter(a, stated))

	env.startTime++
	a.SetBehavior(platformtest.Behavior{})
	env.publishEntry(a, "plain", "ready")
	env.eventually(func() bool {
		env.send("GET", "/look/1", "key1", "")
		return arrivedAfter(a, stated) > 0
	}, "a new process of the replica is used")
}

// TestLeavingStageGetsNoMoreRequests guards against sending requests to the first stage of a
// path after its responses say that it is leaving. Streams that run there must complete,
// and the other instance must stop sending requests too.
func TestLeavingStageGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, "llm", 2, 2, 0, 4)
	a, b := f.replicas[0], f.replicas[1]
	f.eventually(func() bool {
		f.send("POST", "/chat/1", "key1", "x")
		return len(a.Runs()) > 0
	}, "the replica is used")
	a.SetBehavior(platformtest.Behavior{Leaving: true})
	b.SetBehavior(platformtest.Behavior{Reject: true})
	before := len(a.Runs())
	f.eventually(func() bool {
		got := f.send("POST", "/chat/1", "key1", "x")
		return got.status == http.StatusOK && len(a.Runs()) > before
	}, "a stream completes on the leaving replica")
	stated := time.Now()
	b.SetBehavior(platformtest.Behavior{})
	time.Sleep(500 * time.Millisecond)
	for k := range 20 {
		f.instance = f.instances[k%2]
		f.eventually(func() bool { return f.send("POST", "/chat/1", "key1", "x").status == http.StatusOK }, "served")
	}
	require.Zero(t, arrivedAfter(a, stated))
}

// TestPausedReplicaGetsNoRequests guards against sending requests to plain replicas that
// reject requests and ask for a pause with Retry-After.
func TestPausedReplicaGetsNoRequests(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "plain", "ready")
	env.start()
	pausing := platformtest.Behavior{Reject: true, RetryAfter: fmt.Sprint(pauseSeconds)}
	a.SetBehavior(pausing)
	env.eventually(func() bool {
		env.send("GET", "/look/1", "key1", "")
		return len(a.Arrivals()) > 0
	}, "a request reaches the replica")
	pausedAt := a.Arrivals()[0]
	for time.Since(pausedAt) < time.Second {
		require.Equal(t, http.StatusOK, env.send("GET", "/look/1", "key1", "").status)
		time.Sleep(5 * time.Millisecond)
	}
	require.Len(t, a.Arrivals(), 1)

	// All replicas ask for a pause: the client gets the shortest remaining time immediately.
	b.SetBehavior(pausing)
	env.send("GET", "/look/1", "key1", "")
	sentAt := time.Now()
	got := env.send("GET", "/look/1", "key1", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	left := pausedAt.Add(time.Duration(pauseSeconds * float64(time.Second))).Sub(sentAt).Seconds()
	require.InDelta(t, left, wait, 0.25, "the rest of the first pause plus a random tenth")
	require.Zero(t, arrivedAfter(b, sentAt), "the replica is known to be paused and gets no request")
}

// TestPausedStageGetsNoRequests guards against sending requests over the second stage of a
// path that was named as the cause of a rejection with Retry-After. Another replica holds
// the same layers.
func TestPausedStageGetsNoRequests(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	first, other, stage := env.newReplica("i-0"), env.newReplica("i-1"), env.newReplica("i-2")
	env.publishEntry(first, "llm", "ready", 0, 4)
	env.publishEntry(other, "llm", "ready", 0, 4)
	env.publishEntry(stage, "llm", "ready", 2, 4)
	env.start()
	first.SetBehavior(platformtest.Behavior{Reject: true, RejectStage: stage.Address(), RetryAfter: fmt.Sprint(pauseSeconds)})
	env.eventually(func() bool {
		env.send("POST", "/chat/1", "key1", "x")
		return len(first.Arrivals()) > 0
	}, "a request reaches the replica")
	pausedAt := first.Arrivals()[0]
	for time.Since(pausedAt) < time.Second {
		require.Equal(t, http.StatusOK, env.send("POST", "/chat/1", "key1", "x").status)
		time.Sleep(5 * time.Millisecond)
	}
	require.Len(t, first.Arrivals(), 1)
	for _, run := range other.Runs() {
		require.NotContains(t, run.Path(), stage.Address())
	}
}
