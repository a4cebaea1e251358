package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/readers"
	"masticbank.example/core/zoneload"
	"masticbank.example/node/peer/peerpb"
)

const (
	// minLoadPeriod is the minimum time between two load messages. A typical request takes
	// several seconds.
	minLoadPeriod = 200 * time.Millisecond
	// loadPeriodPerPeer, multiplied by the number of receiving peers, is also a minimum
	// time between two load messages. It bounds the rate of messages that an instance
	// receives.
	loadPeriodPerPeer = 10 * time.Millisecond
	// statusPeriod is the time between two messages to instances of other zones. These
	// messages contain no load, which is sent by the relays of the zones.
	statusPeriod = time.Second
	// staleAfter is the time after which the last load received from a peer expires.
	staleAfter = 4 * time.Second
)

// Run periodically publishes the load of this instance and updates the gateway with that
// of the others, until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var statusAt time.Time
	for {
		r := m.currentRoles()
		t := time.NewTimer(max(minLoadPeriod, time.Duration(len(r.near))*loadPeriodPerPeer))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case now := <-t.C:
			m.publish(r, now.Sub(statusAt) >= statusPeriod)
			if now.Sub(statusAt) >= statusPeriod {
				statusAt = now
			}
			m.updateRemoteLoads(now, r)
		}
	}
}

// roles lists the recipients of this instance's messages, according to its own view of
// the system.
type roles struct {
	// near are the peers to which this instance sends its load, far the others.
	near, far []string
	// isRelay is true if this instance is the relay of its zone, which sends the zone's
	// load to otherRelays, the relays of the other zones.
	isRelay     bool
	otherRelays []string
}

// currentRoles divides the peers by zone if there are many. The relay of a zone is chosen
// by rank among the zone's connected instances.
func (m *Mesh) currentRoles() roles {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r roles
	zones := map[string][]string{}
	for id, c := range m.connected {
		if len(m.connected) < minPeersToDivide || c.zone == m.opts.Zone {
			r.near = append(r.near, id)
			continue
		}
		r.far = append(r.far, id)
		zones[c.zone] = append(zones[c.zone], id)
	}
	r.isRelay = len(r.far) > 0 && readers.IsDesignated(m.opts.Member, r.near, 1)
	for _, list := range zones {
		r.otherRelays = append(r.otherRelays, readers.Highest(list))
	}
	return r
}

// publish sends this instance's load and status to the near peers and, if status is set,
// its status to the far ones. A relay also sends the load of its zone to the other relays
// and the load of the other zones to the near peers.
func (m *Mesh) publish(r roles, status bool) {
	message := &peerpb.UpstreamLoads{
		Evidence:  m.opts.Gateway.EvidenceDigest(),
		StoreAway: m.opts.StoreUnavailable != nil && m.opts.StoreUnavailable(),
	}
	if m.opts.LeaderToken != nil {
		message.DutyGeneration = uint64(m.opts.LeaderToken())
	}
	if status {
		m.send(r.far, message)
	}
	own := m.ownLoads()
	full := proto.Clone(message).(*peerpb.UpstreamLoads)
	full.Loads, full.Links = encodeLoads(own)
	m.send(r.near, full)
	if !r.isRelay {
		return
	}
	m.mu.Lock()
	zone, others := m.sums.OwnZone(own), m.sums.OtherZones()
	m.mu.Unlock()
	m.send(r.otherRelays, encodeZone(m.opts.Zone, zone))
	m.send(r.near, encodeZone("", others))
}

// ownLoads returns the load of this instance.
func (m *Mesh) ownLoads() zoneload.Loads {
	out := zoneload.New()
	for _, loads := range m.opts.Gateway.Loads() {
		for id, l := range loads {
			out.Upstreams[replicaKey(id)] = l
		}
	}
	for link, rate := range m.opts.Gateway.Links() {
		out.Links[linkKey(link)] = rate
	}
	return out
}

// updateRemoteLoads passes the total load of all other instances to the gateway.
func (m *Mesh) updateRemoteLoads(now time.Time, r roles) {
	m.mu.Lock()
	m.sums.Expire(now.Add(-staleAfter))
	remote := m.sums.Remote(r.isRelay)
	included := m.sums.Received()
	m.mu.Unlock()
	m.opts.Gateway.SetRemoteLoad(
		func(replica string) pipeline.Load { return remote.Upstreams[replicaKey(replica)] },
		func(link pipeline.Link) float64 { return remote.Links[linkKey(link)] },
		included,
	)
}

// send sends a message to peers. Errors are only logged because the message is repeated
// soon.
func (m *Mesh) send(to []string, message proto.Message) {
	for _, id := range to {
		if err := m.node.Send(id, message); err != nil {
			m.opts.Logger.Debug("failed to send load to a peer", zap.String("peer", id), zap.Error(err))
		}
	}
}

func encodeLoads(l zoneload.Loads) ([]*peerpb.UpstreamLoad, []*peerpb.LinkLoad) {
	var loads []*peerpb.UpstreamLoad
	var links []*peerpb.LinkLoad
	for id, load := range l.Upstreams {
		loads = append(loads, &peerpb.UpstreamLoad{
			Upstream:  id,
			Sequences: uint32(load.Sequences),
			Reserved:  uint32(load.Reserved / tokenUnit),
			Reading:   uint32(load.Prefill / tokenUnit),
		})
	}
	for link, rate := range l.Links {
		links = append(links, &peerpb.LinkLoad{Link: link, TokensPerSecond: uint32(rate)})
	}
	return loads, links
}

// encodeZone encodes the load of a zone, or of all other zones if zone is empty.
func encodeZone(zone string, l zoneload.Loads) *peerpb.ZoneLoads {
	loads, links := encodeLoads(l)
	return &peerpb.ZoneLoads{Zone: zone, Loads: loads, Links: links}
}

func decodeLoads(loads []*peerpb.UpstreamLoad, links []*peerpb.LinkLoad) zoneload.Loads {
	out := zoneload.New()
	for _, l := range loads {
		out.Upstreams[l.GetUpstream()] = pipeline.Load{
			Sequences: float64(l.GetSequences()),
			Reserved:  float64(l.GetReserved()) * tokenUnit,
			Prefill:   float64(l.GetReading()) * tokenUnit,
		}
	}
	for _, l := range links {
		out.Links[l.GetLink()] += float64(l.GetTokensPerSecond())
	}
	return out
}

// UpstreamLoads implements peer.Handler.
func (h *handler) UpstreamLoads(from string, loads *peerpb.UpstreamLoads) {
	if n := loads.GetDutyGeneration(); n > 0 && h.mesh.opts.OnLeaderToken != nil {
		h.mesh.opts.OnLeaderToken(int64(n))
	}
	h.mesh.compareEvidence(from, loads.GetEvidence())
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	c, ok := h.mesh.connected[from]
	if !ok {
		return
	}
	c.storeUnavailable = loads.GetStoreAway()
	h.mesh.connected[from] = c
	h.mesh.sums.SetPeer(time.Now(), from, c.zone, decodeLoads(loads.GetLoads(), loads.GetLinks()))
}

// ZoneLoads implements peer.Handler.
func (h *handler) ZoneLoads(_ string, m *peerpb.ZoneLoads) {
	loads := decodeLoads(m.GetLoads(), m.GetLinks())
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	if m.GetZone() == "" {
		h.mesh.sums.SetOthers(time.Now(), loads)
		return
	}
	h.mesh.sums.SetZone(time.Now(), m.GetZone(), loads)
}
