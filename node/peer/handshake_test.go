package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"masticbank.example/node/peer/peerpb"
)

type handshakeOutcome struct {
	result handshakeResult
	err    error
}

func optionsWith(id string, key []byte) *Options {
	return &Options{ID: id, Key: key, Incarnation: 1}
}

// handshakeBothSides runs both sides of a handshake over a pipe.
func handshakeBothSides(t *testing.T, dialer, acceptor *handshake) (atDialer, atAcceptor handshakeOutcome) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	accepted := make(chan handshakeOutcome, 1)
	go func() {
		result, err := acceptor.accept(ctx, far)
		if err != nil {
			_ = far.Close()
		}
		accepted <- handshakeOutcome{result, err}
	}()
	atDialer.result, atDialer.err = dialer.dial(ctx, near)
	if atDialer.err != nil {
		_ = near.Close()
	}
	return atDialer, receive(t, accepted)
}

func TestHandshakeAgrees(t *testing.T) {
	dialer := newHandshake(optionsWith("a", testKey), 5)
	dialer.localPreamble.MaxVersion = 9
	acceptor := newHandshake(optionsWith("b", testKey), 0)
	atDialer, atAcceptor := handshakeBothSides(t, dialer, acceptor)
	require.NoError(t, atDialer.err)
	require.NoError(t, atAcceptor.err)
	require.Equal(t, "b", atDialer.result.remoteID)
	require.Equal(t, "a", atAcceptor.result.remoteID)
	require.Equal(t, uint32(maxVersion), atAcceptor.result.version)
	require.Equal(t, atDialer.result.id, atAcceptor.result.id)
	require.Equal(t, uint64(5), atAcceptor.result.previous)
}

func TestHandshakeRejectsInvalidPeers(t *testing.T) {
	wrongKey := []byte("0123456789abcdeg")
	cases := map[string]struct {
		dialer *Options
		change func(*peerpb.Preamble)
	}{
		"wrong key":     {dialer: optionsWith("a", wrongKey)},
		"own ID":        {dialer: optionsWith("b", testKey)},
		"empty ID":      {dialer: optionsWith("", testKey)},
		"short nonce":   {dialer: optionsWith("a", testKey), change: func(p *peerpb.Preamble) { p.Nonce = p.Nonce[1:] }},
		"newer version": {dialer: optionsWith("a", testKey), change: func(p *peerpb.Preamble) { p.MinVersion, p.MaxVersion = 8, 9 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			dialer := newHandshake(test.dialer, 0)
			if test.change != nil {
				test.change(dialer.localPreamble)
			}
			_, atAcceptor := handshakeBothSides(t, dialer, newHandshake(optionsWith("b", testKey), 0))
			require.Error(t, atAcceptor.err)
		})
	}
}

// TestHandshakeRejectsReflection checks that a peer without the key is not
// authenticated by sending back what it receives: the proof it returns is that
// of the other role.
func TestHandshakeRejectsReflection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	near, far := net.Pipe()
	echoed := make(chan struct{})
	go func() {
		defer close(echoed)
		_, _ = io.Copy(reflect{far}, far)
	}()
	dialer := newHandshake(optionsWith("a", testKey), 0)
	_, err := dialer.dial(ctx, near)
	require.True(t, trace.IsAccessDenied(err), "%v", err)
	_ = near.Close()
	_ = far.Close()
	<-echoed
}

// reflect writes back in the background because the pipe has no buffer.
type reflect struct{ conn net.Conn }

func (r reflect) Write(p []byte) (int, error) {
	echo := append([]byte(nil), p...)
	go func() { _, _ = r.conn.Write(echo) }()
	return len(p), nil
}

// TestHandshakeRejectsReplay checks that the recorded bytes of a dialer are not
// valid for another connection, as the acceptor's nonce differs.
func TestHandshakeRejectsReplay(t *testing.T) {
	first := newHandshake(optionsWith("a", testKey), 0)
	_, atAcceptor := handshakeBothSides(t, first, newHandshake(optionsWith("b", testKey), 0))
	require.NoError(t, atAcceptor.err)
	recorded := first.proof(roleDialer)
	acceptor := newHandshake(optionsWith("b", testKey), 0)
	acceptor.dialerBytes = first.dialerBytes
	acceptor.remotePreamble = first.localPreamble
	var err error
	acceptor.acceptorBytes, err = acceptor.writePreamble(io.Discard)
	require.NoError(t, err)
	require.NotEqual(t, recorded, acceptor.proof(roleDialer))
}

func TestWrongKeyOpensNoSession(t *testing.T) {
	a, atA := startNode(t, "a", nil)
	b, _ := startNode(t, "b", func(o *Options) { o.Key = []byte("another key of 16 bytes") })
	b.SetPeers([]Peer{peerOf(a)})
	require.Eventually(t, func() bool { return b.Peers()[0].Dials >= 2 }, testTimeout, time.Millisecond)
	require.Empty(t, a.Peers())
	require.Empty(t, atA.up)
	_, err := New(Options{ID: "c", Listen: "127.0.0.1:0", Key: testKey[1:]})
	require.True(t, trace.IsBadParameter(err))
}

func TestSessionOverTLS(t *testing.T) {
	config := selfSigned(t)
	a, _ := startNode(t, "a", func(o *Options) { o.TLS = config })
	b, atB := startNode(t, "b", func(o *Options) { o.TLS = config })
	b.SetPeers([]Peer{peerOf(a)})
	receive(t, atB.up)
	message := &peerpb.Leaving{Upstream: "replica-1"}
	require.Eventually(t, func() bool { return a.Send("b", message) == nil }, testTimeout, time.Millisecond)
	require.True(t, proto.Equal(message, receive(t, atB.messages)))
}

func selfSigned(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}
