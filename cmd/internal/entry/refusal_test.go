package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform/platformtest"
)

// onceRoute is a route whose streams must not be repeated.
const onceRoute = `,{"name":"once","host":"h.example","pathPrefix":"/once/","routeKind":"streaming","timeoutMs":5000,"targetLatencyMs":500,"maxAttempts":2,"service":"llm"}`

// runTime is how long scripted replicas run a request.
const runTime = 30 * time.Millisecond

// refusalRepeater refuses the first send of each request. On a connection with a refusal,
// it answers every later request with that refusal once more, although it runs the request,
// and writes the request's response afterwards.
type refusalRepeater struct {
	body string

	mu   sync.Mutex
	seen map[string]bool
}

// refuses reports whether a request arrives for the first time.
func (f *refusalRepeater) refuses(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := !f.seen[id]
	if f.seen == nil {
		f.seen = map[string]bool{}
	}
	f.seen[id] = true
	return first
}

func (f *refusalRepeater) serve(c *platformtest.ScriptedConn) {
	refusal := ""
	for {
		req, ok := c.Next()
		if !ok {
			return
		}
		if refusal == "" && f.refuses(req.ID) {
			stage := ""
			if len(req.Stages) > 1 {
				stage = req.Stages[1]
			}
			refusal = platformtest.Refusal(req.ID, stage)
			c.Write(refusal)
			continue
		}
		req.Run()
		c.Write(refusal)
		time.Sleep(runTime)
		c.Write(platformtest.Answer(req.ID, http.StatusOK, f.body))
	}
}

// sendID sends a request with the given ID.
func (env *environment) sendID(method, path, id string) response {
	req, err := platformtest.NewRequest(env.instance.ClientAddr(), method, path, id, "key1", "x")
	require.NoError(env.t, err)
	return env.do(req)
}

// TestRepeatedRefusalIsNotBelievedForTheNextSend guards against a refusal that a replica
// writes once more when the refused request is sent to it again on the same connection: the
// request runs, and must be neither refused nor sent to run again.
func TestRepeatedRefusalIsNotBelievedForTheNextSend(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		env := newEnvironment(t)
		env.publishConfig(1, onceRoute)
		first := env.newReplica("i-1")
		env.publishEntry(first, "llm", "ready", 0, 2)
		for _, id := range []string{"i-2", "i-3"} {
			env.publishEntry(env.newReplica(id), "llm", "ready", 2, 4)
		}
		env.start()
		first.SetBehavior(platformtest.Behavior{Script: (&refusalRepeater{body: completeStream()}).serve})
		got := env.send("POST", "/once/1", "key1", "prompt")
		require.NoError(t, got.err)
		require.Len(t, first.Runs(), 1, "status %d", got.status)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, completeStream(), got.body)
	})
	for name, c := range map[string]struct{ method, path string }{
		"idempotent":     {"GET", "/look/1"},
		"non-idempotent": {"POST", "/order/1"},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, "")
			a := env.newReplica("i-a")
			env.publishEntry(a, "plain", "ready")
			env.start()
			a.SetBehavior(platformtest.Behavior{Script: (&refusalRepeater{body: "done"}).serve})
			require.Equal(t, http.StatusServiceUnavailable, env.sendID(c.method, c.path, "again").status)
			got := env.sendID(c.method, c.path, "again")
			require.Len(t, a.Runs(), 1)
			require.Equal(t, http.StatusOK, got.status, "the request ran")
			require.Equal(t, "done", got.body)
		})
	}
}

