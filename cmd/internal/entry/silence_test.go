package entry_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// silence is how long a sound replica is silent.
const silence = 1200 * time.Millisecond

// pausable forwards connections to a replica. While it is paused nothing passes; it arrives later.
type pausable struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	resumed *sync.Cond
	paused  bool
}

func newPausable(t *testing.T, target string) *pausable {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &pausable{listener: l, target: target}
	p.resumed = sync.NewCond(&p.mu)
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

func (p *pausable) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			p.wait()
			out, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = in.Close()
				return
			}
			go p.forward(in, out)
			p.forward(out, in)
		}()
	}
}

func (p *pausable) forward(dst, src net.Conn) {
	defer dst.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := src.Read(buffer)
		p.wait()
		if n > 0 {
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *pausable) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused {
		p.resumed.Wait()
	}
}

// pauseFor begins a pause of length d.
func (p *pausable) pauseFor(d time.Duration) {
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		p.paused = false
		p.mu.Unlock()
		p.resumed.Broadcast()
	})
}

// TestSilenceEndsAnAnswerWithoutReplacement guards against answers that end because their replica is
// silent for a moment, although no other run can take over: no replica is left, the retry budget is
// spent, or the request may run once only.
func TestSilenceEndsAnAnswerWithoutReplacement(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		replicas int
		slack    float64
	}{
		"only replica":              {"/chat/1", 1, 200},
		"no retry budget":           {"/chat/1", 2, 0},
		"may not be repeated":       {"/once/1", 2, 200},
		"not repeated, one replica": {"/once/1", 1, 200},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.configure = func(s *platform.Settings) {
				s.Bounds.RetrySlack = c.slack
				if c.slack == 0 {
					s.Bounds.RetryRatio = 0
				}
			}
			env.publishConfig(1, onceStreamRoute)
			var replicas []*platformtest.Replica
			var proxies []*pausable
			for _, id := range []string{"i-a", "i-b"}[:c.replicas] {
				r := env.newReplica(id)
				p := newPausable(t, r.Address())
				e := r.Entry("llm", "z", "ready", env.startTime, 1)
				e["address"], e["routeKind"], e["layers"] = p.listener.Addr().String(), "k", map[string]int{"from": 0, "target": 4, "version": 1}
				env.store.PutJSON(platform.ReplicaTopic, r.ID, e)
				replicas, proxies = append(replicas, r), append(proxies, p)
			}
			env.start()
			env.eventually(func() bool { return env.send("POST", "/chat/1", "key1", "x").status == 200 }, "served")
			if c.slack == 0 {
				// A retry that the budget might hold is spent.
				replicas[0].SetBehavior(platformtest.Behavior{BreakAfter: 2})
				replicas[1].SetBehavior(platformtest.Behavior{BreakAfter: 2})
				require.Error(t, env.send("POST", "/chat/1", "key1", "x").err)
			}
			for _, r := range replicas {
				r.SetBehavior(platformtest.Behavior{EventPause: 50 * time.Millisecond})
			}
			runs := countRuns(replicas)
			req, err := platformtest.NewRequest(env.instance.ClientAddr(), "POST", c.path, "silent", "key1", "prompt")
			require.NoError(t, err)
			resp, err := env.client.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			for _, p := range proxies {
				p.pauseFor(silence)
			}
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, completeStream(), string(body))
			require.Equal(t, runs+1, countRuns(replicas))
		})
	}
}

