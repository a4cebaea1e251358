// Package mesh tells the other entry instances what this one has on the replicas,
// which replicas it found silent, which are leaving, and what it read from the
// platform's store, and hands on what they tell. Everything may be lost: choices get
// worse, and instances read the store themselves.
package mesh

import (
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
	"masticbank.example/core/readers"
	"masticbank.example/core/roster"
	"masticbank.example/core/zoneload"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
)

const (
	// pullDelay is how long a version that a peer has in force may take to come from
	// the store. It usually comes within milliseconds.
	pullDelay = 400 * time.Millisecond
	// unit is what reserved and reading figures are told in.
	unit = 1000
	// configReaders is the number of instances that follow the configuration for all. All
	// of them are turned away by the store at once, in an outage for a third of the
	// machines, once in 700 times; others take over within seconds then.
	configReaders = 6
	// deputies is the number of instances that step in for the one with the duty.
	deputies = 2
	// fewPeers is the number of peers below which each instance follows it.
	fewPeers = 20
	// paceUnit is what a pace of 1 is told as.
	paceUnit = 100
)

// Gateway is the part of the gateway that is needed.
type Gateway interface {
	// Loads returns the work of this instance by service and replica.
	Loads() map[string]map[string]pipeline.Load
	// Links returns what this instance sends between zones, in prompt tokens a
	// second.
	Links() map[pipeline.Link]float64
	// SetForeign takes the work of all other instances by replica and by link.
	SetForeign(of func(replica string) pipeline.Load, link func(pipeline.Link) float64)
	// Rejected takes a replica out of use that rejected a request of another instance
	// for the count-th time in a row.
	Rejected(replica string, count int)
	// Observe takes what another instance has read from the replicas.
	Observe(of func(replica string) (pipeline.Observed, bool))
	// Suspect takes a replica that another instance found silent out of use.
	Suspect(replica string)
	// LearnEvidence takes what another instance knows about requests that crash
	// replicas.
	LearnEvidence(poison.State)
	// Evidence returns what this instance knows about them, EvidenceDigest a value that
	// differs if another instance knows something else.
	Evidence() poison.State
	EvidenceDigest() uint64
}

// Options configures a Mesh.
type Options struct {
	// Member is the unique name of this process.
	Member string
	Zone   string
	// Listen is the address for peers.
	Listen string
	// Cluster is what all instances have in common; the key by which peers know
	// each other is made from it.
	Cluster string
	Gateway Gateway
	// OnLeaving is called with a process of a replica that leaves by its own word,
	// OnRemoved with the ID of a replica whose entry is gone.
	OnLeaving func(roster.Process)
	OnRemoved func(replica string)
	// Departed, if set, returns the processes that leave or have left, for new peers.
	Departed func() []roster.Process
	// OnSilent is called with the ID of a replica that a peer found silent.
	OnSilent func(replica string)
	// Duty returns the generation under which this instance holds the duty, or 0.
	Duty func() int64
	// OnConfig is called with a configuration that a peer has in force.
	OnConfig func(content []byte)
	// OnUpdates is called with what the peer with the duty has read of the replicas.
	OnUpdates func(roster.Updates)
	// StoreAway, if set, tells whether the platform's store does not answer this instance.
	StoreAway func() bool
	// OnDuty is called with the generation under which a peer holds it.
	OnDuty func(generation int64)
	Logger *zap.Logger
}

// Mesh is safe for concurrent use.
type Mesh struct {
	opts Options
	node *peer.Node

	mu    sync.Mutex
	peers int
	sums  *zoneload.Sums
	// connected holds the peers with a session.
	connected map[string]connected
	// differing holds the peers that know other evidence than this instance.
	differing map[string]difference
}

// connected is a peer with a session.
type connected struct {
	zone string
	// away is true if the platform's store does not answer it.
	away bool
}

