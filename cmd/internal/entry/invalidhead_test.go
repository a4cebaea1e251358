package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/platform/platformtest"
)

// invalidStatuses are status lines that are no final response.
var invalidStatuses = []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"}

// invalidFieldLines are some lines that make a head invalid.
var invalidFieldLines = []string{
	fieldlinetest.Invalid["space in the name"],
	fieldlinetest.Invalid["space before the colon of a length"],
	fieldlinetest.Invalid["space before the colon of a coding"],
	fieldlinetest.Invalid["obs-fold with a space"],
	fieldlinetest.Invalid["obs-fold with a tab"],
	fieldlinetest.Invalid["ESC in the name"],
}

// oddBody is the body of a response with an invalid head.
const oddBody = "id: 1\ndata: odd\n\n"

// invalidHead is the start of a response with an invalid head.
type invalidHead struct {
	status, fields string
	// followed sends a success of the same request after a head without a body, as if the head were
	// that of an interim response.
	followed bool
}

// encode returns the head and what follows it. The head looks like a signed success, and like a refusal
// unless its status is 200.
func (h *invalidHead) encode(id string) string {
	refusal := platformtest.NotRunHeader + "Retry-After: 1\r\n"
	if h.status == "200 OK" {
		refusal = ""
	}
	rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(oddBody), oddBody)
	if h.followed {
		rest = "Content-Length: 0\r\n\r\n" + platformtest.Answer(id, http.StatusOK, oddBody)
	}
	return platformtest.SignedHead(h.status, id) + h.fields + refusal + "Content-Type: text/event-stream\r\n" + rest
}

// troubled responds to the first send of each request with an invalid head, and runs it. Later sends
// are served.
type troubled struct {
	body string

	mu    sync.Mutex
	head  *invalidHead
	sends map[string]int
}

func (f *troubled) setHead(h *invalidHead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.head, f.sends = h, map[string]int{}
}

// countSend counts a send of a request and returns the response.
func (f *troubled) countSend(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends[id]++
	if f.head != nil && f.sends[id] == 1 {
		return f.head.encode(id)
	}
	return platformtest.Answer(id, http.StatusOK, f.body)
}

func (f *troubled) serve(c *platformtest.ScriptedConn) {
	for {
		req, ok := c.Next()
		if !ok {
			return
		}
		req.Run()
		c.Write(f.countSend(req.ID))
	}
}

// TestInvalidStatusReachesNoClient guards against a head whose status is none that is taken for an
// answer or for a refusal.
func TestInvalidStatusReachesNoClient(t *testing.T) {
	var heads []invalidHead
	for _, followed := range []bool{false, true} {
		for _, status := range invalidStatuses {
			heads = append(heads, invalidHead{status: status, followed: followed})
		}
	}
	testInvalidHeadsReachNoClient(t, heads)
}

// TestInvalidFieldLineReachesNoClient guards against a final or interim head with an invalid field line
// that is taken for an answer or for a refusal.
func TestInvalidFieldLineReachesNoClient(t *testing.T) {
	var heads []invalidHead
	for _, line := range invalidFieldLines {
		heads = append(heads,
			invalidHead{status: "200 OK", fields: line},
			invalidHead{status: "503 Service Unavailable", fields: line},
			invalidHead{status: "103 Early Hints", fields: line, followed: true})
	}
	testInvalidHeadsReachNoClient(t, heads)
}

// testInvalidHeadsReachNoClient tests that the request of an invalid head may have run: one that may not
// be repeated ends with 502, any other runs once more. Nothing of the head or of what follows it reaches
// the client.
func testInvalidHeadsReachNoClient(t *testing.T, heads []invalidHead) {
	for name, c := range map[string]struct {
		method, path, service string
		layers                []int
		body                  string
		repeatable            bool
	}{
		"idempotent":       {"GET", "/look/1", "plain", nil, "done", true},
		"non-idempotent":   {"POST", "/order/1", "plain", nil, "done", false},
		"resumable stream": {"POST", "/chat/1", "llm", []int{0, 4}, completeStream(), true},
		"stream":           {"POST", "/once/1", "llm", []int{0, 4}, completeStream(), false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, onceRoute)
			f := &troubled{body: c.body}
			f.setHead(nil)
			replicas := []*platformtest.Replica{env.newReplica("i-a"), env.newReplica("i-b")}
			for _, r := range replicas {
				env.publishEntry(r, c.service, "ready", c.layers...)
				r.SetBehavior(platformtest.Behavior{Script: f.serve})
			}
			env.start()
			env.eventually(func() bool { return env.send(c.method, c.path, "key1", "x").status == 200 }, "served")
			for _, head := range heads {
				before := len(replicas[0].Runs()) + len(replicas[1].Runs())
				f.setHead(&head)
				got := env.send(c.method, c.path, "key1", "x")
				require.NoError(t, got.err, head)
				runs := len(replicas[0].Runs()) + len(replicas[1].Runs()) - before
				require.NotContains(t, got.body, "odd", head)
				if c.repeatable {
					require.Equal(t, http.StatusOK, got.status, head)
					require.Equal(t, c.body, got.body, head)
					require.Equal(t, 2, runs, head)
					continue
				}
				require.Equal(t, http.StatusBadGateway, got.status, head)
				require.Empty(t, platformtest.Signature(got.header), head)
				require.Empty(t, got.header.Get("Retry-After"), head)
				require.Equal(t, 1, runs, head)
			}
		})
	}
}

