package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"masticbank.example/node/peer/peerpb"
)

// Peer is an instance to maintain a session with.
type Peer struct {
	ID string
	// Address is host:port.
	Address string
	Zone    string
}

// Node maintains the sessions of one instance with its peers. It is safe for
// concurrent use.
type Node struct {
	options Options
	logger  *zap.Logger
	// handshakes is a semaphore that bounds the connections not authenticated
	// yet.
	handshakes chan struct{}

	// openCtx ends when no more sessions may be opened, ctx when all are closed
	// at once.
	openCtx    context.Context
	cancelOpen context.CancelFunc
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	remotes  map[string]*remote
	state    peerpb.InstanceState
	config   *peerpb.ConfigState
	pulls    pullState
	closed   bool
}

// New validates options and returns a node that is inactive until Start.
func New(options Options) (*Node, error) {
	options.setDefaults()
	if err := options.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	opening, stopOpening := context.WithCancel(ctx)
	return &Node{
		options:    options,
		logger:     options.Logger,
		handshakes: make(chan struct{}, options.MaxSessions),
		openCtx:    opening,
		cancelOpen: stopOpening,
		ctx:        ctx,
		cancel:     cancel,
		remotes:    map[string]*remote{},
		state:      peerpb.InstanceState_INSTANCE_STATE_JOINING,
	}, nil
}

// Start starts listening for peers. Dialing starts with SetPeers.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.options.Listen)
	if err != nil {
		return trace.ConnectionProblem(err, "listen for peers on %s", n.options.Listen)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.listener != nil {
		_ = listener.Close()
		return trace.BadParameter("peer: node was already started or closed")
	}
	n.listener = listener
	n.tasks.Go(func() { n.acceptLoop(listener) })
	return nil
}

// Addr returns the listen address, or nil before Start.
func (n *Node) Addr() net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener == nil {
		return nil
	}
	return n.listener.Addr()
}

// SetPeers replaces the set of instances to maintain sessions with. Sessions
// that this node dialed to other instances are closed; those that others dialed
// remain.
func (n *Node) SetPeers(peers []Peer) {
	n.mu.Lock()
	wanted := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.ID != n.options.ID && p.ID != "" {
			wanted[p.ID] = p
		}
	}
	var unwanted []*session
	for id, r := range n.remotes {
		if _, ok := wanted[id]; ok {
			continue
		}
		if s := n.removePeer(r); s != nil {
			unwanted = append(unwanted, s)
		}
	}
	if !n.closed {
		for _, p := range wanted {
			n.addPeer(p)
		}
	}
	n.mu.Unlock()
	closeAll(unwanted)
}

// SetState sets the state of this instance and sends it to all peers.
func (n *Node) SetState(state peerpb.InstanceState) {
	n.mu.Lock()
	n.state = state
	n.mu.Unlock()
	n.broadcast(n.newHeartbeat())
}

// SetConfigState sets the configuration in force here and announces its
// revision to all peers, which request the content if they need it. The same
// revision with a higher offset replaces the state without an announcement. A
// lower revision, or a lower offset of the same revision, changes nothing.
func (n *Node) SetConfigState(state *peerpb.ConfigState) {
	n.mu.Lock()
	higher := state.GetRevision() > n.config.GetRevision()
	same := state.GetRevision() == n.config.GetRevision()
	if higher || (same && state.GetAsOfOffset() > n.config.GetAsOfOffset()) {
		n.config = state
		n.pulls.behindSince = time.Time{}
	}
	n.mu.Unlock()
	if higher {
		n.broadcast(n.newHeartbeat())
	}
}

// Sessions returns the number of peers with a session.
func (n *Node) Sessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions())
}

// Broadcast queues message, such as *peerpb.Digest or *peerpb.Poison, for every
// peer with a session and returns the number of peers. It never blocks.
func (n *Node) Broadcast(message proto.Message) (int, error) {
	envelope, err := n.newEnvelope(message)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return n.broadcast(envelope), nil
}

// Send queues message for the peer with the given ID. It never blocks. The
// error is NotFound if there is no session.
func (n *Node) Send(id string, message proto.Message) error {
	envelope, err := n.newEnvelope(message)
	if err != nil {
		return trace.Wrap(err)
	}
	s := n.currentSession(id)
	if s == nil {
		return trace.NotFound("no session with peer %q", id)
	}
	s.queue.push(envelope)
	return nil
}

