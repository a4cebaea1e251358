package router

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/node/engine"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/statusline"
	"masticbank.example/node/wire"
)

// setHead makes calls and probes get a response with the given head, without "HTTP/1.1" and the length.
func (rep *fakeReplica) setHead(head string) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.head = head
}

// TestInvalidHeadOfAServiceIsNoResponse guards against a response whose status is none, or with an invalid
// field line, that is passed on as that of the service. A call that may be repeated moves on; any other
// ends, may have run, and promises nothing. The replica gets no further calls, and the call is no cause of
// a crash.
func TestInvalidHeadOfAServiceIsNoResponse(t *testing.T) {
	heads := []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"}
	for _, line := range fieldlinetest.Invalid {
		heads = append(heads, "200 OK\r\nA: 1\r\n"+strings.TrimSuffix(line, "\r\n"))
	}
	for _, head := range heads {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(head+" "+method, func(t *testing.T) {
				r, e := newPlainRouter(t)
				a, b := newFakeReplica(t, "a"), newFakeReplica(t, "b")
				r.setInstancesAndWait(a.Instance, b.Instance)
				a.setHead(head)
				res := callService(t, r, method)
				if method == http.MethodGet {
					require.True(t, res.Complete)
					require.Equal(t, http.StatusOK, res.Response.Status)
					require.Equal(t, 1, b.served())
				} else {
					require.Nil(t, res.Response)
					require.Equal(t, CodeUpstreamFailed, res.Code)
					require.Equal(t, execution.Unknown, res.Execution)
					require.Zero(t, res.RetryAfter)
					require.Zero(t, b.served(), "the call may have run")
				}
				require.Equal(t, 1, a.served())
				require.Equal(t, []string{"a"}, e.ejected)
				for range 4 {
					require.True(t, callService(t, r, http.MethodPost).Complete, "the call is not blocked")
				}
				require.Equal(t, 1, a.served())
			})
		}
	}
}

// TestInvalidHeadOfAnEngineIsProbed guards against an engine that goes on getting steps although it
// responds to all of them with a head that cannot be relied on: it is probed and ejected, and the request
// moves on. The requests on it are no cause of a crash.
func TestInvalidHeadOfAnEngineIsProbed(t *testing.T) {
	for _, cause := range []error{statusline.ErrInvalid, fieldline.ErrInvalid} {
		t.Run(cause.Error(), func(t *testing.T) { testInvalidHeadOfAnEngine(t, cause) })
	}
}

func testInvalidHeadOfAnEngine(t *testing.T, cause error) {
	engines := &fakeEngines{}
	odd := ""
	invalid := &engine.CallError{Proof: engine.ProofNone, Code: engine.CodeProtocol, Err: cause}
	engines.onStep = func(_ context.Context, to engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error) {
		if odd == "" {
			odd = to.ID
		}
		if to.ID == odd {
			return nil, true, invalid
		}
		return correctResponse(r), true, nil
	}
	engines.probe = func(to engine.Target) error {
		if to.ID == odd {
			return invalid
		}
		return nil
	}
	withRouter(t, engines, fleet(3, 9), func(t *testing.T, r *Router, _ *discardCounter) {
		for n := range 5 {
			sink := &textSink{}
			res := r.Generate(context.Background(), testRequest("a", 5, time.Minute), sink)
			require.True(t, res.Complete)
			require.Equal(t, completeResponse("a", 5), sink.texts)
			synctest.Wait()
			if n == 0 {
				require.Equal(t, 2, res.Attempts)
				require.Zero(t, r.pool(testModel).upstreams[odd].health.Weight())
			} else {
				require.Equal(t, 1, res.Attempts)
			}
		}
	})
}
