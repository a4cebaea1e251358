// Package peer carries small messages between the instances of the router. It
// uses TCP connections authenticated by a shared key, one yamux session per
// pair of instances, and protobuf messages of limited size. Any message may be
// lost, so correctness must not depend on delivery.
package peer

import (
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Protocol versions supported by this package.
const (
	minVersion = 1
	maxVersion = 1
)

// Defaults and limits of Options.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultMessageTimeout    = 2 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultMaxMessageBytes   = 4 << 20
	DefaultMaxSessions       = 128
	// MinKeyBytes is the minimum length of the shared key.
	MinKeyBytes = 16
	maxIDBytes  = 128
)

// Options are the settings of a Node.
type Options struct {
	// ID identifies this instance to its peers.
	ID string
	// Incarnation identifies the process of this instance and must be higher
	// after each start; 0 means the Unix time in nanoseconds at New.
	Incarnation uint64
	Zone        string
	// Listen is the TCP address, host:port, for connections from peers.
	Listen string
	// Key is the secret shared by all instances, at least MinKeyBytes long.
	Key []byte
	// TLS, if set, encrypts every connection. It is used in both directions and
	// therefore needs certificates, RootCAs and, for mutual TLS, ClientCAs. An
	// empty ServerName is replaced by the host of the dialed address.
	TLS    *tls.Config
	Logger *zap.Logger
	// Handler receives the messages of peers; nil ignores them.
	Handler Handler

	// HeartbeatInterval is the maximum time between two messages to a peer.
	HeartbeatInterval time.Duration
	// MessageTimeout is the maximum time without a message from a peer and the
	// timeout of one write. After either, the session is replaced.
	MessageTimeout time.Duration
	// HandshakeTimeout is the timeout of each step of opening a session:
	// dialing, authentication, and accepting the peer's stream.
	HandshakeTimeout time.Duration
	// MaxMessageBytes limits the size of a message in both directions.
	MaxMessageBytes int
	// MaxSessions limits the concurrent handshakes of accepted connections. A
	// session with a peer that is not in the set of SetPeers is rejected while
	// this many peers are known.
	MaxSessions int
	// PullDelay is how long this instance waits for a newer configuration to
	// arrive in another way before it requests it from a peer that has it in
	// force.
	PullDelay time.Duration
}

func (o *Options) setDefaults() {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Handler == nil {
		o.Handler = NopHandler{}
	}
	setDuration(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDuration(&o.MessageTimeout, DefaultMessageTimeout)
	setDuration(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	if o.MaxMessageBytes <= 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.MaxSessions <= 0 {
		o.MaxSessions = DefaultMaxSessions
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func (o *Options) check() error {
	if err := checkID(o.ID); err != nil {
		return trace.Wrap(err)
	}
	if o.Listen == "" {
		return trace.BadParameter("peer: the listen address is not set")
	}
	if len(o.Key) < MinKeyBytes {
		return trace.BadParameter("peer: the shared key has %d bytes, at least %d are required", len(o.Key), MinKeyBytes)
	}
	if o.MessageTimeout <= o.HeartbeatInterval {
		return trace.BadParameter("peer: message timeout %v must exceed heartbeat interval %v",
			o.MessageTimeout, o.HeartbeatInterval)
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return trace.BadParameter("peer: an instance ID must have 1 to %d bytes", maxIDBytes)
	}
	return nil
}
