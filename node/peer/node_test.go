package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"masticbank.example/node/peer/peerpb"
)

// testTimeout limits every wait in the tests; it is reached only on failure.
const testTimeout = 20 * time.Second

var testKey = []byte("0123456789abcdef")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder forwards events to buffered channels.
type recorder struct {
	NopHandler
	up, down chan Info
	messages chan proto.Message
}

func newRecorder() *recorder {
	return &recorder{up: make(chan Info, 64), down: make(chan Info, 64), messages: make(chan proto.Message, 64)}
}

func (r *recorder) PeerUp(info Info)                                { r.up <- info }
func (r *recorder) PeerDown(info Info)                              { r.down <- info }
func (r *recorder) Digest(_ string, d *peerpb.Digest)               { r.messages <- d }
func (r *recorder) ConfigState(_ string, state *peerpb.ConfigState) { r.messages <- state }
func (r *recorder) ZoneLoads(_ string, l *peerpb.ZoneLoads)         { r.messages <- l }

func (r *recorder) Departures(_ string, d *peerpb.Departures) { r.messages <- d }

func (r *recorder) CrashEvidence(_ string, e *peerpb.CrashEvidence) { r.messages <- e }
func (r *recorder) Poison(_ string, poison *peerpb.Poison)          { r.messages <- poison }
func (r *recorder) Suspicion(_ string, suspicion *peerpb.Suspicion) { r.messages <- suspicion }
func (r *recorder) Leaving(_ string, leaving *peerpb.Leaving)       { r.messages <- leaving }

func (r *recorder) RetryRequest(_ string, request *peerpb.RetryRequest) { r.messages <- request }
func (r *recorder) RetryLoan(_ string, loan *peerpb.RetryLoan)          { r.messages <- loan }

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		require.FailNow(t, "timed out waiting for a value")
		panic("not reached")
	}
}

func startNode(t *testing.T, id string, change func(*Options)) (*Node, *recorder) {
	t.Helper()
	events := newRecorder()
	options := Options{
		ID: id, Zone: "quito", Listen: "127.0.0.1:0", Key: testKey, Handler: events,
		HeartbeatInterval: 20 * time.Millisecond, MessageTimeout: testTimeout,
	}
	if change != nil {
		change(&options)
	}
	node, err := New(options)
	require.NoError(t, err)
	require.NoError(t, node.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		require.NoError(t, node.Close(ctx))
	})
	return node, events
}

func peerOf(node *Node) Peer {
	return Peer{ID: node.options.ID, Address: node.Addr().String(), Zone: node.options.Zone}
}

func TestMessagesReachPeer(t *testing.T) {
	a, _ := startNode(t, "a", nil)
	b, atB := startNode(t, "b", func(o *Options) { o.Zone = "cuenca" })
	a.SetState(peerpb.InstanceState_INSTANCE_STATE_READY)
	b.SetPeers([]Peer{peerOf(a)})
	info := receive(t, atB.up)
	require.Equal(t, "a", info.ID)
	require.Equal(t, "quito", info.Zone)
	require.Equal(t, peerpb.InstanceState_INSTANCE_STATE_READY, info.State)
	for _, message := range []proto.Message{
		&peerpb.Poison{Fingerprint: []byte{1, 2}, TtlMs: 500},
		&peerpb.Suspicion{Upstream: "replica-1"},
		&peerpb.Leaving{Upstream: "replica-2"},
		&peerpb.ZoneLoads{Zone: "z", Loads: []*peerpb.UpstreamLoad{{Upstream: 9, Sequences: 2}}},
		&peerpb.Departures{Processes: []*peerpb.UpstreamProcess{{Upstream: "replica-4", Born: 7}}},
		&peerpb.CrashEvidence{Crashes: []*peerpb.Crash{{Fingerprint: []byte{1, 2}, Upstream: "replica-3", Born: 5}}},
		&peerpb.RetryRequest{Service: "s", Millis: 500, Round: 3},
		&peerpb.RetryLoan{Service: "s", Millis: 400, Round: 3},
		&peerpb.Digest{Sequence: 7, Pools: []*peerpb.PoolDemand{{Pool: 7}}},
	} {
		require.Eventually(t, func() bool { return a.Send("b", message) == nil }, testTimeout, time.Millisecond)
		got := receive(t, atB.messages)
		if digest, ok := got.(*peerpb.Digest); ok {
			require.Equal(t, "a", digest.GetInstance())
			require.Equal(t, info.Incarnation, digest.GetIncarnation())
			digest.Instance, digest.Incarnation = "", 0
		}
		require.True(t, proto.Equal(message, got), "sent %v, got %v", message, got)
	}
	require.Error(t, a.Send("c", &peerpb.Digest{}))
	require.Error(t, a.Send("b", &peerpb.Hello{}))
	status := a.Peers()
	require.Len(t, status, 1)
	require.Equal(t, "cuenca", status[0].Zone)
	require.Positive(t, status[0].BytesSent)
	require.Positive(t, status[0].BytesReceived)
}

