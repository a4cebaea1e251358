package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/poison"
	"masticbank.example/core/route"
	"masticbank.example/node/wire"
)

// A leaving engine that is listed again at a new address must start from scratch, and
// late messages about the old address must not affect it.
func TestEngineReturnsAtNewAddress(t *testing.T) {
	r, _ := newPlainRouter(t)
	in := wire.Instance{ID: "a", Role: wire.RoleEngine, Model: "m", Version: "1", LastLayer: 7, Address: "127.0.0.1:1"}
	r.setInstancesAndWait(in)
	p := r.pools["m"]
	old, ok := p.beginStep("a", poison.Fingerprint{}, 0, 0)
	require.True(t, ok)
	require.True(t, r.MarkLeaving("a"))
	// The unchanged address does not end the leaving state.
	r.setInstancesAndWait(in)
	require.True(t, p.upstreams["a"].health.Leaving())
	in.Address = "127.0.0.1:2"
	r.setInstancesAndWait(in)
	require.True(t, p.upstreams["a"].usable())
	p.recordRefusal(old, wire.CodeLeaving)
	p.applyLoadReport(old.target, &wire.LoadReport{Leaving: true})
	require.True(t, p.upstreams["a"].usable())
	// A move while in use must not leave a stale member in the health group.
	in.Address = "127.0.0.1:3"
	r.setInstancesAndWait(in)
	require.Equal(t, 1, p.group(route.Replica{ID: "a", Last: 7}).Members())
}
