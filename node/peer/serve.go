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

// serve runs one session until it ends. It returns whether the peer's Hello was
// received and why the session ended.
func (n *Node) serve(conn net.Conn, raw *countingConn, result handshakeResult, dialed bool) (established bool, err error) {
	s, err := newSession(conn, raw, result, dialed, &n.options)
	if err != nil {
		_ = raw.Close()
		return false, trace.Wrap(err)
	}
	defer s.close()
	r, replaced, ok := n.register(s)
	if !ok {
		return false, errSessionRejected
	}
	if replaced != nil {
		replaced.close()
	}
	stop := context.AfterFunc(n.ctx, s.close)
	established, err = n.runSession(r, s)
	stop()
	s.close()
	n.unregister(r, s)
	n.notifyDown(r, s)
	n.logger.Info("peer session ended", zap.String("peer", r.id), zap.Bool("dialed", dialed), zap.Error(err))
	return established, err
}

// runSession opens both streams, exchanges Hello messages and then handles
// messages until the session ends.
func (n *Node) runSession(r *remote, s *session) (established bool, err error) {
	out, err := s.mux.OpenStream()
	if err != nil {
		return false, trace.ConnectionProblem(err, "open stream")
	}
	w := n.newSender(s, out)
	if err := w.write(n.newHello(s)); err != nil {
		return false, trace.Wrap(err)
	}
	in, err := n.acceptStream(s)
	if err != nil {
		return false, trace.Wrap(err)
	}
	reader := newReceiver(in, &n.options)
	if err := n.receiveHello(s, reader); err != nil {
		return false, trace.Wrap(err)
	}
	n.notifyUp(r, s)
	info, _ := s.snapshot()
	n.options.Handler.MessageReceived(info)
	n.logger.Info("peer session established", zap.String("peer", r.id), zap.Bool("dialed", s.dialed))
	return true, n.exchangeMessages(s, w, reader)
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

// exchangeMessages sends and receives until either fails or ends.
func (n *Node) exchangeMessages(s *session, w *sender, reader *receiver) error {
	ctx, cancel := context.WithCancel(n.ctx)
	sendErr := make(chan error, 1)
	go func() {
		sendErr <- w.run(ctx)
		s.close()
	}()
	n.requestConfigState(s)
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
		session:      s,
		stream:       stream,
		interval:     n.options.HeartbeatInterval,
		timeout:      n.options.MessageTimeout,
		newHeartbeat: n.newHeartbeat,
		logger:       n.options.Logger,
	}
}

func (n *Node) newHello(s *session) *peerpb.Envelope {
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

// receiveHello reads the peer's Hello, which must match the handshake.
func (n *Node) receiveHello(s *session, reader *receiver) error {
	message, err := reader.next()
	if err != nil {
		return trace.Wrap(err)
	}
	hello := message.GetHello()
	if hello == nil {
		return trace.BadParameter("first message is not a Hello")
	}
	if hello.GetInstance() != s.remoteID || hello.GetIncarnation() != s.process {
		return trace.BadParameter("Hello from %q names instance %q", s.remoteID, hello.GetInstance())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info.Zone = hello.GetZone()
	s.info.State = hello.GetState()
	s.info.Revision = hello.GetRevision()
	s.lastReceived = time.Now()
	return nil
}

// dispatch passes one message to the handler. A message of a type that this
// version does not know is ignored.
func (n *Node) dispatch(s *session, message *peerpb.Envelope) error {
	info := s.recordReceived(message.GetHeartbeat())
	handler := n.options.Handler
	handler.MessageReceived(info)
	switch body := message.GetBody().(type) {
	case *peerpb.Envelope_Hello:
		return trace.BadParameter("second Hello from %q", s.remoteID)
	case *peerpb.Envelope_Digest:
		handler.Digest(s.remoteID, s.setDigestOrigin(body.Digest))
	case *peerpb.Envelope_ConfigState:
		n.recordReceivedRevision(body.ConfigState.GetRevision())
		handler.ConfigState(s.remoteID, body.ConfigState)
	case *peerpb.Envelope_RequestState:
		n.sendConfigState(s, body.RequestState.GetHaveRevision())
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
	case *peerpb.Envelope_RetryRequest:
		handler.RetryRequest(s.remoteID, body.RetryRequest)
	case *peerpb.Envelope_RetryLoan:
		handler.RetryLoan(s.remoteID, body.RetryLoan)
	}
	n.requestConfigState(s)
	return nil
}

// setDigestOrigin sets the instance of a digest that is the sender's own, as
// the message omits it.
func (s *session) setDigestOrigin(digest *peerpb.Digest) *peerpb.Digest {
	if digest.GetInstance() == "" {
		digest.Instance = s.remoteID
		digest.Incarnation = s.process
	}
	return digest
}

// recordReceived records that a message was received and applies the state in a
// heartbeat.
func (s *session) recordReceived(heartbeat *peerpb.Heartbeat) Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = time.Now()
	s.receivedMessages++
	if heartbeat != nil {
		s.info.State = heartbeat.GetState()
		s.info.Revision = heartbeat.GetRevision()
	}
	return s.info
}