func TestConfigStateIsFetchedOnConnectAndOnChange(t *testing.T) {
	a, _ := startNode(t, "a", nil)
	b, atB := startNode(t, "b", nil)
	first := &peerpb.ConfigState{Revision: 3, AsOfOffset: 9, Content: []byte("first")}
	a.SetConfigState(first)
	b.SetPeers([]Peer{peerOf(a)})
	require.True(t, proto.Equal(first, receive(t, atB.messages)))
	b.SetConfigState(first)
	second := &peerpb.ConfigState{Revision: 4, AsOfOffset: 12, Content: []byte("second")}
	a.SetConfigState(second)
	require.True(t, proto.Equal(second, receive(t, atB.messages)))
	a.SetConfigState(first)
	require.Equal(t, uint64(4), a.config.GetRevision())
	a.SetConfigState(&peerpb.ConfigState{Revision: 4, AsOfOffset: 99})
	a.SetConfigState(&peerpb.ConfigState{Revision: 4, AsOfOffset: 98})
	require.Equal(t, uint64(99), a.config.GetAsOfOffset(), "a higher offset of the same revision must be applied")
}

func TestRestartedPeerReplacesPreviousProcess(t *testing.T) {
	a, atA := startNode(t, "a", nil)
	b1, _ := startNode(t, "b", func(o *Options) { o.Incarnation = 1 })
	b1.SetPeers([]Peer{peerOf(a)})
	require.Equal(t, uint64(1), receive(t, atA.up).Incarnation)
	b2, _ := startNode(t, "b", func(o *Options) { o.Incarnation = 2 })
	b2.SetPeers([]Peer{peerOf(a)})
	require.Equal(t, uint64(2), receive(t, atA.up).Incarnation)
	require.Equal(t, uint64(2), a.Peers()[0].Incarnation)
}

func TestOversizedMessageEndsSession(t *testing.T) {
	const limit = 1 << 10
	a, _ := startNode(t, "a", nil)
	b, atB := startNode(t, "b", func(o *Options) { o.MaxMessageBytes = limit })
	b.SetPeers([]Peer{peerOf(a)})
	receive(t, atB.up)
	large := &peerpb.Poison{Fingerprint: make([]byte, limit)}
	require.Error(t, b.Send("a", large), "the sender enforces its own limit")
	require.Eventually(t, func() bool { return a.Send("b", large) == nil }, testTimeout, time.Millisecond)
	require.Equal(t, "a", receive(t, atB.down).ID)
	require.Equal(t, "a", receive(t, atB.up).ID)
	require.Empty(t, atB.messages)
}

// proxy forwards TCP connections to a target. freeze makes it discard all
// further bytes of the connections open at that moment without closing them.
type proxy struct {
	listener net.Listener
	target   string
	frozen   chan chan struct{}
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: listener, target: target, frozen: make(chan chan struct{}, 1)}
	p.frozen <- make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.run()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return p
}

