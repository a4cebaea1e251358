package entry_test

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"masticbank.example/platform/platformtest"
)

// encodeRequest returns the bytes of a client's request.
func (env *environment) encodeRequest(method, path, id string) []byte {
	req, err := platformtest.NewRequest(env.instance.ClientAddr(), method, path, id, "key1", "x")
	require.NoError(env.t, err)
	var b bytes.Buffer
	require.NoError(env.t, req.Write(&b))
	return b.Bytes()
}

func (env *environment) dial() *net.TCPConn {
	c, err := net.Dial("tcp", env.instance.ClientAddr())
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// sendAndLeave sends a request and closes its connection in the same segment, as an instance sees
// it that reads a request long after its caller has left.
func (env *environment) sendAndLeave(method, path, id string) {
	c := env.dial()
	raw, err := c.SyscallConn()
	require.NoError(env.t, err)
	var optErr error
	require.NoError(env.t, raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1)
	}))
	require.NoError(env.t, optErr)
	_, err = c.Write(env.encodeRequest(method, path, id))
	require.NoError(env.t, err)
	require.NoError(env.t, c.Close())
}

// TestRequestsOfCallersThatLeftAreNotSent guards against requests that are sent to replicas although
// their callers left before they were read.
func TestRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, service string
		layers                []int
	}{
		"idempotent":     {"GET", "/look/1", "plain", nil},
		"non-idempotent": {"POST", "/order/1", "plain", nil},
		"stream":         {"POST", "/chat/1", "llm", []int{0, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, "")
			a := env.newReplica("i-a")
			env.publishEntry(a, c.service, "ready", c.layers...)
			env.start()
			env.eventually(func() bool { return env.send(c.method, c.path, "key1", "x").status == 200 }, "served")
			before := len(a.Runs())
			for n := range 20 {
				env.sendAndLeave(c.method, c.path, fmt.Sprintf("left-%d", n))
			}
			require.Equal(t, 200, env.send(c.method, c.path, "key1", "x").status)
			env.eventually(func() bool { return env.instance.InFlight() == 0 }, "all requests have ended")
			require.Equal(t, before+1, len(a.Runs()))
		})
	}
}

// TestRequestIsNotRetriedAfterItsCallerLeft guards against a retry for a caller that left while the
// first replica had the request.
func TestRequestIsNotRetriedAfterItsCallerLeft(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, service string
		layers                []int
	}{
		"idempotent": {"GET", "/look/1", "plain", nil},
		"stream":     {"POST", "/chat/1", "llm", []int{0, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, "")
			replicas := []*platformtest.Replica{env.newReplica("i-a"), env.newReplica("i-b")}
			for _, r := range replicas {
				env.publishEntry(r, c.service, "ready", c.layers...)
			}
			env.start()
			env.eventually(func() bool { return env.send(c.method, c.path, "key1", "x").status == 200 }, "served")
			runs := func() int { return len(replicas[0].Runs()) + len(replicas[1].Runs()) }
			before := runs()
			caller := env.dial()
			var leave sync.Once
			for _, r := range replicas {
				r.SetBehavior(platformtest.Behavior{DropResponse: true, OnRun: func() {
					leave.Do(func() { _ = caller.Close() })
				}})
			}
			_, err := caller.Write(env.encodeRequest(c.method, c.path, "left"))
			require.NoError(t, err)
			env.eventually(func() bool { return runs() > before }, "the first run")
			env.eventually(func() bool { return env.instance.InFlight() == 0 }, "the request has ended")
			require.Equal(t, before+1, runs())
		})
	}
}
