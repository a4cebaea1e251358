package peer

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"masticbank.example/node/peer/peerpb"
)

// serve runs one session until it ends. It returns whether the peer's Hello
// was received, and why the session ended.
func (n *Node) serve(conn net.Conn, raw *countedConn, agreed agreement, dialed bool) (established bool, err error) {
	s, err := newSession(conn, raw, agreed, dialed, &n.options)
	if err != nil {
		_ = raw.Close()
		return false, trace.Wrap(err)
	}
	defer s.close()
	r, replaced, ok := n.register(s)
	if !ok {
		return false, errRefused
	}
	if replaced != nil {
		replaced.close()
	}
	stop := context.AfterFunc(n.ctx, s.close)
	established, err = n.converse(r, s)
	stop()
	s.close()
	n.unregister(r, s)
	n.notifyDown(r, s)
	n.logger.Info("peer session ended", zap.String("peer", r.id), zap.Bool("dialed", dialed), zap.Error(err))
	return established, err
}

// converse opens both streams, exchanges Hello and passes on messages.
func (n *Node) converse(r *remote, s *session) (established bool, err error) {
	out, err := s.mux.OpenStream()
	if err != nil {
		return false, trace.ConnectionProblem(err, "open stream")
	}
	w := n.newSender(s, out)
	if err := w.write(n.hello(s)); err != nil {
		return false, trace.Wrap(err)
	}
	in, err := n.acceptStream(s)
	if err != nil {
		return false, trace.Wrap(err)
	}
	reader := newReceiver(in, &n.options)
	if err := n.greet(s, reader); err != nil {
		return false, trace.Wrap(err)
	}
	n.notifyUp(r, s)
	info, _ := s.snapshot()
	n.options.Handler.Heard(info)
	n.logger.Info("peer session established", zap.String("peer", r.id), zap.Bool("dialed", s.dialed))
	return true, n.exchange(s, w, reader)
}

func (n *Node) acceptStream(s *session) (*yamux.Stream, error) {
	ctx, cancel := context.WithTimeout(n.ctx, n.options.HandshakeTimeout)
	defer cancel()
	stream, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "accept stream")
	}
	return stream, nil
}

// exchange sends and receives until either ends.
func (n *Node) exchange(s *session, w *sender, reader *receiver) error {
	ctx, cancel := context.WithCancel(n.ctx)
	sendErr := make(chan error, 1)
	go func() {
		sendErr <- w.run(ctx)
		s.close()
	}()
	n.pull(s)
	err := n.receive(s, reader)
	cancel()
	s.close()
	if first := <-sendErr; first != nil {
		return first
	}
	return err
}

func (n *Node) receive(s *session, reader *receiver) error {
	for {
		message, err := reader.next()
		if err != nil {
			return trace.Wrap(err)
		}
		if err := n.dispatch(s, message); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (n *Node) newSender(s *session, stream *yamux.Stream) *sender {
	return &sender{
		session:  s,
		stream:   stream,
		interval: n.options.HeartbeatInterval,
		timeout:  n.options.SilenceTimeout,
		idle:     n.heartbeat,
	}
}

func (n *Node) hello(s *session) *peerpb.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	hello := &peerpb.Hello{
		Instance:    n.options.ID,
		Incarnation: n.options.Incarnation,
		Zone:        n.options.Zone,
		Version:     s.version,
		State:       n.state,
		Revision:    n.config.GetRevision(),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: hello}}
}

// greet reads the peer's Hello, which must match the handshake.
func (n *Node) greet(s *session, reader *receiver) error {
	message, err := reader.next()
	if err != nil {
		return trace.Wrap(err)
	}
	hello := message.GetHello()
	if hello == nil {
		return trace.BadParameter("the first message is not a Hello")
	}
	if hello.GetInstance() != s.remoteID || hello.GetIncarnation() != s.incarnation {
		return trace.BadParameter("the Hello of %q names instance %q", s.remoteID, hello.GetInstance())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info.Zone = hello.GetZone()
	s.info.State = hello.GetState()
	s.info.Revision = hello.GetRevision()
	s.heardAt = time.Now()
	return nil
}

// dispatch passes one message to the handler. A body that this version does not
// know is left out.
func (n *Node) dispatch(s *session, message *peerpb.Envelope) error {
	info := s.heard(message.GetHeartbeat())
	handler := n.options.Handler
	handler.Heard(info)
	switch body := message.GetBody().(type) {
	case *peerpb.Envelope_Hello:
		return trace.BadParameter("a second Hello from %q", s.remoteID)
	case *peerpb.Envelope_Digest:
		handler.Digest(s.remoteID, s.fillIn(body.Digest))
	case *peerpb.Envelope_ConfigState:
		n.noteReceived(body.ConfigState.GetRevision())
		handler.ConfigState(s.remoteID, body.ConfigState)
	case *peerpb.Envelope_RequestState:
		n.answerState(s, body.RequestState.GetHaveRevision())
	case *peerpb.Envelope_Poison:
		handler.Poison(s.remoteID, body.Poison)
	case *peerpb.Envelope_Suspicion:
		handler.Suspicion(s.remoteID, body.Suspicion)
	case *peerpb.Envelope_Rejection:
		handler.Rejection(s.remoteID, body.Rejection)
	case *peerpb.Envelope_Leaving:
		handler.Leaving(s.remoteID, body.Leaving)
	case *peerpb.Envelope_UpstreamLoads:
		handler.UpstreamLoads(s.remoteID, body.UpstreamLoads)
	case *peerpb.Envelope_UpstreamStates:
		handler.UpstreamStates(s.remoteID, body.UpstreamStates)
	case *peerpb.Envelope_UpstreamChanges:
		handler.UpstreamChanges(s.remoteID, body.UpstreamChanges)
	case *peerpb.Envelope_ZoneLoads:
		handler.ZoneLoads(s.remoteID, body.ZoneLoads)
	case *peerpb.Envelope_Departures:
		handler.Departures(s.remoteID, body.Departures)
	case *peerpb.Envelope_CrashEvidence:
		handler.CrashEvidence(s.remoteID, body.CrashEvidence)
	}
	n.pull(s)
	return nil
}

// fillIn names the instance of a digest that is the sender's own.
func (s *session) fillIn(digest *peerpb.Digest) *peerpb.Digest {
	if digest.GetInstance() == "" {
		digest.Instance = s.remoteID
		digest.Incarnation = s.incarnation
	}
	return digest
}

// heard notes that a message came, and what a heartbeat says.
func (s *session) heard(heartbeat *peerpb.Heartbeat) Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = time.Now()
	s.receivedMessages++
	if heartbeat != nil {
		s.info.State = heartbeat.GetState()
		s.info.Revision = heartbeat.GetRevision()
	}
	return s.info
}
