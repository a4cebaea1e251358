package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"masticbank.example/cmd/internal/entry"
	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is the maximum wait for an expected condition. It is not a requirement on
// speed.
const waitTimeout = 20 * time.Second

// environment is the system under test: a store, replicas and one instance.
type environment struct {
	// started is set once the system has started for the first time.
	started   bool
	t         *testing.T
	store     *platformtest.Store
	instance  *entry.Instance
	client    *http.Client
	startTime int64
	sequences map[string]int64
	requests  int
	// configure, if set, changes the settings before the start.
	configure func(*platform.Settings)
	// settingsPath is the file from which the instance reloads its settings.
	settingsPath string
}

func newEnvironment(t *testing.T) *environment {
	env := &environment{t: t, store: platformtest.NewStore(), startTime: 1000, sequences: map[string]int64{}, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(env.store.Close)
	t.Cleanup(env.client.CloseIdleConnections)
	return env
}

// publishConfig publishes a version of the configuration. extra is appended to its routes.
func (env *environment) publishConfig(version int, extra string) {
	env.publishConfigOf(version, extra, 65536, tenantsField)
}

// tenantsField is the field of the workspaces in configurations, with the comma before it.
const tenantsField = `,"tenants":[{"name":"w1","apiKeys":["key1"]},{"name":"w2","apiKeys":["key2"]}]`

// publishConfigWithBodies does the same with another limit on the bodies of requests, in bytes.
func (env *environment) publishConfigWithBodies(version, maxBodyBytes int) {
	env.publishConfigOf(version, "", maxBodyBytes, tenantsField)
}

// publishConfigWithTenants does the same with another field of the workspaces, which may be empty.
func (env *environment) publishConfigWithTenants(version int, tenants string) {
	env.publishConfigOf(version, "", 65536, tenants)
}

func (env *environment) publishConfigOf(version int, extra string, maxBodyBytes int, tenants string) {
	env.store.Put(platform.OperatorTopic, "config", fmt.Appendf(nil, `{"version":%d,"routes":[
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","routeKind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"maxAttempts":2,"resumable":true,"service":"llm"},
	{"name":"order","host":"h.example","pathPrefix":"/order/","routeKind":"non_idempotent","timeoutMs":5000,"maxAttempts":1,"service":"plain"},
	{"name":"look","host":"h.example","pathPrefix":"/look/","routeKind":"idempotent","timeoutMs":5000,"maxAttempts":2,"service":"plain"},
	{"name":"open","host":"h.example","pathPrefix":"/open/","routeKind":"idempotent","timeoutMs":5000,"maxAttempts":2,"service":"plain","public":true}%s],
	"services":[{"name":"plain"},{"name":"llm","engine":{"slots":8,"kvTokenBytes":1000,"models":[{"name":"m","loadS":1}],"step_ms":1,"read_per_s":100000,
	"usual":{"prompt":10,"answer":10},"layers":4,"layerMb":100,"actBytes":10,"pipeMbps":1000,"kinds":[{"name":"k","mb":1000,"pace":1,"readX":1}]}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}%s}`, version, extra, maxBodyBytes, tenants))
}

// publishEntry publishes the entry of a replica that, if layers has two elements, holds
// the layers in this half-open range.
func (env *environment) publishEntry(r *platformtest.Replica, service, state string, layers ...int) {
	env.sequences[r.ID]++
	e := r.Entry(service, "z", state, env.startTime, env.sequences[r.ID])
	if len(layers) == 2 {
		e["routeKind"] = "k"
		e["layers"] = map[string]int{"from": layers[0], "target": layers[1], "version": 1}
	}
	env.store.PutJSON(platform.ReplicaTopic, r.ID, e)
}

func (env *environment) newReplica(id string) *platformtest.Replica {
	r := platformtest.NewReplica(id, 6)
	env.t.Cleanup(r.Close)
	return r
}

// start runs the instance until the test ends, and waits until it is ready.
func (env *environment) start() {
	env.instance = env.launchInstance()
	env.t.Cleanup(func() { require.NoError(env.t, env.instance.Stop()) })
	env.eventually(func() bool {
		resp, err := env.client.Get("http://" + env.instance.ReadyAddr() + "/-/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, "ready")
	// Until the instance knows the number of instances, its retry budget depends only on its
	// own requests.
	env.eventually(func() bool { return env.instance.InstanceCount() > 0 }, "the number of instances")
}

// launchInstance starts an instance without waiting until it is ready.
func (env *environment) launchInstance() *entry.Instance {
	settings := &platform.Settings{
		Instance: "edge-1", Zone: "z", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		MaxDescriptors: 4100, MemoryMB: 1024, Heartbeat: 1200 * time.Millisecond,
		Store: platform.StoreSettings{Address: env.store.Address()},
		Bounds: platform.Bounds{
			Shutdown: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second,
			Recovery: 3 * time.Second, ConfigApply: 2 * time.Second,
		},
	}
	if env.configure != nil {
		env.configure(settings)
	}
	settings.FirstStart, env.started = !env.started, true
	i, err := entry.Start(entry.Options{
		SettingsPath: env.settingsPath,
		Settings:     settings,
		Logger:       zap.NewNop(),
		DrainNotice:  50 * time.Millisecond,
	})
	require.NoError(env.t, err)
	return i
}

func (env *environment) eventually(ok func() bool, what string) {
	env.t.Helper()
	require.Eventually(env.t, ok, waitTimeout, 10*time.Millisecond, what)
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (env *environment) send(method, path, key, body string) response {
	return env.sendPrompt(method, path, key, body, "")
}

// sendPrompt sends a request with a list of the parts of its prompt.
func (env *environment) sendPrompt(method, path, key, body, parts string) response {
	env.requests++
	req, err := platformtest.NewRequest(env.instance.ClientAddr(), method, path, fmt.Sprintf("id-%d", env.requests), key, body)
	require.NoError(env.t, err)
	if parts != "" {
		platformtest.SetPromptParts(req, parts)
	}
	return env.do(req)
}

// do sends a request and reads its response.
func (env *environment) do(req *http.Request) response {
	resp, err := env.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// completeStream returns the body of a complete stream of six events.
func completeStream() string {
	var b strings.Builder
	for n := 1; n <= 6; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

func TestPlainRequests(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "plain", "ready")
	env.start()

	got := env.send("POST", "/order/7?x=%2F", "key1", "two boards")
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, "answer of i-a", got.body)
	require.Equal(t, "signed by i-a", platformtest.Signature(got.header))
	run := a.Runs()[0]
	require.Equal(t, "/order/7?x=%2F", run.Target)
	require.Equal(t, "two boards", run.Body)
	require.Equal(t, "w1", run.Workspace())
	require.Equal(t, "i-a", run.Replica())
	require.False(t, run.HasKey())

	require.Equal(t, 401, env.send("GET", "/look/1", "", "").status)
	require.Equal(t, 401, env.send("GET", "/look/1", "key9", "").status)
	require.Equal(t, 404, env.send("GET", "/nowhere/", "key1", "").status)
	require.Equal(t, 200, env.send("GET", "/open/1", "", "").status)
	require.Len(t, a.Runs(), 2)
}

func TestOrdersAreExecutedOnce(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "plain", "ready")
	env.start()

	a.SetBehavior(platformtest.Behavior{DropResponse: true})
	b.SetBehavior(platformtest.Behavior{DropResponse: true})
	got := env.send("POST", "/order/1", "key1", "x")
	require.Equal(t, 502, got.status, "the order may have run")
	require.Equal(t, 1, len(a.Runs())+len(b.Runs()))

	a.SetBehavior(platformtest.Behavior{Reject: true})
	b.SetBehavior(platformtest.Behavior{})
	require.Equal(t, 200, env.send("POST", "/order/2", "key1", "x").status, "a rejected order is sent to another replica")

	b.SetBehavior(platformtest.Behavior{Reject: true})
	got = env.send("POST", "/order/3", "key1", "x")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))

	a.SetBehavior(platformtest.Behavior{OtherID: true})
	got = env.send("POST", "/order/4", "key1", "x")
	require.Equal(t, 502, got.status, "a response to another request is not accepted")

	a.SetBehavior(platformtest.Behavior{Unsigned: true})
	got = env.send("POST", "/order/5", "key1", "x")
	require.Equal(t, 502, got.status, "a success without a signature is not accepted")

	runs := len(a.Runs())
	got = env.send("POST", "/order/6", "key1", strings.Repeat("x", 70_000))
	require.Equal(t, 413, got.status)
	require.Len(t, a.Runs(), runs)
}

func TestLookupsAreRetried(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "plain", "ready")
	env.start()
	a.SetBehavior(platformtest.Behavior{DropResponse: true})
	for range 4 {
		require.Equal(t, 200, env.send("GET", "/look/1", "key1", "").status)
	}
	a.SetBehavior(platformtest.Behavior{Status: 500})
	b.SetBehavior(platformtest.Behavior{Status: 500})
	got := env.send("GET", "/look/1", "key1", "")
	require.Equal(t, 500, got.status, "the replica's own error is forwarded")
	require.NotEmpty(t, platformtest.Signature(got.header))
}

func TestStreams(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	first, second := env.newReplica("i-1"), env.newReplica("i-2")
	env.publishEntry(first, "llm", "ready", 0, 2)
	env.publishEntry(second, "llm", "ready", 2, 4)
	env.start()
	got := env.send("POST", "/chat/1", "key1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, completeStream(), got.body)
	run := first.Runs()[0]
	require.Equal(t, first.Address()+"=0-2,"+second.Address()+"=2-4", run.Path())
	require.Empty(t, second.Runs())
}

func TestBrokenStreamsAreResumedElsewhere(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "llm", "ready", 0, 4)
	env.publishEntry(b, "llm", "ready", 0, 4)
	env.start()
	for i, set := range []platformtest.Behavior{{BreakAfter: 3}, {DropResponse: true}, {Reject: true}} {
		a.SetBehavior(set)
		b.SetBehavior(platformtest.Behavior{})
		for range 3 {
			got := env.send("POST", "/chat/1", "key1", "prompt")
			require.NoError(t, got.err, "case %d", i)
			require.Equal(t, completeStream(), got.body, "case %d", i)
		}
	}
	a.SetBehavior(platformtest.Behavior{BreakAfter: 2})
	b.SetBehavior(platformtest.Behavior{BreakAfter: 2})
	got := env.send("POST", "/chat/1", "key1", "prompt")
	require.Error(t, got.err, "a stream that cannot be resumed must not look complete")
}

func TestStalledStreamsAreMovedToAnotherPath(t *testing.T) {
	stalledStreamIsMoved(t, platformtest.Behavior{})
}

// TestStalledStreamsWithCommentsAreMoved guards against comments that hide a stall: the
// replica sends them at regular intervals while its stream is stalled.
func TestStalledStreamsWithCommentsAreMoved(t *testing.T) {
	stalledStreamIsMoved(t, platformtest.Behavior{SendComments: true})
}

func stalledStreamIsMoved(t *testing.T, b platformtest.Behavior) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	first, failed, spare := env.newReplica("i-1"), env.newReplica("i-2"), env.newReplica("i-3")
	env.publishEntry(first, "llm", "ready", 0, 2)
	env.publishEntry(failed, "llm", "ready", 2, 4)
	env.start()
	env.publishEntry(spare, "llm", "ready", 2, 4)
	env.eventually(func() bool {
		return env.send("POST", "/chat/1", "key1", "prompt").status == 200 && env.store.Calls("/-/log-read") > 3
	}, "the entry of the spare replica is read")
	b.StallAfter, b.UnresponsiveStage = 2, failed.Address()
	first.SetBehavior(b)
	got := env.send("POST", "/chat/1", "key1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, completeStream(), strings.ReplaceAll(got.body, ": still here\n\n", ""))
	found := false
	for _, o := range first.Orders() {
		found = found || (strings.Contains(o, "repath") && strings.Contains(o, spare.Address()+"=2-4"))
	}
	require.True(t, found, "orders: %v", first.Orders())
}

// TestSlowStreamsAreNotAborted guards against aborting or moving a slow stream. Its
// replica pauses for more than three times the gap after which it is asked for a report,
// and reports no stalled request.
func TestSlowStreamsAreNotAborted(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-1")
	env.publishEntry(a, "llm", "ready", 0, 4)
	env.start()
	a.SetBehavior(platformtest.Behavior{EventPause: time.Second})
	got := env.send("POST", "/chat/1", "key1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, completeStream(), got.body)
	require.Len(t, a.Runs(), 1)
	require.Empty(t, a.Orders())
}

func TestLayersAreAssigned(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	e := a.Entry("llm", "z", "ready", env.startTime, 1)
	e["routeKind"], e["layers"] = "k", nil
	env.store.PutJSON(platform.ReplicaTopic, a.ID, e)
	env.start()
	env.eventually(func() bool { return len(a.Orders()) > 0 }, "an order is received")
	require.Contains(t, a.Orders()[0], `"from":0`)
	require.Contains(t, a.Orders()[0], `"target":4`)
}

func TestConfigurationChanges(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(5, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "plain", "ready")
	env.start()
	require.Equal(t, 404, env.send("GET", "/new/", "key1", "").status)
	extra := `,{"name":"new","host":"h.example","pathPrefix":"/new/","routeKind":"idempotent","timeoutMs":5000,"maxAttempts":2,"service":"plain"}`
	env.publishConfig(9, extra)
	env.eventually(func() bool { return env.send("GET", "/new/", "key1", "").status == 200 }, "the new route")
	env.publishConfig(7, "")
	env.store.Put(platform.OperatorTopic, "config", []byte("{"))
	env.publishConfig(11, extra+`,{"name":"last","host":"h.example","pathPrefix":"/last/","routeKind":"idempotent","service":"plain"}`)
	env.eventually(func() bool {
		require.Equal(t, 200, env.send("GET", "/new/", "key1", "").status, "an older or unreadable version changes nothing")
		return env.send("GET", "/last/", "key1", "").status == 200
	}, "the last route")
}

func TestDrainingReplicasGetNoNewRequests(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "plain", "ready")
	env.start()
	env.publishEntry(a, "plain", "draining")
	env.eventually(func() bool {
		before := len(a.Runs())
		for range 6 {
			env.send("GET", "/look/1", "key1", "")
		}
		return len(a.Runs()) == before
	}, "no new requests for the leaving replica")
}

func TestServesWhileTheStoreIsUnavailable(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "plain", "ready")
	env.start()
	env.store.Fail(503)
	calls := env.store.Calls("/-/log-read")
	env.eventually(func() bool { return env.store.Calls("/-/log-read") > calls+4 }, "failed reads")
	require.Equal(t, 200, env.send("GET", "/look/1", "key1", "").status)
	env.store.Fail(0)
}