// TestRefusalOfAnotherRequestIsNotBelieved guards against a refusal of an earlier request
// that a replica writes once more on the reused connection: the next request runs, and must
// be neither refused nor sent to run again.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		path, service string
		layers        []int
	}{
		"plain":  {"/order/1", "plain", nil},
		"stream": {"/once/1", "llm", []int{0, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, onceRoute)
			a := env.newReplica("i-a")
			env.publishEntry(a, c.service, "ready", c.layers...)
			env.start()
			refused := "refused"
			a.SetBehavior(platformtest.Behavior{Script: func(conn *platformtest.ScriptedConn) {
				for {
					req, ok := conn.Next()
					if !ok {
						return
					}
					if req.ID != refused {
						req.Run()
					}
					conn.Write(platformtest.Refusal(refused, ""))
				}
			}})
			require.Equal(t, http.StatusServiceUnavailable, env.sendID("POST", c.path, refused).status)
			got := env.sendID("POST", c.path, "next")
			require.Equal(t, http.StatusBadGateway, got.status, "the request may have run")
			require.Len(t, a.Runs(), 1)
		})
	}
}

// TestUnprovenRefusalIsNotForwarded guards against a refusal of a request that may have run:
// the replica responds with a status that callers understand as "not run", but does not
// state it. A request that may run twice gets the replica's response.
func TestUnprovenRefusalIsNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		path, service string
		layers        []int
		repeatable    bool
	}{
		"idempotent":       {"/look/1", "plain", nil, true},
		"non-idempotent":   {"/order/1", "plain", nil, false},
		"resumable stream": {"/chat/1", "llm", []int{0, 4}, true},
		"stream":           {"/once/1", "llm", []int{0, 4}, false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, onceRoute)
			var responseStatus atomic.Int64
			replicas := []*platformtest.Replica{env.newReplica("i-a"), env.newReplica("i-b")}
			for _, r := range replicas {
				env.publishEntry(r, c.service, "ready", c.layers...)
				r.SetBehavior(platformtest.Behavior{Script: func(conn *platformtest.ScriptedConn) {
					for {
						req, ok := conn.Next()
						if !ok {
							return
						}
						req.Run()
						conn.Write(platformtest.Answer(req.ID, int(responseStatus.Load()), "no"))
					}
				}})
			}
			env.start()
			for n, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
				responseStatus.Store(int64(status))
				got := env.send("POST", c.path, "key1", "x")
				require.NoError(t, got.err)
				if c.repeatable {
					require.Equal(t, status, got.status)
					continue
				}
				require.Equal(t, n+1, len(replicas[0].Runs())+len(replicas[1].Runs()))
				require.Equal(t, http.StatusBadGateway, got.status, "the replica ran the request and responded with %d", status)
			}
		})
	}
}

// TestResponseWithoutAnIDIsNotTheNextResponse guards against a response to a request without
// an ID that a replica writes once more, as the response to the next such request.
func TestResponseWithoutAnIDIsNotTheNextResponse(t *testing.T) {
	for name, c := range map[string]struct {
		first, next string
	}{
		"refusal": {platformtest.Refusal("", ""), platformtest.Answer("", http.StatusOK, "2")},
		"success": {platformtest.Answer("", http.StatusOK, "1"), platformtest.Answer("", http.StatusOK, "2")},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, "")
			a := env.newReplica("i-a")
			env.publishEntry(a, "plain", "ready")
			env.start()
			var requests atomic.Int64
			a.SetBehavior(platformtest.Behavior{Script: func(conn *platformtest.ScriptedConn) {
				last := ""
				for {
					if _, ok := conn.Next(); !ok {
						return
					}
					response := c.next
					if requests.Add(1) == 1 {
						response = c.first
					}
					conn.Write(last)
					time.Sleep(runTime)
					conn.Write(response)
					last = response
				}
			}})
			env.sendID("POST", "/order/1", "")
			got := env.sendID("POST", "/order/2", "")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "2", got.body)
		})
	}
}

