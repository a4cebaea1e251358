package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/cmd/internal/entry"
	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

const (
	// crashBody is contained in the body of requests that crash replicas.
	crashBody = "crash"
	// downTime is how long a crashed replica stays down. The platform says that it is back after some
	// seconds; copies that are sent up to 3 s after the third crash may crash further ones.
	downTime = 2 * time.Second
	// downStep is a part of downTime that is slept at once. A machine that stands still ends one step
	// late, so that replicas don't return before the instances had time to run.
	downStep = 100 * time.Millisecond
	// copyInterval is the minimum time between two copies of a request.
	copyInterval = 400 * time.Millisecond
	// maxCrashes is the maximum number of replicas that one request may crash.
	maxCrashes = 3
)

// fleet is an environment with several instances. Its replicas crash on crashBody and
// restart as a new process with a later start time.
type fleet struct {
	*environment
	replicas  []*platformtest.Replica
	instances []*entry.Instance
	peerPort  int
}

func newFleet(t *testing.T, service string, replicas, instances int, layers ...int) *fleet {
	return newFleetOf(t, nil, service, replicas, instances, layers...)
}

// newFleetOf returns a fleet whose instances have settings changed by configure, unless it is nil.
func newFleetOf(t *testing.T, configure func(*platform.Settings), service string, replicas, instances int, layers ...int) *fleet {
	f := &fleet{environment: newEnvironment(t), peerPort: freePort(t)}
	f.configure = configure
	f.publishConfig(1, "")
	for i := range replicas {
		r := f.newReplica(fmt.Sprintf("i-%d", i))
		f.replicas = append(f.replicas, r)
		r.SetBehavior(platformtest.Behavior{CrashOn: crashBody})
		f.publishProcess(r, service, f.startTime, layers...)
		r.OnCrash(func() { f.restartReplica(r, service, layers...) })
	}
	for range instances {
		f.addInstance()
	}
	f.started = true
	f.eventually(func() bool {
		for _, i := range f.instances {
			if i.InstanceCount() < instances {
				return false
			}
		}
		return true
	}, "the instances know each other")
	return f
}

// freePort returns a port that nothing listens on. The system does not give out ports of this
// range by itself, so that no connection of another test takes it meanwhile.
func freePort(t *testing.T) int {
	const lowest, highest = 10_000, 30_000
	for {
		port := lowest + rand.IntN(highest-lowest)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return port
	}
}

// publishProcess publishes the entry of a replica's process that started at startTime.
func (f *fleet) publishProcess(r *platformtest.Replica, service string, startTime int64, layers ...int) {
	e := r.Entry(service, "z", "ready", startTime, 1)
	if len(layers) == 2 {
		e["routeKind"] = "k"
		e["layers"] = map[string]int{"from": layers[0], "target": layers[1], "version": 1}
	}
	f.store.PutJSON(platform.ReplicaTopic, r.ID, e)
}

// restartReplica restarts a crashed replica after downTime.
func (f *fleet) restartReplica(r *platformtest.Replica, service string, layers ...int) {
	for range downTime / downStep {
		time.Sleep(downStep)
	}
	startTime := time.Now().UnixMilli()
	if err := r.Restart(); err != nil {
		f.t.Errorf("restart of %s: %v", r.ID, err)
		return
	}
	f.publishProcess(r, service, startTime, layers...)
}

