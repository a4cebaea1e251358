package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/retry"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
)

// movedRoute returns a configuration that sends the route of "/plain/" to the service "next" and has
// no other service.
func movedRoute() *routing.Table {
	return routing.NewTable(&routing.Config{
		Version: 2, Anonymous: true,
		Routes: []routing.Route{{
			Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: routing.Idempotent, MaxAttempts: 3,
			Targets: []routing.Target{{Service: "next", Weight: 1}},
		}},
		Services: []routing.Service{{Name: "next"}},
	})
}

// TestRouteIsInForceBeforeItsReplicasAreKnown guards against requests that are refused because a
// configuration sends them to a service whose replicas are not set yet.
func TestRouteIsInForceBeforeItsReplicasAreKnown(t *testing.T) {
	address := startReplica(t, answers)
	g := newResendGateway(t, retry.Limit{Window: 10 * time.Second}, address)
	during := 0
	g.Configure(movedRoute(), func(service string) []roster.Entry {
		if service == "next" {
			during = g.send("/plain/1", 10*time.Second)
		}
		return []roster.Entry{{ID: "n", Service: service, Address: address, Zone: "z", StartTime: 1}}
	})
	require.Equal(t, http.StatusOK, during)
	require.Equal(t, http.StatusOK, g.send("/plain/1", 10*time.Second))
}

// TestReplicaThatLeftARemovedServiceGetsARetry guards against requests in progress that are sent to
// replicas which have left since the configuration has no such service any more.
func TestReplicaThatLeftARemovedServiceGetsARetry(t *testing.T) {
	var g *resendGateway
	left := 0
	none := func(string) []roster.Entry { return nil }
	first := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
		g.Configure(movedRoute(), none)
		g.SetReplicas(none)
		rejects(w, r)
	})
	second := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
		left++
		answers(w, r)
	})
	g = newResendGateway(t, retry.Limit{Slack: 100, Window: 10 * time.Second}, first, second)
	require.Equal(t, http.StatusServiceUnavailable, g.send("/plain/1", 10*time.Second))
	require.Zero(t, left)
	require.Equal(t, []string{"rejected"}, g.outcomes())
}

// TestRequestIsJudgedByTwoConfigurations guards against requests that one configuration admits and
// another one, which comes into force meanwhile, refuses by its limits.
func TestRequestIsJudgedByTwoConfigurations(t *testing.T) {
	address := startReplica(t, answers)
	g := newResendGateway(t, retry.Limit{Window: 10 * time.Second}, address)
	r := httptest.NewRequest(http.MethodPost, "/plain/1", readerFunc(func(p []byte) (int, error) {
		g.Configure(routing.NewTable(&routing.Config{Version: 2, Limits: routing.Limits{BodyBytes: 1}}), func(string) []roster.Entry {
			return []roster.Entry{{ID: "0", Service: "plain", Address: address, Zone: "z", StartTime: 1}}
		})
		return copy(p, "body"), io.EOF
	}))
	r.Host = "h"
	r.Header.Set("Id", t.Name())
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code)
}

// readerFunc is an io.Reader made of its Read method.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