// TestIncompleteRefusalDoesNotDelayTheRetry guards against waiting until the deadline for the
// rest of a refusal, the head of which states already that the request did not run.
func TestIncompleteRefusalDoesNotDelayTheRetry(t *testing.T) {
	for name, c := range map[string]struct {
		path, service, body string
		layers              []int
	}{
		"plain":  {"/order/1", "plain", "answer of i-b", nil},
		"stream": {"/once/1", "llm", completeStream(), []int{0, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, onceRoute)
			a, b := env.newReplica("i-a"), env.newReplica("i-b")
			env.publishEntry(a, c.service, "ready", c.layers...)
			env.publishEntry(b, c.service, "ready", c.layers...)
			env.start()
			var refusals atomic.Int64
			a.SetBehavior(platformtest.Behavior{Script: func(conn *platformtest.ScriptedConn) {
				if req, ok := conn.Next(); ok {
					conn.Write(strings.Replace(platformtest.Refusal(req.ID, ""), "Content-Length: 0", "Content-Length: 9", 1))
					refusals.Add(1)
					conn.Next()
				}
			}})
			for refusals.Load() == 0 {
				got := env.send("POST", c.path, "key1", "x")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, c.body, got.body)
			}
		})
	}
}

// onWire returns a response without a body that has the given status line and headers.
func onWire(status string, headers ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(append(headers, "Content-Length: 0"), "\r\n") + "\r\n\r\n"
}

// TestOnlyAWholeRefusalOfThisRequestIsBelieved guards against responses that resemble a
// refusal: the replica runs the request, which must be neither refused nor sent to another
// replica.
func TestOnlyAWholeRefusalOfThisRequestIsBelieved(t *testing.T) {
	refusal := func(id string) string { return platformtest.Refusal(id, "") }
	success := func(id string) string { return platformtest.Answer(id, http.StatusOK, "done") }
	for name, c := range map[string]struct {
		response func(id string) string
		status   int
	}{
		"wrong replica, without the ID": {func(string) string { return onWire("421 Misdirected Request") }, http.StatusBadGateway},
		"refusal without the ID":        {func(string) string { return refusal("") }, http.StatusBadGateway},
		"refusal with another ID":       {func(string) string { return refusal("other") + success("other") }, http.StatusBadGateway},
		"truncated head":                {func(id string) string { return strings.TrimSuffix(refusal(id), "\r\n") }, http.StatusBadGateway},
		"rest of an earlier refusal":    {func(id string) string { return "queue is full" + refusal(id) }, http.StatusBadGateway},
		"interim response": {func(id string) string {
			return strings.Replace(refusal(id), "503 Service Unavailable", "103 Early Hints", 1) + success(id)
		}, http.StatusOK},
		"refusal after the success": {func(id string) string { return success(id) + refusal(id) }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, "")
			a, b := env.newReplica("i-a"), env.newReplica("i-b")
			env.publishEntry(a, "plain", "ready")
			env.publishEntry(b, "plain", "ready")
			env.start()
			a.SetBehavior(platformtest.Behavior{Script: func(conn *platformtest.ScriptedConn) {
				if req, ok := conn.Next(); ok {
					req.Run()
					conn.Write(c.response(req.ID))
				}
			}})
			got := env.send("POST", "/order/1", "key1", strings.Repeat("x", 60_000))
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Len(t, a.Runs(), 1)
			require.Empty(t, b.Runs())
		})
	}
}

// TestRefusalWithinAStreamBreaksIt guards against a stream that runs a second time, or that
// looks complete, after a refusal of the same request among its events.
func TestRefusalWithinAStreamBreaksIt(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, onceRoute)
	replicas := []*platformtest.Replica{env.newReplica("i-a"), env.newReplica("i-b")}
	for _, r := range replicas {
		env.publishEntry(r, "llm", "ready", 0, 4)
		r.SetBehavior(platformtest.Behavior{Script: func(conn *platformtest.ScriptedConn) {
			if req, ok := conn.Next(); ok {
				req.Run()
				head, _, _ := strings.Cut(platformtest.Answer(req.ID, http.StatusOK, ""), "Content-Length")
				const event = "id: 1\ndata: token 1\n\n"
				conn.Write(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(event), event))
				conn.Write(platformtest.Refusal(req.ID, "") + "0\r\n\r\n")
			}
		}})
	}
	env.start()
	got := env.send("POST", "/once/1", "key1", "prompt")
	require.Error(t, got.err, "the stream must not look complete")
	require.Equal(t, 1, len(replicas[0].Runs())+len(replicas[1].Runs()))
}