// addInstance starts another instance at its own loopback address and makes it the one
// that send uses.
func (f *fleet) addInstance() {
	ip := "127.0.0." + strconv.Itoa(len(f.instances)+1)
	settings := &platform.Settings{
		Instance: "edge-" + ip, Zone: "z", IP: ip, CallersAddress: ip + ":0", ReadyAddress: ip + ":0",
		PeerPort: f.peerPort, MaxDescriptors: 4100, MemoryMB: 1024, FirstStart: !f.started,
		Store: platform.StoreSettings{Address: f.store.Address()},
		Bounds: platform.Bounds{
			Shutdown: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second,
		},
	}
	if f.configure != nil {
		f.configure(settings)
	}
	i, err := entry.Start(entry.Options{
		Settings:    settings,
		Logger:      zap.NewNop(),
		DrainNotice: 50 * time.Millisecond,
	})
	require.NoError(f.t, err)
	f.t.Cleanup(func() { assert.NoError(f.t, i.Stop()) })
	f.instances = append(f.instances, i)
	f.instance = i
	f.eventually(func() bool {
		resp, err := f.client.Get("http://" + i.ReadyAddr() + "/-/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == 200
	}, "ready")
}

func (f *fleet) crashes() int {
	n := 0
	for _, r := range f.replicas {
		n += r.Crashes()
	}
	return n
}

// sendCopies sends n copies of a request to the instances in turn. Before each further
// copy it waits until all replicas have restarted. It returns the last response.
func (f *fleet) sendCopies(n int, method, path, body string) response {
	var last response
	for k := range n {
		f.instance = f.instances[k%len(f.instances)]
		last = f.send(method, path, "key1", body)
		f.waitForReplicas()
	}
	return last
}

// waitForReplicas waits for copyInterval, and until all replicas accept connections again.
func (f *fleet) waitForReplicas() {
	time.Sleep(copyInterval)
	f.eventually(func() bool {
		for _, r := range f.replicas {
			c, err := net.Dial("tcp", r.Address())
			if err != nil {
				return false
			}
			_ = c.Close()
		}
		return true
	}, "all replicas have restarted")
}

// TestCrashingRequestReachesAtMostThreeReplicas guards against a request that crashes every
// replica it reaches: copies sent to all instances in turn must crash at most maxCrashes
// replicas, after which the request is blocked.
func TestCrashingRequestReachesAtMostThreeReplicas(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, service string
		layers                []int
		after                 int // CrashAfter, in events
	}{
		"idempotent":            {"GET", "/look/1", "plain", nil, 0},
		"non-idempotent":        {"POST", "/order/1", "plain", nil, 0},
		"stream":                {"POST", "/chat/1", "llm", []int{0, 4}, 0},
		"stream after 2 events": {"POST", "/chat/1", "llm", []int{0, 4}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.service, 4, 2, c.layers...)
			for _, r := range f.replicas {
				r.SetBehavior(platformtest.Behavior{CrashOn: crashBody, CrashAfter: c.after})
			}
			last := f.sendCopies(8, c.method, c.path, crashBody)
			require.LessOrEqual(t, f.crashes(), maxCrashes)
			require.Equal(t, 503, last.status, "a blocked copy was not executed")
			require.NotEmpty(t, last.header.Get("Retry-After"))
			f.eventually(func() bool {
				return f.send(c.method, c.path, "key1", "another").status == 200
			}, "other requests are served")
		})
	}
}

// TestPromptPartCrashesAtMostThreeReplicas guards against a part of prompts that crashes every
// replica: requests with it that are otherwise different must crash at most maxCrashes replicas.
// Requests with the other part of these prompts are served.
func TestPromptPartCrashesAtMostThreeReplicas(t *testing.T) {
	for name, format := range map[string]string{
		"second part": "5a:40,dead:30,%x:700",
		"first part":  "dead:30,5a:40,%x:700",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "llm", 4, 2, 0, 4)
			for _, r := range f.replicas {
				r.SetBehavior(platformtest.Behavior{CrashOnPart: "dead"})
			}
			var last response
			for k := range 10 {
				f.instance = f.instances[k%len(f.instances)]
				last = f.sendPrompt("POST", "/chat/1", "key1", "request "+strconv.Itoa(k), fmt.Sprintf(format, k))
				f.waitForReplicas()
			}
			require.LessOrEqual(t, f.crashes(), maxCrashes)
			require.Equal(t, 503, last.status, "a blocked request was not executed")
			require.NotEmpty(t, last.header.Get("Retry-After"))
			f.eventually(func() bool {
				return f.sendPrompt("POST", "/chat/1", "key1", "sound", "5a:40,77:700").status == 200
			}, "requests with the other part are served")
		})
	}
}

// TestBlockedRequestStaysBlockedAtNewInstances guards against losing the evidence against
// a blocked request when instances are replaced: a new instance must block it, also after
// all instances were replaced at the same time.
func TestBlockedRequestStaysBlockedAtNewInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "plain", 4, 2)
	f.sendCopies(6, "GET", "/look/1", crashBody)
	require.LessOrEqual(t, f.crashes(), maxCrashes)
	before := f.crashes()

	f.addInstance()
	f.eventually(func() bool { return f.instance.EvidenceCount() > 0 }, "the new instance has received the evidence")
	require.Equal(t, 503, f.send("GET", "/look/1", "key1", crashBody).status)

	f.eventually(func() bool { return f.store.Calls("/-/log-append") > 0 }, "the evidence is in the store")
	for _, i := range f.instances {
		require.NoError(t, i.Stop())
	}
	f.addInstance()
	f.eventually(func() bool { return f.instance.EvidenceCount() > 0 }, "the evidence is read")
	require.Equal(t, 503, f.send("GET", "/look/1", "key1", crashBody).status)
	require.Equal(t, before, f.crashes())
}

