// Package mesh exchanges state between the entry instances: their load on the replicas,
// which replicas are unresponsive or leaving, evidence on requests that crash replicas,
// and what was read from the platform's store. Received messages are passed to the
// gateway and to callbacks. Any message may be lost: routing decisions are then less
// accurate, and instances read the store themselves.
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
	// pullDelay is how long to wait for a configuration version that a peer announces to
	// arrive from the store, before it is requested from the peer. It usually arrives
	// within milliseconds.
	pullDelay = 400 * time.Millisecond
	// tokenUnit is the number of tokens that a count of 1 stands for on the wire.
	tokenUnit = 1000
	// configReaders is the number of designated readers, the instances that follow the
	// configuration in the store on behalf of all. In an outage of the store for a third
	// of the instances, the probability that it rejects all of them is 1 in 700; other
	// instances take over within seconds then.
	configReaders = 6
	// standbyReportReaders is the number of instances that read the replicas' reports if
	// the leader does not publish them.
	standbyReportReaders = 2
	// minPeersToDivide is the minimum number of peers for dividing work among instances.
	// With fewer peers every instance follows the configuration and publishes its load to
	// all peers.
	minPeersToDivide = 20
	// stepTimeRatioUnit is the encoding on the wire of a step time ratio of 1.
	stepTimeRatioUnit = 100
)

// Gateway is the interface to the gateway of this instance.
type Gateway interface {
	// Loads returns the load of this instance by service and replica.
	Loads() map[string]map[string]pipeline.Load
	// Links returns the rates at which this instance's requests transfer data between
	// zones, in tokens per second.
	Links() map[pipeline.Link]float64
	// SetRemoteLoad sets the total load of all other instances by replica, and the rate of
	// what they send by link; included is the number of instances whose load it contains.
	SetRemoteLoad(loadOf func(replica string) pipeline.Load, rateOf func(pipeline.Link) float64, included int)
	// ApplyPeerRejection blocks a replica that has rejected count consecutive requests of
	// another instance.
	ApplyPeerRejection(replica string, count int)
	// RecordReports records the reports of replicas that another instance has read.
	RecordReports(reportOf func(replica string) (pipeline.Report, bool))
	// ApplyPeerUnresponsive blocks a replica that another instance found unresponsive.
	ApplyPeerUnresponsive(replica string)
	// MergeEvidence merges the evidence of another instance on requests that crash
	// replicas.
	MergeEvidence(poison.Evidence)
	// Evidence returns the evidence of this instance. EvidenceDigest returns a digest of
	// it, which differs from that of an instance with other evidence.
	Evidence() poison.Evidence
	EvidenceDigest() uint64
	// LendRetries removes up to want retries from this instance's share of a service's
	// budget and returns how many. ReceiveRetries adds those that a peer has lent in answer
	// to the request id.
	LendRetries(service string, want float64) float64
	ReceiveRetries(service string, id uint32, retries float64)
}

// Options configures a Mesh.
type Options struct {
	// Member is the unique name of this process.
	Member string
	Zone   string
	// Listen is the listen address for peers.
	Listen string
	// Cluster is a value that all instances share. The key with which peers authenticate
	// each other is derived from it.
	Cluster string
	Gateway Gateway
	// OnLeaving is called with a process of a replica that has announced that it is
	// leaving, OnRemoved with the ID of a replica whose entry was removed.
	OnLeaving func(roster.Process)
	OnRemoved func(replica string)
	// Departed, if set, returns the processes that are leaving or have left. They are sent
	// to new peers.
	Departed func() []roster.Process
	// OnUnresponsive is called with the ID of a replica that a peer found unresponsive.
	OnUnresponsive func(replica string)
	// LeaderToken, if set, returns the fencing token under which this instance is the
	// leader, or 0 if it is not.
	LeaderToken func() int64
	// OnConfig is called with the configuration that a peer uses.
	OnConfig func(content []byte)
	// OnUpdates is called with the updates of replicas' entries that the leader has read.
	OnUpdates func(roster.Updates)
	// StoreUnavailable, if set, reports whether the platform's store is unavailable to
	// this instance.
	StoreUnavailable func() bool
	// OnLeaderToken is called with the fencing token under which a peer is the leader.
	OnLeaderToken func(token int64)
	Logger        *zap.Logger
}

