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

// pauseSeconds is what replicas of these tests ask for.
const pauseSeconds = 1.5

// arrivedAfter counts the requests that came to a replica later than at.
func arrivedAfter(r *platformtest.Replica, at time.Time) int {
	n := 0
	for _, a := range r.Arrivals() {
		if a.After(at) {
			n++
		}
	}
	return n
}

// TestReplicaThatSaysItLeavesGetsNothingMore has a plain replica that says so in its
// answers while its entry stays ready, also after an outage of the store in which the
// entry was removed and came back.
func TestReplicaThatSaysItLeavesGetsNothingMore(t *testing.T) {
	w := newWorld(t)
	w.config(1, "")
	a, b := w.replica("i-a"), w.replica("i-b")
	w.put(a, "plain", "ready")
	w.put(b, "plain", "ready")
	w.start()
	a.Set(platformtest.Behavior{Leaving: true})
	before := len(a.Runs())
	w.eventually(func() bool {
		w.send("GET", "/look/1", "key1", "")
		return len(a.Runs()) > before
	}, "one answer says that the replica leaves")
	told := time.Now()
	for range 20 {
		require.Equal(t, http.StatusOK, w.send("GET", "/look/1", "key1", "").status)
	}
	w.store.Fail(http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond)
	w.store.Put(platform.ReplicaTopic, a.ID, nil)
	w.store.Fail(0)
	time.Sleep(300 * time.Millisecond)
	w.put(a, "plain", "ready")
	time.Sleep(1200 * time.Millisecond)
	for range 20 {
		require.Equal(t, http.StatusOK, w.send("GET", "/look/1", "key1", "").status)
	}
	require.Zero(t, arrivedAfter(a, told))

	w.born++
	a.Set(platformtest.Behavior{})
	w.put(a, "plain", "ready")
	w.eventually(func() bool {
		w.send("GET", "/look/1", "key1", "")
		return arrivedAfter(a, told) > 0
	}, "a later process of the replica is used")
}

// TestPartThatSaysItLeavesGetsNothingMore has the first replica of a path say it: streams
// that run there end whole, the other instance is told.
func TestPartThatSaysItLeavesGetsNothingMore(t *testing.T) {
	f := newFleet(t, "llm", 2, 2, 0, 4)
	a, b := f.replicas[0], f.replicas[1]
	f.eventually(func() bool {
		f.send("POST", "/chat/1", "key1", "x")
		return len(a.Runs()) > 0
	}, "the replica is used")
	a.Set(platformtest.Behavior{Leaving: true})
	b.Set(platformtest.Behavior{Reject: true})
	before := len(a.Runs())
	f.eventually(func() bool {
		got := f.send("POST", "/chat/1", "key1", "x")
		return got.status == http.StatusOK && len(a.Runs()) > before
	}, "a stream ends whole on the replica that leaves")
	told := time.Now()
	b.Set(platformtest.Behavior{})
	time.Sleep(500 * time.Millisecond)
	for k := range 20 {
		f.instance = f.instances[k%2]
		f.eventually(func() bool { return f.send("POST", "/chat/1", "key1", "x").status == http.StatusOK }, "served")
	}
	require.Zero(t, arrivedAfter(a, told))
}

// TestReplicaThatAsksForAPauseGetsNothing has plain replicas that turn requests away.
func TestReplicaThatAsksForAPauseGetsNothing(t *testing.T) {
	w := newWorld(t)
	w.config(1, "")
	a, b := w.replica("i-a"), w.replica("i-b")
	w.put(a, "plain", "ready")
	w.put(b, "plain", "ready")
	w.start()
	asks := platformtest.Behavior{Reject: true, Pause: fmt.Sprint(pauseSeconds)}
	a.Set(asks)
	w.eventually(func() bool {
		w.send("GET", "/look/1", "key1", "")
		return len(a.Arrivals()) > 0
	}, "the replica is asked")
	asked := a.Arrivals()[0]
	for time.Since(asked) < time.Second {
		require.Equal(t, http.StatusOK, w.send("GET", "/look/1", "key1", "").status)
		time.Sleep(5 * time.Millisecond)
	}
	require.Len(t, a.Arrivals(), 1)

	// All of them ask: the caller learns the shortest time left, at once.
	b.Set(asks)
	w.send("GET", "/look/1", "key1", "")
	began := time.Now()
	got := w.send("GET", "/look/1", "key1", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	left := asked.Add(time.Duration(pauseSeconds * float64(time.Second))).Sub(began).Seconds()
	require.InDelta(t, left, wait, 0.25, "the rest of the first pause, and a random tenth of it")
	require.Zero(t, arrivedAfter(b, began), "known to be paused, so that it was not asked")
}

// TestPartThatAsksForAPauseGetsNothing has the second part of a path turn requests away;
// another replica holds the same layers.
func TestPartThatAsksForAPauseGetsNothing(t *testing.T) {
	w := newWorld(t)
	w.config(1, "")
	first, other, part := w.replica("i-0"), w.replica("i-1"), w.replica("i-2")
	w.put(first, "llm", "ready", 0, 4)
	w.put(other, "llm", "ready", 0, 4)
	w.put(part, "llm", "ready", 2, 4)
	w.start()
	first.Set(platformtest.Behavior{Reject: true, RejectStage: part.Address(), Pause: fmt.Sprint(pauseSeconds)})
	w.eventually(func() bool {
		w.send("POST", "/chat/1", "key1", "x")
		return len(first.Arrivals()) > 0
	}, "the replica is asked")
	asked := first.Arrivals()[0]
	for time.Since(asked) < time.Second {
		require.Equal(t, http.StatusOK, w.send("POST", "/chat/1", "key1", "x").status)
		time.Sleep(5 * time.Millisecond)
	}
	require.Len(t, first.Arrivals(), 1)
	for _, run := range other.Runs() {
		require.NotContains(t, run.Path(), part.Address())
	}
}