func (p *proxy) run() {
	var conns []net.Conn
	for {
		in, err := p.listener.Accept()
		if err != nil {
			break
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		stop := <-p.frozen
		p.frozen <- stop
		conns = append(conns, in, out)
		go forward(in, out, stop)
		go forward(out, in, stop)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func forward(from, to net.Conn, stop <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-stop:
			continue
		default:
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) freeze() {
	stop := <-p.frozen
	close(stop)
	p.frozen <- make(chan struct{})
}

func TestUnresponsiveSessionIsReplaced(t *testing.T) {
	quick := func(o *Options) { o.MessageTimeout = 200 * time.Millisecond }
	a, atA := startNode(t, "a", quick)
	b, atB := startNode(t, "b", quick)
	through := startProxy(t, a.Addr().String())
	b.SetPeers([]Peer{{ID: "a", Address: through.listener.Addr().String()}})
	receive(t, atB.up)
	receive(t, atA.up)
	through.freeze()
	receive(t, atB.up)
	receive(t, atA.up)
	message := &peerpb.Leaving{Upstream: "replica-1"}
	require.Eventually(t, func() bool { return a.Send("b", message) == nil }, testTimeout, time.Millisecond)
	require.True(t, proto.Equal(message, receive(t, atB.messages)))
	require.GreaterOrEqual(t, b.Peers()[0].Sessions, uint64(2))
}

func TestBothDialAtOnceLeavesOneSession(t *testing.T) {
	for range 20 {
		a, atA := startNode(t, "a", nil)
		b, atB := startNode(t, "b", nil)
		go a.SetPeers([]Peer{peerOf(b)})
		b.SetPeers([]Peer{peerOf(a)})
		receive(t, atA.up)
		receive(t, atB.up)
		require.Eventually(t, func() bool { return sameSingleSession(a, b) }, testTimeout, time.Millisecond)
	}
}

func sameSingleSession(a, b *Node) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	atA, atB := a.remotes["b"], b.remotes["a"]
	if len(atA.openSessions) != 1 || len(atB.openSessions) != 1 || atA.session == nil || atB.session == nil {
		return false
	}
	return atA.session.id == atB.session.id
}

// TestBothEndsKeepTheSameSession checks that both ends keep the same session,
// whichever of two concurrent connections each of them registers first.
func TestBothEndsKeepTheSameSession(t *testing.T) {
	newPair := func() (a, b *Node) {
		var err error
		a, err = New(Options{ID: "a", Listen: "127.0.0.1:0", Key: testKey})
		require.NoError(t, err)
		b, err = New(Options{ID: "b", Listen: "127.0.0.1:0", Key: testKey})
		require.NoError(t, err)
		a.findOrAddRemote("b").wanted = true
		b.findOrAddRemote("a").wanted = true
		return a, b
	}
	end := func(remote string, dialed bool, id, previous uint64) *session {
		result := handshakeResult{remoteID: remote, process: 1, id: id, previous: previous}
		return &session{handshakeResult: result, dialed: dialed, queue: newQueue()}
	}
	const byA, byB = 11, 22
	for _, firstAtA := range []uint64{byA, byB} {
		for _, firstAtB := range []uint64{byA, byB} {
			a, b := newPair()
			for _, id := range []uint64{firstAtA, byA + byB - firstAtA} {
				_, _, _ = a.register(end("b", id == byA, id, 0))
			}
			for _, id := range []uint64{firstAtB, byA + byB - firstAtB} {
				_, _, _ = b.register(end("a", id == byB, id, 0))
			}
			require.Equal(t, uint64(byA), a.currentSession("b").id)
			require.Equal(t, uint64(byA), b.currentSession("a").id)
		}
	}

	a, _ := newPair()
	_, _, _ = a.register(end("b", true, byA, 0))
	_, _, ok := a.register(end("b", false, byB, byA))
	require.True(t, ok, "the peer has closed the current session")
	_, _, ok = a.register(end("c", true, 33, 0))
	require.False(t, ok, "dialed to an instance that is not in the set of peers")
}

// TestMessageWithInvalidTextDoesNotEndTheSessions guards against a message that cannot be encoded
// and ends the sessions with all peers. Only that message is lost.
func TestMessageWithInvalidTextDoesNotEndTheSessions(t *testing.T) {
	a, eventsA := startNode(t, "a", nil)
	b, eventsB := startNode(t, "b", nil)
	a.SetPeers([]Peer{peerOf(b)})
	receive(t, eventsA.up)
	receive(t, eventsB.up)
	invalid := &peerpb.Suspicion{Upstream: "i-\xff"}
	_, err := a.Broadcast(invalid)
	require.NoError(t, err)
	require.NoError(t, a.Send("b", invalid))
	_, err = a.Broadcast(&peerpb.Suspicion{Upstream: "i-1"})
	require.NoError(t, err)
	require.Equal(t, "i-1", receive(t, eventsB.messages).(*peerpb.Suspicion).GetUpstream())
	require.Empty(t, eventsA.down)
	require.Empty(t, eventsB.down)
}
