package mesh

import (
	"go.uber.org/zap"

	"masticbank.example/core/roster"
	"masticbank.example/node/peer/peerpb"
)

// ForwardUpdates forwards the updates of replicas' entries that this instance read from
// the platform's store to the peers.
func (m *Mesh) ForwardUpdates(u roster.Updates) { m.broadcast(encodeUpdates(u)) }

// sendDeparted sends the processes of replicas that are leaving or have left to a new
// peer. The peer may have restarted, and the entries in the store need not show this.
func (m *Mesh) sendDeparted(to string) {
	if m.opts.Departed == nil {
		return
	}
	list := m.opts.Departed()
	if len(list) == 0 {
		return
	}
	if err := m.node.Send(to, encodeDepartures(list)); err != nil {
		m.opts.Logger.Info("failed to send departed replicas to a peer", zap.String("peer", to), zap.Error(err))
	}
}

func encodeDepartures(list []roster.Process) *peerpb.Departures {
	out := &peerpb.Departures{}
	for _, p := range list {
		out.Processes = append(out.Processes, &peerpb.UpstreamProcess{Upstream: p.ID, Born: p.StartTime})
	}
	return out
}

func encodeUpdates(u roster.Updates) *peerpb.UpstreamChanges {
	out := &peerpb.UpstreamChanges{Era: uint64(u.Era), FromOffset: uint64(u.From), ToOffset: uint64(u.To)}
	for _, update := range u.List {
		out.Changes = append(out.Changes, &peerpb.UpstreamChange{
			Upstream: update.ID,
			Offset:   uint64(update.Offset),
			Entry:    encodeEntry(update.Entry),
		})
	}
	return out
}

func encodeEntry(e *roster.Entry) *peerpb.UpstreamEntry {
	if e == nil {
		return nil
	}
	out := &peerpb.UpstreamEntry{
		Service:  e.Service,
		Address:  e.Address,
		Zone:     e.Zone,
		Kind:     e.Kind,
		Slots:    uint32(e.Slots),
		Draining: e.State == roster.Draining,
		Born:     e.StartTime,
		Sequence: e.Sequence,
	}
	if l := e.Layers; l != nil {
		out.Layers = &peerpb.UpstreamLayers{From: uint32(l.From), To: uint32(l.To), Version: l.Version}
	}
	return out
}

func decodeUpdates(m *peerpb.UpstreamChanges) roster.Updates {
	out := roster.Updates{Era: int64(m.GetEra()), From: int64(m.GetFromOffset()), To: int64(m.GetToOffset())}
	for _, change := range m.GetChanges() {
		out.List = append(out.List, roster.Update{
			ID:     change.GetUpstream(),
			Offset: int64(change.GetOffset()),
			Entry:  decodeEntry(change.GetUpstream(), change.GetEntry()),
		})
	}
	return out
}

func decodeEntry(id string, m *peerpb.UpstreamEntry) *roster.Entry {
	if m == nil {
		return nil
	}
	e := &roster.Entry{
		ID:        id,
		Service:   m.GetService(),
		Address:   m.GetAddress(),
		Zone:      m.GetZone(),
		Kind:      m.GetKind(),
		Slots:     int(m.GetSlots()),
		StartTime: m.GetBorn(),
		Sequence:  m.GetSequence(),
	}
	if m.GetDraining() {
		e.State = roster.Draining
	}
	if l := m.GetLayers(); l != nil {
		e.Layers = &roster.Layers{From: int(l.GetFrom()), To: int(l.GetTo()), Version: l.GetVersion()}
	}
	return e
}