func TestStreamsCompleteBeforeTheInstanceStops(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "llm", "ready", 0, 4)
	env.start()
	a.SetBehavior(platformtest.Behavior{StallAfter: 2, UnresponsiveStage: "127.0.0.1:9"})
	req, err := platformtest.NewRequest(env.instance.ClientAddr(), "POST", "/chat/1", "stopping", "key1", "prompt")
	require.NoError(t, err)
	resp, err := env.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	head, err := lines.ReadString('\n')
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- env.instance.Stop() }()
	env.eventually(func() bool {
		ready, err := env.client.Get("http://" + env.instance.ReadyAddr() + "/-/ready")
		if err != nil {
			return false
		}
		defer ready.Body.Close()
		return ready.StatusCode == http.StatusServiceUnavailable
	}, "not ready")
	rest, err := io.ReadAll(lines)
	require.NoError(t, err)
	require.Equal(t, completeStream(), head+string(rest))
	require.NoError(t, <-stopped)
}

// TestRequestsJustAfterTheStartAreServed guards against rejecting requests that arrive
// before the instance has read anything from the store, such as those of clients that
// reconnect after the previous process ended.
func TestRequestsJustAfterTheStartAreServed(t *testing.T) {
	for range 5 {
		env := newEnvironment(t)
		env.publishConfig(1, "")
		env.publishEntry(env.newReplica("i-a"), "plain", "ready")
		env.instance = env.launchInstance()
		require.Equal(t, http.StatusOK, env.send("GET", "/look/1", "key1", "").status)
		require.NoError(t, env.instance.Stop())
	}
}

// TestWaitForTheStoreIsBounded has a store that is unavailable from the start on: requests
// must get a response instead of waiting forever.
func TestWaitForTheStoreIsBounded(t *testing.T) {
	env := newEnvironment(t)
	env.store.Fail(http.StatusServiceUnavailable)
	env.instance = env.launchInstance()
	t.Cleanup(func() { require.NoError(t, env.instance.Stop()) })
	got := env.send("GET", "/look/1", "key1", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}
