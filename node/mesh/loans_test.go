package mesh_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/retry"
	"masticbank.example/node/mesh"
)

// TestPeerKeepsItsUnusedRetries guards against retries that never reach the instance that asked for them, or
// that it gets and the lender keeps.
func TestPeerKeepsItsUnusedRetries(t *testing.T) {
	port := freePort(t)
	a, b := newFakeGateway(), newFakeGateway()
	const lendable = 1e6
	b.available["s"] = lendable
	ma := start(t, "a", net.JoinHostPort("127.0.0.1", port), a, mesh.Options{})
	mb := start(t, "b", net.JoinHostPort("127.0.0.2", port), b, mesh.Options{})
	members := map[string]string{"a": "127.0.0.1", "b": "127.0.0.2"}
	ma.SetMembers(members)
	mb.SetMembers(members)
	// A message is lost if its session is replaced by the one that the other side dialed.
	require.Eventually(t, func() bool {
		ma.AskForRetries("s", retry.Ask{ID: 1, Peers: 3, Each: 1})
		return a.locked(func() bool { return a.received[1] > 0 })()
	}, waitTimeout, 10*time.Millisecond)
	a.mu.Lock()
	b.mu.Lock()
	defer a.mu.Unlock()
	defer b.mu.Unlock()
	require.LessOrEqual(t, a.received[1]+b.available["s"], lendable)
}
