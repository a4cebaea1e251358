package mesh_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/readers"
	"masticbank.example/node/mesh"
)

// TestZonesExchangeLoadOverRelays has so many instances that only relays exchange load
// between zones: each instance must know the total load of all others, also after the relay
// of a zone has ended.
func TestZonesExchangeLoadOverRelays(t *testing.T) {
	const instances, zones = 24, 3
	port := freePort(t)
	members := map[string]string{}
	byZone := map[string][]string{}
	fakes := map[string]*fakeGateway{}
	all := map[string]*mesh.Mesh{}
	for i := range instances {
		id, ip, zone := fmt.Sprintf("m%d", i), fmt.Sprintf("127.0.0.%d", i+1), fmt.Sprintf("z%d", i%zones)
		members[id] = ip
		byZone[zone] = append(byZone[zone], id)
		f := newFakeGateway()
		f.own["r1"] = pipeline.Load{Reserved: 3000, Sequences: 1, Prefill: 1000}
		fakes[id] = f
		all[id] = start(t, id, net.JoinHostPort(ip, port), f, mesh.Options{Zone: zone})
	}
	for _, m := range all {
		m.SetMembers(members)
	}
	known := func(others int) func() bool {
		want := pipeline.Load{Reserved: 3000 * float64(others), Sequences: float64(others), Prefill: 1000 * float64(others)}
		return func() bool {
			for id := range all {
				f := fakes[id]
				f.mu.Lock()
				ok := f.remoteLoad != nil && f.remoteLoad("r1") == want
				f.mu.Unlock()
				if !ok {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, known(instances-1), waitTimeout, 20*time.Millisecond)
	relay := readers.Highest(byZone["z0"])
	require.NoError(t, all[relay].Close(t.Context()))
	delete(all, relay)
	require.Eventually(t, known(instances-2), waitTimeout, 20*time.Millisecond, "another instance replaces the relay of the zone")
	configReaders := 0
	for _, m := range all {
		if m.IsConfigReader() {
			configReaders++
		}
	}
	require.Equal(t, 6, configReaders, "only the designated readers follow the configuration")
}
