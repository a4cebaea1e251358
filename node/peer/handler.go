package peer

import "masticbank.example/node/peer/peerpb"

// Info describes the instance at the other end of a session.
type Info struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Version is the negotiated version of the protocol.
	Version uint32
	State   peerpb.InstanceState
	// Revision is the configuration revision that the peer has in force, 0
	// when it has none.
	Revision uint64
}

// Handler receives events and messages. Calls for one session come one at a
// time and in order; calls for different peers run concurrently, so a Handler
// is safe for concurrent use. A call must return soon: it holds up the reading
// from that peer. Messages are not to be changed.
type Handler interface {
	// PeerUp is called when a session is established, also when it replaces
	// another session with the same peer.
	PeerUp(info Info)
	// PeerDown is called when the last session with a peer has ended.
	PeerDown(info Info)
	// Heard is called for every message, the first one included: the peer is
	// alive in this state.
	Heard(info Info)
	// Digest is called for a digest of demand.
	Digest(from string, digest *peerpb.Digest)
	// ConfigState is called for a configuration of the peer, which may be
	// older or newer than the one in force here.
	ConfigState(from string, state *peerpb.ConfigState)
	// Poison is called for the fingerprint of a harmful request.
	Poison(from string, poison *peerpb.Poison)
	// Suspicion is called when the peer got no answer from an upstream.
	Suspicion(from string, suspicion *peerpb.Suspicion)
	// Rejection is called when an upstream rejected a request of the peer.
	Rejection(from string, rejection *peerpb.Rejection)
	// Leaving is called when an upstream is to get no new work.
	Leaving(from string, leaving *peerpb.Leaving)
	// Departures is called for processes of upstreams that leave by their own word.
	Departures(from string, departures *peerpb.Departures)
	// UpstreamLoads is called for the peer's work on all upstreams.
	UpstreamLoads(from string, loads *peerpb.UpstreamLoads)
	// ZoneLoads is called for the sum of the loads of a zone, or of all others.
	ZoneLoads(from string, loads *peerpb.ZoneLoads)
	// UpstreamStates is called for what the peer has read from upstreams.
	UpstreamStates(from string, states *peerpb.UpstreamStates)
	// UpstreamChanges is called for what the peer read in the platform's list.
	UpstreamChanges(from string, changes *peerpb.UpstreamChanges)
	// CrashEvidence is called when the peer tells of requests under which upstreams
	// ended.
	CrashEvidence(from string, evidence *peerpb.CrashEvidence)
}

// NopHandler ignores everything. Embed it to implement some methods only.
type NopHandler struct{}

var _ Handler = NopHandler{}

// PeerUp implements Handler.
func (NopHandler) PeerUp(Info) {}

// PeerDown implements Handler.
func (NopHandler) PeerDown(Info) {}

// Heard implements Handler.
func (NopHandler) Heard(Info) {}

// Digest implements Handler.
func (NopHandler) Digest(string, *peerpb.Digest) {}

// ConfigState implements Handler.
func (NopHandler) ConfigState(string, *peerpb.ConfigState) {}

// Poison implements Handler.
func (NopHandler) Poison(string, *peerpb.Poison) {}

// Suspicion implements Handler.
func (NopHandler) Suspicion(string, *peerpb.Suspicion) {}

// Rejection implements Handler.
func (NopHandler) Rejection(string, *peerpb.Rejection) {}

// Leaving implements Handler.
func (NopHandler) Leaving(string, *peerpb.Leaving) {}

// UpstreamLoads implements Handler.
func (NopHandler) UpstreamLoads(string, *peerpb.UpstreamLoads) {}

// UpstreamStates implements Handler.
func (NopHandler) UpstreamStates(string, *peerpb.UpstreamStates) {}

// ZoneLoads implements Handler.
func (NopHandler) ZoneLoads(string, *peerpb.ZoneLoads) {}

// Departures implements Handler.
func (NopHandler) Departures(string, *peerpb.Departures) {}

// CrashEvidence implements Handler.
func (NopHandler) CrashEvidence(string, *peerpb.CrashEvidence) {}

// UpstreamChanges implements Handler.
func (NopHandler) UpstreamChanges(string, *peerpb.UpstreamChanges) {}