// Start listens for peers.
func Start(o Options) (*Mesh, error) {
	key := sha256.Sum256([]byte("masticbank peers of " + o.Cluster))
	m := &Mesh{opts: o, sums: zoneload.NewSums(o.Zone), connected: map[string]connected{}, differing: map[string]difference{}}
	node, err := peer.New(peer.Options{
		ID: o.Member,
		// The name is new for each process, so that one incarnation is enough. The
		// time of day would not do: it may step back.
		Incarnation: 1,
		Zone:        o.Zone,
		Listen:      o.Listen,
		Key:         key[:],
		Logger:      o.Logger,
		Handler:     &handler{mesh: m},
		PullDelay:   pullDelay,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := node.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	m.node = node
	return m, nil
}

// SetMembers replaces the set of peers: the names and IP addresses of all
// members, this one included. All listen on the same port.
func (m *Mesh) SetMembers(addresses map[string]string) {
	_, port, err := net.SplitHostPort(m.opts.Listen)
	if err != nil {
		m.opts.Logger.Error("address for peers", zap.Error(err))
		return
	}
	var peers []peer.Peer
	for name, ip := range addresses {
		peers = append(peers, peer.Peer{ID: name, Address: net.JoinHostPort(ip, port)})
	}
	m.mu.Lock()
	m.peers = len(peers)
	m.mu.Unlock()
	m.node.SetPeers(peers)
}

// Close ends the sessions.
func (m *Mesh) Close(ctx context.Context) error { return trace.Wrap(m.node.Close(ctx)) }

// Silent tells the peers of a replica that gives no sign of life.
func (m *Mesh) Silent(replica string) {
	m.broadcast(&peerpb.Suspicion{Upstream: replica})
}

// Rejected tells the peers of a replica that rejected a request though it has room, for
// the count-th time in a row.
func (m *Mesh) Rejected(replica string, count int) {
	m.broadcast(&peerpb.Rejection{Upstream: replica, Count: uint32(count)})
}

// Leaving tells the peers of a process of a replica that leaves by its own word.
func (m *Mesh) Leaving(p roster.Process) {
	m.broadcast(encodeDepartures([]roster.Process{p}))
}

// Removed tells the peers of a replica whose entry is gone.
func (m *Mesh) Removed(replica string) {
	m.broadcast(&peerpb.Leaving{Upstream: replica})
}

// SetConfig tells the peers which version is in force here; those that do not get it
// from the store ask for the content.
func (m *Mesh) SetConfig(version int64, content []byte) {
	packed, err := pack(content)
	if err != nil {
		m.opts.Logger.Error("configuration for peers", zap.Int64("version", version), zap.Error(err))
		return
	}
	m.node.SetConfigState(&peerpb.ConfigState{Revision: uint64(version), Content: packed})
}

// Peers returns the number of instances that this one is connected to.
func (m *Mesh) Peers() int { return m.node.Sessions() }

// Reads tells whether this instance is one of those that follow the configuration in the
// store for all. With few peers each of them does.
func (m *Mesh) Reads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.connected) < fewPeers {
		return true
	}
	served := make([]string, 0, len(m.connected))
	for id, c := range m.connected {
		if !c.away {
			served = append(served, id)
		}
	}
	return readers.Among(m.opts.Member, served, configReaders)
}

// Deputy tells whether this instance is one of the few that step in for the one with the
// duty: by rank among those that are connected.
func (m *Mesh) Deputy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]string, 0, len(m.connected))
	for id := range m.connected {
		others = append(others, id)
	}
	return readers.Among(m.opts.Member, others, deputies)
}

// Observed tells the peers what replicas reported.
func (m *Mesh) Observed(states map[string]pipeline.Observed) {
	message := &peerpb.UpstreamStates{}
	for id, o := range states {
		message.States = append(message.States, &peerpb.UpstreamState{
			Upstream: key(id),
			Pace:     uint32(o.Pace * paceUnit),
			Used:     uint32(o.Used / unit),
			Room:     uint32(o.Room / unit),

			HasLayers:  o.HasLayers,
			LayersFrom: uint32(o.From),
			LayersTo:   uint32(o.To),
		})
	}
	m.broadcast(message)
}

