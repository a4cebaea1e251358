package entry_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// TestLateRequestsAreCutByAStop guards against requests that a stopping instance accepts and sends to
// a replica although they may take longer than it has left, and against those in progress that end
// without an answer.
func TestLateRequestsAreCutByAStop(t *testing.T) {
	const (
		grace = 3 * time.Second
		// late is when the late requests are sent; their routes allow them 5 s.
		late = 1500 * time.Millisecond
	)
	env := newEnvironment(t)
	env.configure = func(s *platform.Settings) { s.Bounds.Shutdown = grace }
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "plain", "ready")
	env.instance = env.launchInstance()
	env.eventually(func() bool { return env.send("GET", "/look/1", "key1", "").status == http.StatusOK }, "served")
	a.SetBehavior(platformtest.Behavior{Hang: true})
	got := make(chan string, 8)
	send := func(method, path string) {
		req, err := platformtest.NewRequest(env.instance.ClientAddr(), method, path, fmt.Sprint(method, path, time.Now().UnixNano()), "key1", "")
		require.NoError(t, err)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		go func() {
			resp, err := client.Do(req)
			if err != nil {
				got <- path + ": " + err.Error()
				return
			}
			defer resp.Body.Close()
			got <- fmt.Sprint(path, ": ", resp.StatusCode)
		}()
	}
	runs := len(a.Runs()) + 2
	send("POST", "/order/early")
	send("GET", "/look/early")
	env.eventually(func() bool { return len(a.Runs()) == runs }, "in progress at the replica")
	stopped := make(chan error, 1)
	go func() { stopped <- env.instance.Stop() }()
	time.Sleep(late)
	send("POST", "/order/late")
	require.Equal(t, "/order/late: 503", <-got, "it may run once, and cannot be known to end in time")
	require.Len(t, a.Runs(), runs)
	send("GET", "/look/late")
	var rest []string
	for range 3 {
		rest = append(rest, <-got)
	}
	require.ElementsMatch(t, []string{"/order/early: 502", "/look/early: 502", "/look/late: 502"}, rest)
	require.NoError(t, <-stopped)
}

// TestStuckComponentHoldsAStop guards against a stop that waits without limit for a component, here for
// a read of the settings file from a volume that does not respond.
func TestStuckComponentHoldsAStop(t *testing.T) {
	env := newEnvironment(t)
	env.configure = func(s *platform.Settings) { s.Bounds.Shutdown = time.Second }
	env.settingsPath = filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, syscall.Mkfifo(env.settingsPath, 0o600))
	env.instance = env.launchInstance()
	// Opening a pipe for writing waits until it is open for reading. The read ends with the close.
	volume, err := os.OpenFile(env.settingsPath, os.O_WRONLY, 0)
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- env.instance.Stop() }()
	select {
	case err := <-stopped:
		require.ErrorContains(t, err, "did not end in time")
	case <-time.After(waitTimeout):
		t.Error("the stop waits for the component")
	}
	require.NoError(t, os.Remove(env.settingsPath)) // no further read waits
	require.NoError(t, volume.Close())
}
