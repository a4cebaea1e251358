package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// overdue is longer than a request without an event waits for a path or a retry.
const overdue = 1800 * time.Millisecond

// TestBegunAnswerEndsWhileItsClientWaits guards against answers that are closed in the middle, long
// before their deadline and before their client leaves, because no path is free for the rest.
func TestBegunAnswerEndsWhileItsClientWaits(t *testing.T) {
	const (
		// mostTokens fills more than half of a replica's KV memory.
		mostTokens = "350000,20"
		// busyPause is the time between two of the six events of the stream that fills the other replica.
		busyPause = 400 * time.Millisecond
	)
	env := newEnvironment(t)
	replicas := env.startTwoModelReplicas()
	before := len(replicas[0].Runs())
	for _, r := range replicas {
		r.SetBehavior(platformtest.Behavior{EventPause: busyPause})
	}
	env.openStream("busy", mostTokens)
	free := replicas[0]
	if len(replicas[0].Runs()) > before {
		free = replicas[1]
	}
	free.SetBehavior(platformtest.Behavior{Reply: breakThen(platformtest.Reply{Status: http.StatusServiceUnavailable, NotRun: true})})
	body, err := io.ReadAll(env.openStream("broken", mostTokens).Body)
	require.NoError(t, err)
	require.Equal(t, completeStream(), string(body))
}

// TestBegunAnswerEndsWhileRetriesAreEarned guards against the same because the retry budget is spent.
func TestBegunAnswerEndsWhileRetriesAreEarned(t *testing.T) {
	// enough is the number of requests that earn several retries.
	const enough = 40
	env := newEnvironment(t)
	env.configure = func(s *platform.Settings) { s.Bounds.RetrySlack = 0 }
	replicas := env.startTwoModelReplicas()
	for _, r := range replicas {
		r.SetBehavior(platformtest.Behavior{BreakAfter: 2})
	}
	resp := env.openStream("broken", "10,10")
	earned := time.AfterFunc(overdue, func() {
		for _, r := range replicas {
			r.SetBehavior(platformtest.Behavior{})
		}
		for n := range enough {
			req, err := platformtest.NewRequest(env.instance.ClientAddr(), "POST", "/chat/1", fmt.Sprint("other-", n), "key1", "prompt")
			if err == nil {
				env.do(req)
			}
		}
	})
	defer earned.Stop()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, completeStream(), string(body))
}

// startTwoModelReplicas starts an instance and two replicas that hold all layers.
func (env *environment) startTwoModelReplicas() []*platformtest.Replica {
	env.publishConfig(1, "")
	replicas := []*platformtest.Replica{env.newReplica("i-a"), env.newReplica("i-b")}
	for _, r := range replicas {
		env.store.PutJSON(platform.ReplicaTopic, r.ID, r.ModelEntry("llm", "z", "ready", env.startTime, 1, 0, 4))
	}
	env.start()
	env.eventually(func() bool { return env.send("POST", "/chat/1", "key1", "x").status == http.StatusOK }, "served")
	return replicas
}

// openStream sends a request with the given Token-Usage and returns its response once that has begun.
func (env *environment) openStream(id, tokens string) *http.Response {
	req, err := platformtest.NewRequest(env.instance.ClientAddr(), "POST", "/chat/1", id, "key1", "prompt")
	require.NoError(env.t, err)
	req.Header.Set("Token-Usage", tokens)
	resp, err := env.client.Do(req)
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = resp.Body.Close() })
	require.Equal(env.t, http.StatusOK, resp.StatusCode)
	return resp
}