// TestSilenceEndsAnAnswerThatWaitsForAPath guards against answers that end because their replica is
// silent for a moment while the other replica is full.
func TestSilenceEndsAnAnswerThatWaitsForAPath(t *testing.T) {
	// mostTokens fills more than half of a replica's KV memory.
	const mostTokens = "350000,20"
	env := newEnvironment(t)
	env.publishConfig(1, "")
	replicas := map[string]*platformtest.Replica{}
	proxies := map[string]*pausable{}
	for _, id := range []string{"i-a", "i-b"} {
		r := env.newReplica(id)
		p := newPausable(t, r.Address())
		e := platformtest.WithAddress(r.ModelEntry("llm", "z", "ready", env.startTime, 1, 0, 4), p.listener.Addr().String())
		env.store.PutJSON(platform.ReplicaTopic, r.ID, e)
		r.SetBehavior(platformtest.Behavior{EventPause: 100 * time.Millisecond})
		replicas[id], proxies[id] = r, p
	}
	env.start()
	send := func(id string) *http.Response {
		req, err := platformtest.NewRequest(env.instance.ClientAddr(), "POST", "/chat/1", id, "key1", "prompt")
		require.NoError(t, err)
		req.Header.Set("Token-Usage", mostTokens)
		resp, err := env.client.Do(req)
		require.NoError(t, err)
		t.Cleanup(func() { _ = resp.Body.Close() })
		require.Equal(t, http.StatusOK, resp.StatusCode)
		return resp
	}
	env.eventually(func() bool { return env.send("POST", "/chat/0", "key1", "x").status == 200 }, "served")
	before := len(replicas["i-a"].Runs())
	silent := send("silent")
	used, other := "i-a", "i-b"
	if len(replicas["i-a"].Runs()) == before {
		used, other = other, used
	}
	// The other replica is busy for longer than the silent one's client would wait.
	replicas[other].SetBehavior(platformtest.Behavior{EventPause: time.Second})
	send("busy")
	runs := len(replicas[used].Runs())
	proxies[used].pauseFor(silence)
	body, err := io.ReadAll(silent.Body)
	require.NoError(t, err)
	require.Equal(t, completeStream(), string(body))
	require.Len(t, replicas[used].Runs(), runs)
}

func countRuns(replicas []*platformtest.Replica) int {
	n := 0
	for _, r := range replicas {
		n += len(r.Runs())
	}
	return n
}

// TestSilenceEndsACallWithoutReplacement guards against calls that end, long before their deadline,
// because their replica is silent, although no other one can take over.
func TestSilenceEndsACallWithoutReplacement(t *testing.T) {
	// longSilence is longer than the time that a replica gets when there is another one.
	const longSilence = 2400 * time.Millisecond
	for name, c := range map[string]struct {
		method, path string
		replicas     int
		noRetries    bool
	}{
		"only replica":        {"GET", "/look/1", 1, false},
		"no retry budget":     {"GET", "/look/1", 2, true},
		"may not be repeated": {"POST", "/order/1", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.configure = func(s *platform.Settings) {
				if c.noRetries {
					s.Bounds.RetrySlack, s.Bounds.RetryRatio = 0, 0
				}
			}
			env.publishConfig(1, "")
			var replicas []*platformtest.Replica
			var proxies []*pausable
			for _, id := range []string{"i-a", "i-b"}[:c.replicas] {
				r := env.newReplica(id)
				p := newPausable(t, r.Address())
				e := r.Entry("plain", "z", "ready", env.startTime, 1)
				e["address"] = p.listener.Addr().String()
				env.store.PutJSON(platform.ReplicaTopic, r.ID, e)
				replicas, proxies = append(replicas, r), append(proxies, p)
			}
			env.start()
			if c.noRetries {
				env.spendRetryBudget(replicas)
			}
			for _, p := range proxies {
				p.pauseFor(longSilence)
			}
			got := env.send(c.method, c.path, "key1", "")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
		})
	}
}

// spendRetryBudget makes a request fail on two replicas, which spends a retry that the budget might hold.
func (env *environment) spendRetryBudget(replicas []*platformtest.Replica) {
	for _, r := range replicas {
		r.SetBehavior(platformtest.Behavior{Status: http.StatusInternalServerError})
	}
	require.Equal(env.t, http.StatusInternalServerError, env.send("GET", "/look/1", "key1", "").status)
	for _, r := range replicas {
		r.SetBehavior(platformtest.Behavior{})
	}
}
