package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"masticbank.example/node/peer/peerpb"
)

const (
	nonceBytes = 32
	// maxPreambleBytes limits how much an unauthenticated peer can make an
	// instance read.
	maxPreambleBytes = 512
	// exporterLabel is the label of the TLS keying material that binds the
	// proofs to their TLS connection.
	exporterLabel = "EXPORTER-masticbank-peer"
	exporterBytes = 32
)

// role is the side of a connection. The proofs include it, so that the proof of
// one side cannot be sent back as that of the other.
type role string

const (
	roleDialer   role = "masticbank peer dialer"
	roleAcceptor role = "masticbank peer acceptor"
)

// handshake authenticates one connection by challenge and response in both
// directions: each side sends a preamble with a new nonce, then an HMAC-SHA256
// with the shared key over its role, both preambles and the TLS channel
// binding, if any. The dialer sends its proof first, so that an unauthenticated
// dialer gets no proof.
type handshake struct {
	key            []byte
	localPreamble  *peerpb.Preamble
	remotePreamble *peerpb.Preamble

	dialerBytes    []byte
	acceptorBytes  []byte
	channelBinding []byte
}

// handshakeResult is the outcome of a successful handshake.
type handshakeResult struct {
	remoteID string
	process  uint64
	version  uint32
	// id identifies the session; it is equal on both sides and never 0.
	id uint64
	// previous is the last session that the remote side has closed, or 0.
	previous uint64
}

func newHandshake(options *Options, previous uint64) *handshake {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return &handshake{key: options.Key, localPreamble: &peerpb.Preamble{
		MinVersion:      minVersion,
		MaxVersion:      maxVersion,
		Nonce:           nonce,
		Instance:        options.ID,
		Incarnation:     options.Incarnation,
		PreviousSession: previous,
	}}
}

// dial runs the handshake on the side that opened conn.
func (h *handshake) dial(ctx context.Context, conn net.Conn) (handshakeResult, error) {
	if err := h.prepare(ctx, conn); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	var err error
	if h.dialerBytes, err = h.writePreamble(conn); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	if h.acceptorBytes, err = h.readPreamble(conn); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	if _, err := conn.Write(h.proof(roleDialer)); err != nil {
		return handshakeResult{}, trace.ConnectionProblem(err, "write proof")
	}
	if err := h.verify(conn, roleAcceptor); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	return h.complete(conn)
}

// accept runs the handshake on the side that accepted conn.
func (h *handshake) accept(ctx context.Context, conn net.Conn) (handshakeResult, error) {
	if err := h.prepare(ctx, conn); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	var err error
	if h.dialerBytes, err = h.readPreamble(conn); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	if h.acceptorBytes, err = h.writePreamble(conn); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	if err := h.verify(conn, roleDialer); err != nil {
		return handshakeResult{}, trace.Wrap(err)
	}
	if _, err := conn.Write(h.proof(roleAcceptor)); err != nil {
		return handshakeResult{}, trace.ConnectionProblem(err, "write proof")
	}
	return h.complete(conn)
}

// prepare applies the deadline of ctx to conn and, for TLS, runs the TLS
// handshake and derives the channel binding.
func (h *handshake) prepare(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return trace.ConnectionProblem(err, "set deadline")
		}
	}
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return trace.ConnectionProblem(err, "TLS handshake")
	}
	state := tlsConn.ConnectionState()
	var err error
	h.channelBinding, err = state.ExportKeyingMaterial(exporterLabel, nil, exporterBytes)
	return trace.Wrap(err)
}

func (h *handshake) writePreamble(w io.Writer) ([]byte, error) {
	body, err := proto.Marshal(h.localPreamble)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	framed := binary.BigEndian.AppendUint16(nil, uint16(len(body)))
	if _, err := w.Write(append(framed, body...)); err != nil {
		return nil, trace.ConnectionProblem(err, "write preamble")
	}
	return body, nil
}

func (h *handshake) readPreamble(r io.Reader) ([]byte, error) {
	var header [2]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, trace.ConnectionProblem(err, "read preamble")
	}
	size := int(binary.BigEndian.Uint16(header[:]))
	if size > maxPreambleBytes {
		return nil, trace.LimitExceeded("preamble of %d bytes is too long", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, trace.ConnectionProblem(err, "read preamble")
	}
	h.remotePreamble = &peerpb.Preamble{}
	if err := proto.Unmarshal(body, h.remotePreamble); err != nil {
		return nil, trace.BadParameter("invalid preamble: %v", err)
	}
	if len(h.remotePreamble.GetNonce()) != nonceBytes {
		return nil, trace.BadParameter("invalid preamble: nonce of %d bytes", len(h.remotePreamble.GetNonce()))
	}
	return body, trace.Wrap(checkID(h.remotePreamble.GetInstance()))
}

// proof returns the HMAC that the given side must send.
func (h *handshake) proof(sender role) []byte {
	mac := hmac.New(sha256.New, h.key)
	for _, input := range [][]byte{[]byte(sender), h.dialerBytes, h.acceptorBytes, h.channelBinding} {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(input)))
		_, _ = mac.Write(input)
	}
	return mac.Sum(nil)
}

func (h *handshake) verify(r io.Reader, sender role) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(r, got); err != nil {
		return trace.ConnectionProblem(err, "read proof")
	}
	if !hmac.Equal(got, h.proof(sender)) {
		return trace.AccessDenied("peer %q has a different shared key", h.remotePreamble.GetInstance())
	}
	return nil
}

// complete negotiates the protocol version and returns the result of the
// handshake.
func (h *handshake) complete(conn net.Conn) (handshakeResult, error) {
	version := min(maxVersion, h.remotePreamble.GetMaxVersion())
	if version < max(minVersion, h.remotePreamble.GetMinVersion()) {
		return handshakeResult{}, trace.NotImplemented("peer %q supports protocol versions %d to %d, this instance %d to %d",
			h.remotePreamble.GetInstance(), h.remotePreamble.GetMinVersion(), h.remotePreamble.GetMaxVersion(), minVersion, maxVersion)
	}
	if h.remotePreamble.GetInstance() == h.localPreamble.GetInstance() {
		return handshakeResult{}, trace.BadParameter("peer has the same ID %q as this instance", h.localPreamble.GetInstance())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return handshakeResult{}, trace.ConnectionProblem(err, "clear deadline")
	}
	return handshakeResult{
		remoteID: h.remotePreamble.GetInstance(),
		process:  h.remotePreamble.GetIncarnation(),
		version:  version,
		id:       h.sessionID(),
		previous: h.remotePreamble.GetPreviousSession(),
	}, nil
}

func (h *handshake) sessionID() uint64 {
	hash := sha256.New()
	_, _ = hash.Write(h.dialerBytes)
	_, _ = hash.Write(h.acceptorBytes)
	return binary.BigEndian.Uint64(hash.Sum(nil)) | 1
}
