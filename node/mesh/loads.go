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
	// tellPeriod is the shortest time between two messages about load. A usual request
	// lasts several seconds.
	tellPeriod = 200 * time.Millisecond
	// periodForPeer lengthens it with the number of instances that tell each other their
	// load, so that what an instance receives is bounded.
	periodForPeer = 10 * time.Millisecond
	// statusPeriod is the time between two messages to instances of other zones, which
	// hold no load where the zones have relays.
	statusPeriod = time.Second
	// staleAfter is the time after which the load of a silent peer is dropped.
	staleAfter = 4 * time.Second
)

// Run tells and takes loads until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var statusAt time.Time
	for {
		r := m.roles()
		t := time.NewTimer(max(tellPeriod, time.Duration(len(r.near))*periodForPeer))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case now := <-t.C:
			m.tell(r, now.Sub(statusAt) >= statusPeriod)
			if now.Sub(statusAt) >= statusPeriod {
				statusAt = now
			}
			m.take(now, r)
		}
	}
}

// roles tells who tells whom, as this instance sees it.
type roles struct {
	// near are the peers that this instance tells its load, far the others.
	near, far []string
	// relay is true if this instance is the relay of its zone, for relays, those of the
	// other zones.
	relay  bool
	relays []string
}

// roles splits the peers by zone if there are many. The relay of a zone is chosen by rank
// among the instances there that are connected.
func (m *Mesh) roles() roles {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r roles
	zones := map[string][]string{}
	for id, c := range m.connected {
		if len(m.connected) < fewPeers || c.zone == m.opts.Zone {
			r.near = append(r.near, id)
			continue
		}
		r.far = append(r.far, id)
		zones[c.zone] = append(zones[c.zone], id)
	}
	r.relay = len(r.far) > 0 && readers.Among(m.opts.Member, r.near, 1)
	for _, list := range zones {
		r.relays = append(r.relays, readers.First(list))
	}
	return r
}

// tell sends the work of this instance to the peers nearby, the rest of its state to all,
// and what a relay adds.
func (m *Mesh) tell(r roles, status bool) {
	message := &peerpb.UpstreamLoads{
		Evidence:  m.opts.Gateway.EvidenceDigest(),
		StoreAway: m.opts.StoreAway != nil && m.opts.StoreAway(),
	}
	if m.opts.Duty != nil {
		message.DutyGeneration = uint64(m.opts.Duty())
	}
	if status {
		m.send(r.far, message)
	}
	own := m.own()
	full := proto.Clone(message).(*peerpb.UpstreamLoads)
	full.Loads, full.Links = encodeLoads(own)
	m.send(r.near, full)
	if !r.relay {
		return
	}
	m.mu.Lock()
	zone, others := m.sums.OwnZone(own), m.sums.OtherZones()
	m.mu.Unlock()
	m.send(r.relays, encodeZone(m.opts.Zone, zone))
	m.send(r.near, encodeZone("", others))
}

// own returns the work of this instance.
func (m *Mesh) own() zoneload.Loads {
	out := zoneload.New()
	for _, loads := range m.opts.Gateway.Loads() {
		for id, l := range loads {
			out.Upstreams[key(id)] = l
		}
	}
	for link, rate := range m.opts.Gateway.Links() {
		out.Links[linkKey(link)] = rate
	}
	return out
}

// take hands the load of all others to the gateway.
func (m *Mesh) take(now time.Time, r roles) {
	m.mu.Lock()
	m.sums.Expire(now.Add(-staleAfter))
	foreign := m.sums.Foreign(r.relay)
	m.mu.Unlock()
	m.opts.Gateway.SetForeign(
		func(replica string) pipeline.Load { return foreign.Upstreams[key(replica)] },
		func(link pipeline.Link) float64 { return foreign.Links[linkKey(link)] },
	)
}

// send sends a message to some peers; what is told again soon may be lost.
func (m *Mesh) send(to []string, message proto.Message) {
	for _, id := range to {
		if err := m.node.Send(id, message); err != nil {
			m.opts.Logger.Debug("load not told", zap.String("peer", id), zap.Error(err))
		}
	}
}

func encodeLoads(l zoneload.Loads) ([]*peerpb.UpstreamLoad, []*peerpb.LinkLoad) {
	var loads []*peerpb.UpstreamLoad
	var links []*peerpb.LinkLoad
	for id, one := range l.Upstreams {
		loads = append(loads, &peerpb.UpstreamLoad{
			Upstream:  id,
			Sequences: uint32(one.Sequences),
			Reserved:  uint32(one.Reserved / unit),
			Reading:   uint32(one.Reading / unit),
		})
	}
	for link, rate := range l.Links {
		links = append(links, &peerpb.LinkLoad{Link: link, TokensPerSecond: uint32(rate)})
	}
	return loads, links
}

func encodeZone(zone string, l zoneload.Loads) *peerpb.ZoneLoads {
	loads, links := encodeLoads(l)
	return &peerpb.ZoneLoads{Zone: zone, Loads: loads, Links: links}
}

func decodeLoads(loads []*peerpb.UpstreamLoad, links []*peerpb.LinkLoad) zoneload.Loads {
	out := zoneload.New()
	for _, l := range loads {
		out.Upstreams[l.GetUpstream()] = pipeline.Load{
			Sequences: float64(l.GetSequences()),
			Reserved:  float64(l.GetReserved()) * unit,
			Reading:   float64(l.GetReading()) * unit,
		}
	}
	for _, l := range links {
		out.Links[l.GetLink()] += float64(l.GetTokensPerSecond())
	}
	return out
}

// UpstreamLoads implements peer.Handler.
func (h *handler) UpstreamLoads(from string, loads *peerpb.UpstreamLoads) {
	if n := loads.GetDutyGeneration(); n > 0 && h.mesh.opts.OnDuty != nil {
		h.mesh.opts.OnDuty(int64(n))
	}
	h.mesh.compareEvidence(from, loads.GetEvidence())
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	c, ok := h.mesh.connected[from]
	if !ok {
		return
	}
	c.away = loads.GetStoreAway()
	h.mesh.connected[from] = c
	h.mesh.sums.Peer(time.Now(), from, c.zone, decodeLoads(loads.GetLoads(), loads.GetLinks()))
}

// ZoneLoads implements peer.Handler.
func (h *handler) ZoneLoads(_ string, m *peerpb.ZoneLoads) {
	loads := decodeLoads(m.GetLoads(), m.GetLinks())
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	if m.GetZone() == "" {
		h.mesh.sums.Others(time.Now(), loads)
		return
	}
	h.mesh.sums.Zone(time.Now(), m.GetZone(), loads)
}