// Close stops opening sessions, sends the queued messages and ends every
// session. If ctx ends first, sessions are closed at once and the error is that
// of ctx.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closed = true
	if n.listener != nil {
		_ = n.listener.Close()
	}
	sessions := n.sessions()
	n.mu.Unlock()
	n.cancelOpen()
	for _, s := range sessions {
		s.queue.close()
	}
	done := make(chan struct{})
	go func() {
		n.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		n.cancel()
		return nil
	case <-ctx.Done():
		n.cancel()
		closeAll(sessions)
		<-done
		return trace.Wrap(ctx.Err())
	}
}

func (n *Node) broadcast(envelope *peerpb.Envelope) int {
	n.mu.Lock()
	sessions := n.sessions()
	n.mu.Unlock()
	for _, s := range sessions {
		s.queue.push(envelope)
	}
	return len(sessions)
}

// sessions returns the current sessions of all peers. The caller must hold
// n.mu.
func (n *Node) sessions() []*session {
	var all []*session
	for _, r := range n.remotes {
		if r.session != nil {
			all = append(all, r.session)
		}
	}
	return all
}

// currentSession returns the session with the given peer, or nil.
func (n *Node) currentSession(id string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.remotes[id]; r != nil {
		return r.session
	}
	return nil
}

func (n *Node) newHeartbeat() *peerpb.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	beat := &peerpb.Heartbeat{State: n.state, Revision: n.config.GetRevision()}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: beat}}
}

// newEnvelope returns the envelope for a message. It fails for a message that
// exceeds MaxMessageBytes or cannot be sent to peers.
func (n *Node) newEnvelope(message proto.Message) (*peerpb.Envelope, error) {
	envelope := &peerpb.Envelope{}
	switch m := message.(type) {
	case *peerpb.Digest:
		envelope.Body = &peerpb.Envelope_Digest{Digest: m}
	case *peerpb.ConfigState:
		envelope.Body = &peerpb.Envelope_ConfigState{ConfigState: m}
	case *peerpb.RequestState:
		envelope.Body = &peerpb.Envelope_RequestState{RequestState: m}
	case *peerpb.Poison:
		envelope.Body = &peerpb.Envelope_Poison{Poison: m}
	case *peerpb.Suspicion:
		envelope.Body = &peerpb.Envelope_Suspicion{Suspicion: m}
	case *peerpb.Rejection:
		envelope.Body = &peerpb.Envelope_Rejection{Rejection: m}
	case *peerpb.Leaving:
		envelope.Body = &peerpb.Envelope_Leaving{Leaving: m}
	case *peerpb.UpstreamLoads:
		envelope.Body = &peerpb.Envelope_UpstreamLoads{UpstreamLoads: m}
	case *peerpb.UpstreamStates:
		envelope.Body = &peerpb.Envelope_UpstreamStates{UpstreamStates: m}
	case *peerpb.ZoneLoads:
		envelope.Body = &peerpb.Envelope_ZoneLoads{ZoneLoads: m}
	case *peerpb.Departures:
		envelope.Body = &peerpb.Envelope_Departures{Departures: m}
	case *peerpb.CrashEvidence:
		envelope.Body = &peerpb.Envelope_CrashEvidence{CrashEvidence: m}
	case *peerpb.UpstreamChanges:
		envelope.Body = &peerpb.Envelope_UpstreamChanges{UpstreamChanges: m}
	case *peerpb.RetryRequest:
		envelope.Body = &peerpb.Envelope_RetryRequest{RetryRequest: m}
	case *peerpb.RetryLoan:
		envelope.Body = &peerpb.Envelope_RetryLoan{RetryLoan: m}
	default:
		return nil, trace.BadParameter("peer: a %T cannot be sent to peers", message)
	}
	if size := proto.Size(envelope); size > n.options.MaxMessageBytes {
		return nil, trace.LimitExceeded("message of %d bytes exceeds the limit of %d bytes", size, n.options.MaxMessageBytes)
	}
	return envelope, nil
}

func closeAll(sessions []*session) {
	for _, s := range sessions {
		s.close()
	}
}

// withTLS returns a TLS connection over conn, or conn itself if TLS is not
// configured.
func (n *Node) withTLS(conn net.Conn, dialed bool, address string) net.Conn {
	if n.options.TLS == nil {
		return conn
	}
	if !dialed {
		return tls.Server(conn, n.options.TLS)
	}
	config := n.options.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return tls.Client(conn, config)
}
