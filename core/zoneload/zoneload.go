// Package zoneload adds up the load that entry instances have on the replicas. In large
// systems an instance tells its load to those of its own zone only. One instance of each
// zone, its relay, tells the sum to the relays of the other zones, and passes on what they
// tell. Messages then grow with the instances of a zone and not with the square of all.
// The package has no I/O and no clock.
package zoneload

import (
	"time"

	"masticbank.example/core/pipeline"
)

// Loads is the load of one instance, or the sum of several.
type Loads struct {
	// Upstreams is by replica, Links by pair of zones, in prompt tokens a second.
	Upstreams map[uint32]pipeline.Load
	Links     map[uint32]float64
}

// New returns a Loads without load.
func New() Loads { return Loads{Upstreams: map[uint32]pipeline.Load{}, Links: map[uint32]float64{}} }

func (l Loads) add(other Loads) {
	for id, o := range other.Upstreams {
		s := l.Upstreams[id]
		s.Reserved += o.Reserved
		s.Sequences += o.Sequences
		s.Reading += o.Reading
		l.Upstreams[id] = s
	}
	for link, rate := range other.Links {
		l.Links[link] += rate
	}
}

// Sums holds what one instance was told. It is not safe for concurrent use.
type Sums struct {
	zone   string
	peers  map[string]told
	zones  map[string]told
	others told
}

type told struct {
	at   time.Time
	zone string
	Loads
}

// NewSums returns the Sums of an instance in a zone.
func NewSums(zone string) *Sums {
	return &Sums{zone: zone, peers: map[string]told{}, zones: map[string]told{}, others: told{Loads: New()}}
}

// Peer takes the load of another instance, in place of what it told before.
func (s *Sums) Peer(now time.Time, id, zone string, l Loads) {
	s.peers[id] = told{at: now, zone: zone, Loads: l}
}

// Zone takes the sum of another zone from its relay.
func (s *Sums) Zone(now time.Time, zone string, l Loads) {
	if zone != s.zone {
		s.zones[zone] = told{at: now, zone: zone, Loads: l}
	}
}

// Others takes the sum of all other zones from the relay of this one.
func (s *Sums) Others(now time.Time, l Loads) { s.others = told{at: now, Loads: l} }

// Expire forgets what was told before oldest.
func (s *Sums) Expire(oldest time.Time) {
	for id, p := range s.peers {
		if p.at.Before(oldest) {
			delete(s.peers, id)
		}
	}
	for zone, z := range s.zones {
		if z.at.Before(oldest) {
			delete(s.zones, zone)
		}
	}
	if s.others.at.Before(oldest) {
		s.others = told{Loads: New()}
	}
}

// OwnZone returns the sum of this zone, with the load of this instance.
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

// OtherZones returns the sum of the other zones, as a relay knows it.
func (s *Sums) OtherZones() Loads {
	sum := New()
	for _, z := range s.zones {
		sum.add(z.Loads)
	}
	return sum
}

// Foreign returns the load of all other instances. A relay knows the other zones from
// their relays, another instance from its own.
func (s *Sums) Foreign(relay bool) Loads {
	sum := New()
	for _, p := range s.peers {
		sum.add(p.Loads)
	}
	if relay {
		for _, z := range s.zones {
			sum.add(z.Loads)
		}
	} else {
		sum.add(s.others.Loads)
	}
	return sum
}
