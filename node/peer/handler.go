package peer

import "masticbank.example/node/peer/peerpb"

// Info describes the remote instance of a session.
type Info struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Version is the negotiated protocol version.
	Version uint32
	State   peerpb.InstanceState
	// Revision is the configuration revision in force at the peer, or 0 if it
	// has none.
	Revision uint64
}

// Handler receives events and messages. Calls for one session are sequential
// and in order. Calls for different peers are concurrent, so a Handler must be
// safe for concurrent use. A call must return quickly, as it blocks reading
// from that peer. Messages must not be modified.
type Handler interface {
	// PeerUp is called when a session is established, even if it replaces
	// another session with the same peer.
	PeerUp(info Info)
	// PeerDown is called when the last session with a peer has ended.
	PeerDown(info Info)
	// MessageReceived is called for every message received, including the first
	// one. It shows that the peer is alive, and info holds its state.
	MessageReceived(info Info)
	// Digest is called for a demand digest.
	Digest(from string, digest *peerpb.Digest)
	// ConfigState is called for a configuration received from the peer. It may
	// be older or newer than the one in force here.
	ConfigState(from string, state *peerpb.ConfigState)
	// Poison is called for the fingerprint of a request that crashes upstreams.
	Poison(from string, poison *peerpb.Poison)
	// Suspicion is called when the peer got no response from an upstream.
	Suspicion(from string, suspicion *peerpb.Suspicion)
	// Rejection is called when an upstream rejected a request of the peer.
	Rejection(from string, rejection *peerpb.Rejection)
	// Leaving is called when an upstream must get no new work.
	Leaving(from string, leaving *peerpb.Leaving)
	// Departures is called for processes of upstreams that have announced that
	// they are leaving.
	Departures(from string, departures *peerpb.Departures)
	// UpstreamLoads is called for the peer's load on all upstreams.
	UpstreamLoads(from string, loads *peerpb.UpstreamLoads)
	// ZoneLoads is called for the sum of the loads of one zone, or of all other
	// zones.
	ZoneLoads(from string, loads *peerpb.ZoneLoads)
	// UpstreamStates is called for the states that the peer has read from
	// upstreams.
	UpstreamStates(from string, states *peerpb.UpstreamStates)
	// UpstreamChanges is called for changes that the peer has read from the
	// platform's list of upstreams.
	UpstreamChanges(from string, changes *peerpb.UpstreamChanges)
	// CrashEvidence is called for the peer's records of requests during which
	// upstreams ended.
	CrashEvidence(from string, evidence *peerpb.CrashEvidence)
	// RetryRequest is called when the peer asks for retries.
	RetryRequest(from string, request *peerpb.RetryRequest)
	// RetryLoan is called for retries that the peer lends.
	RetryLoan(from string, loan *peerpb.RetryLoan)
}

// NopHandler ignores all events and messages. Embed it to implement only some
// methods.
type NopHandler struct{}

var _ Handler = NopHandler{}

// PeerUp implements Handler.
func (NopHandler) PeerUp(Info) {}

// PeerDown implements Handler.
func (NopHandler) PeerDown(Info) {}

// MessageReceived implements Handler.
func (NopHandler) MessageReceived(Info) {}

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

// RetryRequest implements Handler.
func (NopHandler) RetryRequest(string, *peerpb.RetryRequest) {}

// RetryLoan implements Handler.
func (NopHandler) RetryLoan(string, *peerpb.RetryLoan) {}
