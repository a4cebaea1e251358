package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/poison"
	"masticbank.example/core/route"
	"masticbank.example/node/wire"
)

// TestEngineReturnsAtNewAddress lists a leaving engine again at a new address:
// it begins anew, and what is still heard of the old one is void.
func TestEngineReturnsAtNewAddress(t *testing.T) {
	r, _ := newPlainRouter(t)
	in := wire.Instance{ID: "a", Role: wire.RoleEngine, Model: "m", Version: "1", LastLayer: 7, Address: "127.0.0.1:1"}
	r.setInstancesAndWait(in)
	p := r.pools["m"]
	old, ok := p.beginStep("a", poison.Fingerprint{}, 0, 0)
	require.True(t, ok)
	require.True(t, r.MarkLeaving("a"))
	// Still leaving while the list shows the same address.
	r.setInstancesAndWait(in)
	require.True(t, p.upstreams["a"].health.Leaving())
	in.Address = "127.0.0.1:2"
	r.setInstancesAndWait(in)
	require.True(t, p.upstreams["a"].usable())
	p.recordRefusal(old, wire.CodeLeaving)
	p.applyLoadReport(old.target, &wire.LoadReport{Leaving: true})
	require.True(t, p.upstreams["a"].usable())
	// Moving while in use leaves no member behind in the group.
	in.Address = "127.0.0.1:3"
	r.setInstancesAndWait(in)
	require.Equal(t, 1, p.group(route.Replica{ID: "a", Last: 7}).Members())
}