// TestRequestIsBlockedWhileTheStoreIsUnavailable has the store unavailable to all
// instances: they must exchange the evidence among themselves.
func TestRequestIsBlockedWhileTheStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "plain", 4, 3)
	f.store.Fail(503)
	f.sendCopies(9, "GET", "/look/1", crashBody)
	require.LessOrEqual(t, f.crashes(), maxCrashes)
	f.store.Fail(0)
}

// TestLostResponsesDoNotBlockARequest guards against blocking a request that crashes no
// replica. Its responses are lost by replicas that keep running, that hang, and that shut
// down after draining.
func TestLostResponsesDoNotBlockARequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "plain", 4, 1)
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{DropResponse: true})
	}
	for range 6 {
		require.Equal(t, 502, f.send("GET", "/look/1", "key1", "x").status)
	}
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{Hang: true})
	}
	for range 2 {
		f.send("GET", "/look/1", "key1", "x")
	}
	for _, r := range f.replicas[1:] {
		f.publishEntry(r, "plain", "draining")
	}
	f.eventually(func() bool {
		return f.send("GET", "/open/1", "", "other").status != 0 && f.store.Calls("/-/log-read") > 3
	}, "the draining entries are read")
	for _, r := range f.replicas[1:] {
		r.Crash()
	}
	f.replicas[0].SetBehavior(platformtest.Behavior{})
	f.eventually(func() bool { return f.send("GET", "/look/1", "key1", "x").status == 200 }, "the request is served")
}

// TestBlockedRequestDoesNotAffectOthers checks that only the blocked request is rejected:
// the same request of another workspace, and requests of the same workspace with another
// path or body, are served.
func TestBlockedRequestDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "plain", 4, 1)
	f.sendCopies(5, "GET", "/look/1", crashBody)
	require.Equal(t, 503, f.send("GET", "/look/1", "key1", crashBody).status)
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{})
	}
	require.Equal(t, 503, f.send("GET", "/look/1", "key1", crashBody).status)
	require.Equal(t, 200, f.send("GET", "/look/1", "key2", crashBody).status)
	require.Equal(t, 200, f.send("GET", "/look/2", "key1", crashBody).status, "another path")
	require.Equal(t, 200, f.send("GET", "/look/1", "key1", "y").status, "another body")
}

// TestStreamThatCrashesStagesIsNotMovedEndlessly guards against moving a stream from path
// to path without end when it crashes a later stage and every stage that replaces it.
func TestStreamThatCrashesStagesIsNotMovedEndlessly(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "llm", 0, 1)
	first := f.newReplica("i-first")
	f.publishProcess(first, "llm", f.startTime, 0, 2)
	byAddress := map[string]*platformtest.Replica{}
	for i := range 8 {
		r := f.newReplica(fmt.Sprintf("i-part-%d", i))
		byAddress[r.Address()] = r
		f.publishProcess(r, "llm", f.startTime, 2, 4)
	}
	f.eventually(func() bool { return f.send("POST", "/chat/1", "key1", "x").status == 200 }, "a path is available")
	crashed := make(chan string, 64)
	first.SetBehavior(platformtest.Behavior{CrashStageOn: crashBody, OnStageCrash: func(address string) {
		crashed <- address
		byAddress[address].Crash()
	}})
	var last response
	for range 4 {
		last = f.send("POST", "/chat/1", "key1", crashBody)
	}
	require.LessOrEqual(t, len(crashed), maxCrashes)
	require.Equal(t, 503, last.status)
}

// TestPartitionedInstanceReadsEvidenceFromTheStore has an instance that cannot connect to
// its peers: it must read the evidence from the store.
func TestPartitionedInstanceReadsEvidenceFromTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "plain", 4, 2)
	f.peerPort = freePort(f.t)
	f.addInstance()
	partitioned := f.instance
	f.sendCopies(6, "GET", "/look/1", crashBody)
	f.eventually(func() bool { return partitioned.EvidenceCount() >= maxCrashes }, "the evidence is read")
	before := f.crashes()
	f.instance = partitioned
	require.Equal(t, 503, f.send("GET", "/look/1", "key1", crashBody).status)
	require.Equal(t, before, f.crashes())
}
