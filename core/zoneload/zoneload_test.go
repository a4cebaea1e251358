package zoneload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/zoneload"
)

var start = time.Unix(1000, 0)

// Distributes the loads of instances in several zones, through relays or, as in small
// systems, directly, and compares the result on each instance with the plain sum.
func TestEachInstanceKnowsTheLoadOfAllOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.Bool().Draw(t, "relays")
		type instance struct {
			id, zone string
			own      zoneload.Loads
			sums     *zoneload.Sums
			relay    bool
		}
		var all []*instance
		for z := range rapid.IntRange(1, 4).Draw(t, "zones") {
			zone := fmt.Sprintf("z%d", z)
			for k := range rapid.IntRange(1, 4).Draw(t, "instances") {
				own := zoneload.New()
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					id := rapid.Uint32Range(1, 4).Draw(t, "replica")
					l := own.Upstreams[id]
					l.Reserved += float64(rapid.IntRange(1, 100).Draw(t, "reserved"))
					l.Sequences++
					own.Upstreams[id] = l
					own.Links[id] += 7
				}
				all = append(all, &instance{
					id: fmt.Sprint(zone, "-", k), zone: zone, own: own, sums: zoneload.NewSums(zone), relay: relays && k == 0,
				})
			}
		}
		each := func(f func(a, b *instance)) {
			for _, a := range all {
				for _, b := range all {
					if a != b {
						f(a, b)
					}
				}
			}
		}
		each(func(a, b *instance) {
			if !relays || a.zone == b.zone {
				b.sums.SetPeer(start, a.id, a.zone, a.own)
			}
		})
		each(func(a, b *instance) {
			if a.relay && b.relay {
				b.sums.SetZone(start, a.zone, a.sums.OwnZone(a.own))
			}
		})
		each(func(a, b *instance) {
			if a.relay && a.zone == b.zone {
				b.sums.SetOthers(start, a.sums.OtherZones())
			}
		})
		for _, b := range all {
			want := zoneload.New()
			for _, a := range all {
				if a != b {
					for id, l := range a.own.Upstreams {
						w := want.Upstreams[id]
						want.Upstreams[id] = pipeline.Load{Reserved: w.Reserved + l.Reserved, Sequences: w.Sequences + l.Sequences}
						want.Links[id] += a.own.Links[id]
					}
				}
			}
			require.Equal(t, want, b.sums.Remote(b.relay))
			b.sums.Expire(start.Add(time.Second))
			require.Equal(t, zoneload.New(), b.sums.Remote(b.relay), "old loads are deleted")
		}
	})
}