// Mesh exchanges state with the other entry instances. It is safe for concurrent use.
type Mesh struct {
	opts Options
	node *peer.Node

	mu    sync.Mutex
	peers int
	sums  *zoneload.Sums
	// connected holds the peers with a session by name.
	connected map[string]peerState
	// evidenceStates holds the comparison of evidence with each peer by name.
	evidenceStates map[string]evidenceState
}

// peerState is the state of a peer with a session.
type peerState struct {
	zone string
	// storeUnavailable is true if the platform's store is unavailable to the peer.
	storeUnavailable bool
}

// Start creates a Mesh and starts listening for peers.
func Start(o Options) (*Mesh, error) {
	key := sha256.Sum256([]byte("masticbank peers of " + o.Cluster))
	m := &Mesh{opts: o, sums: zoneload.NewSums(o.Zone), connected: map[string]peerState{}, evidenceStates: map[string]evidenceState{}}
	node, err := peer.New(peer.Options{
		ID: o.Member,
		// The member name is unique for each process, so that the incarnation may be
		// constant. The wall clock is unsuitable as an incarnation because it may be set
		// back.
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

// SetMembers replaces the set of peers. addresses holds the IP addresses of all members
// by name, this one included. All listen on the same port.
func (m *Mesh) SetMembers(addresses map[string]string) {
	_, port, err := net.SplitHostPort(m.opts.Listen)
	if err != nil {
		m.opts.Logger.Error("invalid listen address for peers", zap.Error(err))
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

// Close closes all sessions.
func (m *Mesh) Close(ctx context.Context) error { return trace.Wrap(m.node.Close(ctx)) }

// ReportUnresponsive reports an unresponsive replica to the peers.
func (m *Mesh) ReportUnresponsive(replica string) {
	m.broadcast(&peerpb.Suspicion{Upstream: replica})
}

// ReportRejection reports to the peers that a replica has rejected count consecutive
// requests although it has free capacity.
func (m *Mesh) ReportRejection(replica string, count int) {
	m.broadcast(&peerpb.Rejection{Upstream: replica, Count: uint32(count)})
}

// ReportLeaving reports to the peers that a process of a replica has announced that it is
// leaving.
func (m *Mesh) ReportLeaving(p roster.Process) {
	m.broadcast(encodeDepartures([]roster.Process{p}))
}

// ReportRemoved reports to the peers that the entry of a replica was removed.
func (m *Mesh) ReportRemoved(replica string) {
	m.broadcast(&peerpb.Leaving{Upstream: replica})
}

// SetConfig announces to the peers the configuration version that this instance uses.
// Peers that do not receive the version from the store request the content.
func (m *Mesh) SetConfig(version int64, content []byte) {
	compressed, err := compress(content)
	if err != nil {
		m.opts.Logger.Error("failed to compress the configuration for peers", zap.Int64("version", version), zap.Error(err))
		return
	}
	m.node.SetConfigState(&peerpb.ConfigState{Revision: uint64(version), Content: compressed})
}

// Peers returns the number of instances that this one is connected to.
func (m *Mesh) Peers() int { return m.node.Sessions() }

// IsConfigReader reports whether this instance is a designated reader, which follows the
// configuration in the store on behalf of all. With few peers every instance is one.
func (m *Mesh) IsConfigReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.connected) < minPeersToDivide {
		return true
	}
	candidates := make([]string, 0, len(m.connected))
	for id, c := range m.connected {
		if !c.storeUnavailable {
			candidates = append(candidates, id)
		}
	}
	return readers.IsDesignated(m.opts.Member, candidates, configReaders)
}

// Standby reports whether this instance is one of the few that read the replicas' reports
// if the leader does not publish them. They are chosen by rank among the connected
// instances.
func (m *Mesh) Standby() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]string, 0, len(m.connected))
	for id := range m.connected {
		others = append(others, id)
	}
	return readers.IsDesignated(m.opts.Member, others, standbyReportReaders)
}

