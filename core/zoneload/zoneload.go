// Package zoneload sums the load that entry instances put on the replicas. In large systems
// an instance sends its load only to the instances of its own zone. One instance of each
// zone, its relay, sends the zone's sum to the relays of the other zones and forwards the
// sum of the other zones to its own. The number of messages per zone then depends on the
// size of the zone instead of the square of the number of all instances. The package
// performs no I/O and has no clock.
package zoneload

import (
	"time"

	"masticbank.example/core/pipeline"
)

// Loads is the load of one instance or the sum of several.
type Loads struct {
	// Upstreams holds the load by replica, Links the tokens per second by pair of
	// zones.
	Upstreams map[uint32]pipeline.Load
	Links     map[uint32]float64
}

// New returns an empty Loads.
func New() Loads { return Loads{Upstreams: map[uint32]pipeline.Load{}, Links: map[uint32]float64{}} }

func (l Loads) add(other Loads) {
	for id, o := range other.Upstreams {
		s := l.Upstreams[id]
		s.Reserved += o.Reserved
		s.Sequences += o.Sequences
		s.Prefill += o.Prefill
		l.Upstreams[id] = s
	}
	for link, rate := range other.Links {
		l.Links[link] += rate
	}
}

// Sums holds the loads that one instance received from others and computes their sums. It is
// not safe for concurrent use.
type Sums struct {
	zone       string
	peers      map[string]received
	zones      map[string]received
	otherZones received
}

type received struct {
	receivedAt time.Time
	zone       string
	Loads
}

// NewSums returns an empty Sums for an instance in a zone.
func NewSums(zone string) *Sums {
	return &Sums{zone: zone, peers: map[string]received{}, zones: map[string]received{}, otherZones: received{Loads: New()}}
}

// SetPeer records the load of another instance. It replaces the one recorded before.
func (s *Sums) SetPeer(now time.Time, id, zone string, l Loads) {
	s.peers[id] = received{receivedAt: now, zone: zone, Loads: l}
}

// SetZone records the sum of another zone that its relay sent.
func (s *Sums) SetZone(now time.Time, zone string, l Loads) {
	if zone != s.zone {
		s.zones[zone] = received{receivedAt: now, zone: zone, Loads: l}
	}
}

// SetOthers records the sum of all other zones that the relay of this zone sent.
func (s *Sums) SetOthers(now time.Time, l Loads) { s.otherZones = received{receivedAt: now, Loads: l} }

// Expire deletes loads that were received before oldest.
func (s *Sums) Expire(oldest time.Time) {
	for id, p := range s.peers {
		if p.receivedAt.Before(oldest) {
			delete(s.peers, id)
		}
	}
	for zone, z := range s.zones {
		if z.receivedAt.Before(oldest) {
			delete(s.zones, zone)
		}
	}
	if s.otherZones.receivedAt.Before(oldest) {
		s.otherZones = received{Loads: New()}
	}
}

// OwnZone returns the sum of this zone, including the load of this instance.
func (s *Sums) OwnZone(own Loads) Loads {
	sum := New()
	sum.add(own)
	for _, p := range s.peers {
		if p.zone == s.zone {
			sum.add(p.Loads)
		}
	}
	return sum
}

// OtherZones returns the sum of the other zones. It is complete on a relay only.
func (s *Sums) OtherZones() Loads {
	sum := New()
	for _, z := range s.zones {
		sum.add(z.Loads)
	}
	return sum
}

// Received returns the number of instances whose load was received directly.
func (s *Sums) Received() int {
	n := 0
	for _, p := range s.peers {
		if p.zone == s.zone || len(p.Upstreams) > 0 {
			n++
		}
	}
	return n
}

// Remote returns the load of all other instances. A relay receives the load of the other
// zones from their relays, any other instance receives it from the relay of its own zone.
func (s *Sums) Remote(relay bool) Loads {
	sum := New()
	for _, p := range s.peers {
		sum.add(p.Loads)
	}
	if relay {
		for _, z := range s.zones {
			sum.add(z.Loads)
		}
	} else {
		sum.add(s.otherZones.Loads)
	}
	return sum
}
