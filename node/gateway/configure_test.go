package gateway

import (
	"net/http"
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
		Version: 2,
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
		if service != "next" {
			return nil
		}
		during = g.send("/plain/1", 10*time.Second)
		return []roster.Entry{{ID: "n", Service: service, Address: address, Zone: "z", StartTime: 1}}
	})
	require.Equal(t, http.StatusOK, during)
	require.Equal(t, http.StatusOK, g.send("/plain/1", 10*time.Second))
}
