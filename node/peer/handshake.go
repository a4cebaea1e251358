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
	// maxPreambleBytes bounds what a stranger can make an instance read.
	maxPreambleBytes = 512
	// exporterLabel binds the proofs to the TLS connection that carries them.
	exporterLabel = "EXPORTER-masticbank-peer"
	exporterBytes = 32
)

// role is the side of a connection. It enters the proofs, so that the proof of
// one side can't be sent back as the proof of the other.
type role string

const (
	roleDialer   role = "masticbank peer dialer"
	roleAcceptor role = "masticbank peer acceptor"
)

// handshake authenticates one connection by challenge and response in both
// directions: each side sends a preamble with a new nonce, then an HMAC-SHA256
// with the shared key over its role and both preambles. The dialer proves
// itself first, so that a stranger gets no proof.
type handshake struct {
	key    []byte
	local  *peerpb.Preamble
	remote *peerpb.Preamble

	dialerBytes   []byte
	acceptorBytes []byte
	binding       []byte
}

// agreement is the result of a handshake.
type agreement struct {
	remoteID    string
	incarnation uint64
	version     uint32
	// id names the session alike on both sides; it is never 0.
	id uint64
	// previous is the session that the remote side has given up, or 0.
	previous uint64
}

func newHandshake(options *Options, previous uint64) *handshake {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return &handshake{key: options.Key, local: &peerpb.Preamble{
		MinVersion:      minVersion,
		MaxVersion:      maxVersion,
		Nonce:           nonce,
		Instance:        options.ID,
		Incarnation:     options.Incarnation,
		PreviousSession: previous,
	}}
}

// dial runs the handshake of the side that opened conn.
func (h *handshake) dial(ctx context.Context, conn net.Conn) (agreement, error) {
	if err := h.prepare(ctx, conn); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	var err error
	if h.dialerBytes, err = h.writePreamble(conn); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	if h.acceptorBytes, err = h.readPreamble(conn); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	if _, err := conn.Write(h.proof(roleDialer)); err != nil {
		return agreement{}, trace.ConnectionProblem(err, "write proof")
	}
	if err := h.verify(conn, roleAcceptor); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	return h.finish(conn)
}

// accept runs the handshake of the side that accepted conn.
func (h *handshake) accept(ctx context.Context, conn net.Conn) (agreement, error) {
	if err := h.prepare(ctx, conn); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	var err error
	if h.dialerBytes, err = h.readPreamble(conn); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	if h.acceptorBytes, err = h.writePreamble(conn); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	if err := h.verify(conn, roleDialer); err != nil {
		return agreement{}, trace.Wrap(err)
	}
	if _, err := conn.Write(h.proof(roleAcceptor)); err != nil {
		return agreement{}, trace.ConnectionProblem(err, "write proof")
	}
	return h.finish(conn)
}

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
	h.binding, err = state.ExportKeyingMaterial(exporterLabel, nil, exporterBytes)
	return trace.Wrap(err)
}

func (h *handshake) writePreamble(w io.Writer) ([]byte, error) {
	body, err := proto.Marshal(h.local)
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
		return nil, trace.LimitExceeded("preamble of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, trace.ConnectionProblem(err, "read preamble")
	}
	h.remote = &peerpb.Preamble{}
	if err := proto.Unmarshal(body, h.remote); err != nil {
		return nil, trace.BadParameter("preamble: %v", err)
	}
	if len(h.remote.GetNonce()) != nonceBytes {
		return nil, trace.BadParameter("preamble: nonce of %d bytes", len(h.remote.GetNonce()))
	}
	return body, trace.Wrap(checkID(h.remote.GetInstance()))
}

func (h *handshake) proof(sender role) []byte {
	mac := hmac.New(sha256.New, h.key)
	for _, part := range [][]byte{[]byte(sender), h.dialerBytes, h.acceptorBytes, h.binding} {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(part)))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

func (h *handshake) verify(r io.Reader, sender role) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(r, got); err != nil {
		return trace.ConnectionProblem(err, "read proof")
	}
	if !hmac.Equal(got, h.proof(sender)) {
		return trace.AccessDenied("peer %q at the other end has another key", h.remote.GetInstance())
	}
	return nil
}

func (h *handshake) finish(conn net.Conn) (agreement, error) {
	version := min(maxVersion, h.remote.GetMaxVersion())
	if version < max(minVersion, h.remote.GetMinVersion()) {
		return agreement{}, trace.NotImplemented("peer %q speaks versions %d to %d, this instance %d to %d",
			h.remote.GetInstance(), h.remote.GetMinVersion(), h.remote.GetMaxVersion(), minVersion, maxVersion)
	}
	if h.remote.GetInstance() == h.local.GetInstance() {
		return agreement{}, trace.BadParameter("the other end has this instance's ID %q", h.local.GetInstance())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return agreement{}, trace.ConnectionProblem(err, "clear deadline")
	}
	return agreement{
		remoteID:    h.remote.GetInstance(),
		incarnation: h.remote.GetIncarnation(),
		version:     version,
		id:          h.sessionID(),
		previous:    h.remote.GetPreviousSession(),
	}, nil
}

func (h *handshake) sessionID() uint64 {
	hash := sha256.New()
	_, _ = hash.Write(h.dialerBytes)
	_, _ = hash.Write(h.acceptorBytes)
	return binary.BigEndian.Uint64(hash.Sum(nil)) | 1
}