// SendStates sends the reported states of replicas to the peers.
func (m *Mesh) SendStates(states map[string]pipeline.Report) {
	message := &peerpb.UpstreamStates{}
	for id, o := range states {
		message.States = append(message.States, &peerpb.UpstreamState{
			Upstream: replicaKey(id),
			Pace:     uint32(o.StepTimeRatio * stepTimeRatioUnit),
			Used:     uint32(o.CacheUsed / tokenUnit),
			Room:     uint32(o.CacheCapacity / tokenUnit),

			HasLayers:  o.HasLayers,
			LayersFrom: uint32(o.From),
			LayersTo:   uint32(o.To),
		})
	}
	m.broadcast(message)
}

// replicaKey returns the 32-bit hash that identifies a replica on the wire.
func replicaKey(replica string) uint32 { return uint32(xxhash.Sum64String(replica)) }

// linkKey returns the 32-bit hash that identifies a link on the wire.
func linkKey(p pipeline.Link) uint32 { return replicaKey(p.A + " " + p.B) }

func (m *Mesh) broadcast(message proto.Message) {
	if _, err := m.node.Broadcast(message); err != nil {
		m.opts.Logger.Error("failed to broadcast a message to peers", zap.Error(err))
	}
}

// handler processes the messages of peers.
type handler struct {
	peer.NopHandler
	mesh *Mesh
}

// PeerUp implements peer.Handler.
func (h *handler) PeerUp(info peer.Info) {
	h.mesh.opts.Logger.Info("peer connected", zap.String("peer", info.ID), zap.String("zone", info.Zone))
	h.mesh.mu.Lock()
	h.mesh.connected[info.ID] = peerState{zone: info.Zone}
	// A session may replace another one without PeerDown, and messages of that one are lost.
	delete(h.mesh.evidenceStates, info.ID)
	h.mesh.mu.Unlock()
	h.mesh.sendDeparted(info.ID)
}

// PeerDown implements peer.Handler. The load of the peer still counts until it is stale,
// because the peer's requests continue if only the session was lost.
func (h *handler) PeerDown(info peer.Info) {
	h.mesh.mu.Lock()
	delete(h.mesh.evidenceStates, info.ID)
	delete(h.mesh.connected, info.ID)
	h.mesh.mu.Unlock()
	h.mesh.opts.Logger.Info("peer disconnected", zap.String("peer", info.ID))
}

// UpstreamStates implements peer.Handler.
func (h *handler) UpstreamStates(_ string, m *peerpb.UpstreamStates) {
	states := make(map[uint32]pipeline.Report, len(m.GetStates()))
	for _, s := range m.GetStates() {
		states[s.GetUpstream()] = pipeline.Report{
			StepTimeRatio: float64(s.GetPace()) / stepTimeRatioUnit,
			CacheUsed:     float64(s.GetUsed()) * tokenUnit,
			CacheCapacity: float64(s.GetRoom()) * tokenUnit,

			HasLayers: s.GetHasLayers(),
			From:      int(s.GetLayersFrom()),
			To:        int(s.GetLayersTo()),
		}
	}
	h.mesh.opts.Gateway.RecordReports(func(replica string) (pipeline.Report, bool) {
		o, ok := states[replicaKey(replica)]
		return o, ok
	})
}

// Suspicion implements peer.Handler.
func (h *handler) Suspicion(_ string, s *peerpb.Suspicion) {
	h.mesh.opts.Gateway.ApplyPeerUnresponsive(s.GetUpstream())
	if h.mesh.opts.OnUnresponsive != nil {
		h.mesh.opts.OnUnresponsive(s.GetUpstream())
	}
}

// Rejection implements peer.Handler.
func (h *handler) Rejection(_ string, r *peerpb.Rejection) {
	h.mesh.opts.Gateway.ApplyPeerRejection(r.GetUpstream(), int(r.GetCount()))
}

// ConfigState implements peer.Handler.
func (h *handler) ConfigState(_ string, state *peerpb.ConfigState) {
	content, err := decompress(state.GetContent())
	if err != nil {
		h.mesh.opts.Logger.Warn("failed to decompress the configuration of a peer", zap.Uint64("version", state.GetRevision()), zap.Error(err))
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
		h.mesh.opts.OnLeaving(roster.Process{ID: p.GetUpstream(), StartTime: p.GetBorn()})
	}
}