// key shortens the ID of a replica.
func key(replica string) uint32 { return uint32(xxhash.Sum64String(replica)) }

func linkKey(p pipeline.Link) uint32 { return key(p.A + " " + p.B) }

func (m *Mesh) broadcast(message proto.Message) {
	if _, err := m.node.Broadcast(message); err != nil {
		m.opts.Logger.Error("message to peers", zap.Error(err))
	}
}

// handler takes what peers send.
type handler struct {
	peer.NopHandler
	mesh *Mesh
}

// PeerUp implements peer.Handler.
func (h *handler) PeerUp(info peer.Info) {
	h.mesh.opts.Logger.Info("peer connected", zap.String("peer", info.ID), zap.String("zone", info.Zone))
	h.mesh.mu.Lock()
	h.mesh.connected[info.ID] = connected{zone: info.Zone}
	h.mesh.mu.Unlock()
	h.mesh.tellDeparted(info.ID)
}

// PeerDown implements peer.Handler. The load of the peer counts until it is
// stale: its requests go on if only the session broke.
func (h *handler) PeerDown(info peer.Info) {
	h.mesh.mu.Lock()
	delete(h.mesh.differing, info.ID)
	delete(h.mesh.connected, info.ID)
	h.mesh.mu.Unlock()
	h.mesh.opts.Logger.Info("peer lost", zap.String("peer", info.ID))
}

// UpstreamStates implements peer.Handler.
func (h *handler) UpstreamStates(_ string, m *peerpb.UpstreamStates) {
	states := make(map[uint32]pipeline.Observed, len(m.GetStates()))
	for _, s := range m.GetStates() {
		states[s.GetUpstream()] = pipeline.Observed{
			Pace: float64(s.GetPace()) / paceUnit,
			Used: float64(s.GetUsed()) * unit,
			Room: float64(s.GetRoom()) * unit,

			HasLayers: s.GetHasLayers(),
			From:      int(s.GetLayersFrom()),
			To:        int(s.GetLayersTo()),
		}
	}
	h.mesh.opts.Gateway.Observe(func(replica string) (pipeline.Observed, bool) {
		o, ok := states[key(replica)]
		return o, ok
	})
}

// Suspicion implements peer.Handler.
func (h *handler) Suspicion(_ string, s *peerpb.Suspicion) {
	h.mesh.opts.Gateway.Suspect(s.GetUpstream())
	if h.mesh.opts.OnSilent != nil {
		h.mesh.opts.OnSilent(s.GetUpstream())
	}
}

// Rejection implements peer.Handler.
func (h *handler) Rejection(_ string, r *peerpb.Rejection) {
	h.mesh.opts.Gateway.Rejected(r.GetUpstream(), int(r.GetCount()))
}

// ConfigState implements peer.Handler.
func (h *handler) ConfigState(_ string, state *peerpb.ConfigState) {
	content, err := unpack(state.GetContent())
	if err != nil {
		h.mesh.opts.Logger.Warn("configuration of another instance not unpacked", zap.Uint64("version", state.GetRevision()), zap.Error(err))
		return
	}
	if h.mesh.opts.OnConfig != nil {
		h.mesh.opts.OnConfig(content)
	}
}

// UpstreamChanges implements peer.Handler.
func (h *handler) UpstreamChanges(_ string, m *peerpb.UpstreamChanges) {
	if h.mesh.opts.OnUpdates != nil {
		h.mesh.opts.OnUpdates(decodeUpdates(m))
	}
}

// Leaving implements peer.Handler.
func (h *handler) Leaving(_ string, l *peerpb.Leaving) {
	if h.mesh.opts.OnRemoved != nil {
		h.mesh.opts.OnRemoved(l.GetUpstream())
	}
}

// Departures implements peer.Handler.
func (h *handler) Departures(_ string, d *peerpb.Departures) {
	if h.mesh.opts.OnLeaving == nil {
		return
	}
	for _, p := range d.GetProcesses() {
		h.mesh.opts.OnLeaving(roster.Process{ID: p.GetUpstream(), Born: p.GetBorn()})
	}
}
