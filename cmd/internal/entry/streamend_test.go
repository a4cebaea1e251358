package entry_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform/platformtest"
)

// requireBroken checks that a stream ended visibly incomplete after the given events and nothing else.
func requireBroken(t *testing.T, got received, body string) {
	t.Helper()
	require.Equal(t, 200, got.status)
	require.Error(t, got.err, "the stream looks complete: %q", got.body)
	require.Equal(t, body, got.body)
	require.False(t, strings.HasSuffix(got.raw, "0\r\n\r\n"), "the last chunk was sent: %q", got.raw)
	require.Equal(t, 1, strings.Count(got.raw, "HTTP/1.1 "), "%q", got.raw)
}

// broken are the ways in which a response breaks off after event 3.
var broken = map[string]platformtest.Reply{
	"within an event":                {Body: events(1, 3) + "id: 4\nda", Broken: true},
	"between two events":             {Body: events(1, 3), Broken: true},
	"within the length":              {Framing: platformtest.Length, Body: events(1, 3), Broken: true},
	"reset without a length":         {Framing: platformtest.UntilClose, Body: events(1, 3), Broken: true},
	"ends within an event":           {Body: events(1, 3) + "id: 4\ndata: tok"},
	"ends within, without a length":  {Framing: platformtest.UntilClose, Body: events(1, 3) + "id: 4\ndata: tok\n"},
	"reset within, without a length": {Framing: platformtest.UntilClose, Body: events(1, 3) + "id: 4\nda", Broken: true},
	"event that exceeds the limit":   {Framing: platformtest.UntilClose, Body: events(1, 3) + "id: 4\ndata: " + strings.Repeat("x", 70_000)},
}

// TestBrokenStreamNeverLooksComplete guards against an end that passes for a stream's own: for a
// route that may not be continued, and for one that is continued and breaks off each time.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	env, set := startModel(t)
	for name, reply := range broken {
		for _, path := range []string{"/once/1", "/chat/1"} {
			t.Run(name+path, func(t *testing.T) {
				set(func(lastEvent string) *platformtest.Reply {
					if lastEvent != "" {
						return &platformtest.Reply{Broken: true}
					}
					return &reply
				})
				requireBroken(t, env.receiveStream(path, ""), events(1, 3))
			})
		}
	}
}

// TestStreamIsBrokenOffAtItsDeadline guards against a refusal or an end in a stream whose deadline
// passes.
func TestStreamIsBrokenOffAtItsDeadline(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, `,{"name":"brief","host":"h.example","pathPrefix":"/brief/","routeKind":"streaming","timeoutMs":700,"targetLatencyMs":500,"maxAttempts":2,"resumable":true,"service":"llm"}`)
	a := env.newReplica("i-a")
	env.publishEntry(a, "llm", "ready", 0, 4)
	env.start()
	a.SetBehavior(platformtest.Behavior{Reply: func(string) *platformtest.Reply {
		return &platformtest.Reply{Body: events(1, 3), Hold: true}
	}})
	start := time.Now()
	requireBroken(t, env.receiveStream("/brief/1", ""), events(1, 3))
	require.Less(t, time.Since(start), callerDeadline/2)
}

// TestRefusalIsNotPartOfItsStream guards against a refusal in a stream that has begun: its request
// crashes each replica after three events, until it is blocked.
func TestRefusalIsNotPartOfItsStream(t *testing.T) {
	f := newFleet(t, "llm", 4, 1, 0, 4)
	f.instance = f.instances[0]
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{CrashOn: crashBody, CrashAfter: 3})
	}
	for begun, end := 0, time.Now().Add(waitTimeout); ; {
		require.True(t, time.Now().Before(end), "not blocked")
		got := f.receiveStreamOf("/chat/1", "", crashBody)
		if got.status == 200 {
			begun++
			requireBroken(t, got, events(1, 3))
			continue
		}
		require.NoError(t, got.err)
		require.Empty(t, platformtest.Signature(got.header))
		require.NotContains(t, got.body, "token")
		require.Empty(t, got.trailing)
		if got.status == 503 && begun > 0 {
			return
		}
	}
}

// TestStreamContinuesWhileItsInstanceDrains guards against a refusal of the stopping instance in a
// stream that breaks off.
func TestStreamContinuesWhileItsInstanceDrains(t *testing.T) {
	for name, second := range map[string]platformtest.Reply{
		"continued": {Body: events(4, 6)},
		"refused":   {Status: 503, NotRun: true, Framing: platformtest.Length, Body: "full"},
	} {
		t.Run(name, func(t *testing.T) {
			env, set := startModel(t)
			stopped := make(chan error, 1)
			set(func(lastEvent string) *platformtest.Reply {
				if lastEvent != "" {
					return &second
				}
				go func() { stopped <- env.instance.Stop() }()
				time.Sleep(drainDelay)
				return &platformtest.Reply{Body: events(1, 3), Broken: true}
			})
			got := env.receiveStream("/chat/1", "")
			if name == "continued" {
				require.NoError(t, got.err)
				require.Equal(t, completeStream(), got.body)
			} else {
				requireBroken(t, got, events(1, 3))
			}
			require.NoError(t, <-stopped)
		})
	}
}

// drainDelay is longer than an instance takes to begin to drain.
const drainDelay = 200 * time.Millisecond

// TestFailureOfAResumedStreamIsDeliveredWhole guards against a failure that loses its status or gets
// another one: the caller itself continues its stream, so that the response has not begun.
func TestFailureOfAResumedStreamIsDeliveredWhole(t *testing.T) {
	env, set := startModel(t)
	var runs atomic.Int32
	for name, first := range map[string]platformtest.Reply{
		"after a run that broke off": {Broken: true},
		"after an unsigned run":      {Unsigned: true, Body: events(4, 6)},
		"after a refusal":            {Status: 503, NotRun: true, Framing: platformtest.Length, Body: "full"},
		"at once":                    {Status: 500, ContentType: "text/plain", Body: "out of memory"},
	} {
		t.Run(name, func(t *testing.T) {
			runs.Store(0)
			set(func(lastEvent string) *platformtest.Reply {
				if lastEvent != "3" || runs.Add(1) == 1 {
					return &first
				}
				return &platformtest.Reply{Status: 500, ContentType: "text/plain", Body: "out of memory"}
			})
			got := env.receiveStream("/chat/1", "3")
			require.NoError(t, got.err)
			require.Equal(t, 500, got.status)
			require.Equal(t, "out of memory", got.body)
			require.NotEmpty(t, platformtest.Signature(got.header))
			require.Empty(t, got.trailing)
		})
	}
	t.Run("no replica answers", func(t *testing.T) {
		set(func(string) *platformtest.Reply { return &platformtest.Reply{Broken: true} })
		got := env.receiveStream("/chat/1", "3")
		require.NoError(t, got.err)
		require.Equal(t, 502, got.status)
		require.Empty(t, platformtest.Signature(got.header))
	})
}
