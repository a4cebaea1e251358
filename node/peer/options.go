// Package peer carries small messages between the instances of the router: TCP
// connections authenticated by a shared key, one yamux session for each pair of
// instances, and length-bounded protobuf messages. Any message may be lost;
// nothing that must hold depends on one.
package peer

import (
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Versions of the protocol that this package speaks.
const (
	minVersion = 1
	maxVersion = 1
)

// Defaults and bounds of Options.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultMaxMessageBytes   = 4 << 20
	DefaultMaxSessions       = 128
	// MinKeyBytes is the shortest shared key that New accepts.
	MinKeyBytes = 16
	maxIDBytes  = 128
)

// Options are the settings of a Node.
type Options struct {
	// ID names this instance; peers know it by this name.
	ID string
	// Incarnation must be higher after each start of the instance; 0 means the
	// wall clock in nanoseconds at New.
	Incarnation uint64
	Zone        string
	// Listen is the TCP address, host:port, for peers.
	Listen string
	// Key is the secret that all instances share, MinKeyBytes or longer.
	Key []byte
	// TLS, if set, encrypts every connection. It is used for both directions
	// and so needs certificates, RootCAs and, for mutual TLS, ClientCAs. An
	// empty ServerName is replaced by the host of the dialed address.
	TLS    *tls.Config
	Logger *zap.Logger
	// Handler receives what peers send; nil ignores everything.
	Handler Handler

	// HeartbeatInterval is the longest time without a message to a peer.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the longest time without a message from a peer, and
	// the longest time for one write. The session is replaced after it.
	SilenceTimeout time.Duration
	// HandshakeTimeout bounds dialing and authentication together.
	HandshakeTimeout time.Duration
	// MaxMessageBytes bounds one message in both directions.
	MaxMessageBytes int
	// MaxSessions bounds the sessions, including those under handshake.
	MaxSessions int
	// PullDelay is how long a configuration that a peer has in force may take to
	// arrive in another way before the peer is asked for it.
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
	setDuration(&o.SilenceTimeout, DefaultSilenceTimeout)
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
		return trace.BadParameter("peer: no listen address")
	}
	if len(o.Key) < MinKeyBytes {
		return trace.BadParameter("peer: the shared key has %d bytes, needs %d", len(o.Key), MinKeyBytes)
	}
	if o.SilenceTimeout <= o.HeartbeatInterval {
		return trace.BadParameter("peer: silence timeout %v must exceed heartbeat interval %v",
			o.SilenceTimeout, o.HeartbeatInterval)
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return trace.BadParameter("peer: an instance ID has 1 to %d bytes", maxIDBytes)
	}
	return nil
}