// TestUnusualFieldLinesReachClients guards against valid field lines that are taken for invalid ones.
func TestUnusualFieldLinesReachClients(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, onceRoute)
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "llm", "ready", 0, 4)
	env.start()
	env.eventually(func() bool { return env.send("POST", "/once/1", "key1", "x").status == 200 }, "served")
	for _, r := range []*platformtest.Replica{a, b} {
		r.SetBehavior(platformtest.Behavior{Script: func(c *platformtest.ScriptedConn) {
			for req, ok := c.Next(); ok; req, ok = c.Next() {
				req.Run()
				c.Write("HTTP/1.1 103 Early Hints\r\n" + fieldlinetest.Unusual + "\r\n" +
					platformtest.SignedHead("200 OK", req.ID) + fieldlinetest.Unusual +
					fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(completeStream())) + completeStream())
			}
		}})
	}
	for _, path := range []string{"/order/1", "/once/1"} {
		for range 2 {
			got := env.send("POST", path, "key1", "x")
			require.Equal(t, http.StatusOK, got.status, path)
			require.Equal(t, completeStream(), got.body, path)
			for name, value := range fieldlinetest.UnusualValues {
				require.Equal(t, []string{value}, got.header.Values(name), name)
			}
		}
	}
}

// TestBegunStreamContinuesAfterAnInvalidHead guards against a stream that broke off and continues with a
// response whose status is none or with an invalid field line, or ends with it as if it were complete. A
// response with unusual field lines continues it.
func TestBegunStreamContinuesAfterAnInvalidHead(t *testing.T) {
	const threeRuns = `,{"name":"three","host":"h.example","pathPrefix":"/three/","routeKind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"maxAttempts":3,"resumable":true,"service":"llm"}`
	// requestID is the ID of the only request of each environment.
	const requestID = "id-1"
	success := platformtest.SignedHead("200 OK", requestID)
	// expectedSends holds the number of sends by the head of the response to the second one.
	expectedSends := map[string]int{
		success + fieldlinetest.Unusual:                                           2,
		"HTTP/1.1 103 Early Hints\r\n" + fieldlinetest.Unusual + "\r\n" + success: 2,
	}
	for _, status := range invalidStatuses {
		expectedSends[platformtest.SignedHead(status, requestID)] = 3
	}
	for _, line := range invalidFieldLines {
		expectedSends[success+line] = 3
		expectedSends[platformtest.SignedHead("503 Service Unavailable", requestID)+line+platformtest.NotRunHeader] = 3
		expectedSends["HTTP/1.1 103 Early Hints\r\nA: 1\r\n"+line+"\r\n"+success] = 3
	}
	for head, expected := range expectedSends {
		t.Run(head, func(t *testing.T) {
			env := newEnvironment(t)
			env.publishConfig(1, threeRuns)
			var mu sync.Mutex
			sends := 0
			replicas := []*platformtest.Replica{env.newReplica("i-a"), env.newReplica("i-b")}
			for _, r := range replicas {
				env.publishEntry(r, "llm", "ready", 0, 4)
				r.SetBehavior(platformtest.Behavior{Reply: func(string) *platformtest.Reply {
					mu.Lock()
					defer mu.Unlock()
					sends++
					switch sends {
					case 1:
						return &platformtest.Reply{Body: events(1, 3) + "id: 4\nda", Broken: true}
					case 2:
						return &platformtest.Reply{Raw: head + "Content-Type: text/event-stream\r\n\r\n", Body: events(4, 6)}
					}
					return &platformtest.Reply{Body: events(4, 6)}
				}})
			}
			env.start()
			got := env.receiveStream("/three/1", "")
			require.NoError(t, got.err)
			require.Equal(t, events(1, 6), got.body)
			require.Equal(t, expected, sends)
		})
	}
}

// TestInvalidHeadIsNoCrash guards against a request that is blocked as one that crashes replicas because
// replicas whose processes go on responded to it with an invalid head.
func TestInvalidHeadIsNoCrash(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]string{"status": "HTTP/1.1 000 OK\r\n", "field line": "HTTP/1.1 200 OK\r\nOdd Name: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "plain", 4, 1)
			testInvalidHeadIsNoCrash(f, "GET", "/look/1", start)
		})
		t.Run(name+" of a stream", func(t *testing.T) {
			f := newFleet(t, "llm", 4, 1, 0, 4)
			testInvalidHeadIsNoCrash(f, "POST", "/chat/1", start)
		})
	}
}

// testInvalidHeadIsNoCrash tests that a request is served after six responses with the given start of a head.
func testInvalidHeadIsNoCrash(f *fleet, method, path, start string) {
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{Reply: func(string) *platformtest.Reply {
			return &platformtest.Reply{Raw: start + "Content-Length: 0\r\n\r\n"}
		}})
	}
	for range 6 {
		require.Equal(f.t, http.StatusBadGateway, f.send(method, path, "key1", "x").status)
	}
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{})
	}
	f.eventually(func() bool { return f.send(method, path, "key1", "x").status == 200 }, "the request is served")
}
