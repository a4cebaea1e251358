package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"masticbank.example/node/peer/peerpb"
)

// maxRetainedBuffer is the maximum size, in bytes, of a write buffer that is
// reused for the next message.
const maxRetainedBuffer = 64 << 10

// session is one authenticated connection with a peer. Each side opens one
// yamux stream to send on and accepts one to receive from.
type session struct {
	handshakeResult
	// dialed is true if this instance opened the connection.
	dialed bool
	queue  *queue

	raw       *countingConn
	mux       *yamux.Session
	closeOnce sync.Once

	mu   sync.Mutex
	info Info
	// lastReceived is the time of the last message; zero before the peer's
	// Hello.
	lastReceived     time.Time
	sentMessages     uint64
	receivedMessages uint64
}

// newSession starts yamux on conn, which may be a TLS connection over raw.
func newSession(conn net.Conn, raw *countingConn, result handshakeResult, dialed bool, options *Options) (*session, error) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.ConnectionWriteTimeout = options.MessageTimeout
	config.StreamOpenTimeout = options.MessageTimeout
	config.StreamCloseTimeout = options.MessageTimeout
	config.AcceptBacklog = 1
	mux, err := startMux(conn, config, dialed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &session{
		handshakeResult: result,
		dialed:          dialed,
		queue:           newQueue(),
		raw:             raw,
		mux:             mux,
		info:            Info{ID: result.remoteID, Incarnation: result.process, Version: result.version},
	}, nil
}

func startMux(conn net.Conn, config *yamux.Config, dialed bool) (*yamux.Session, error) {
	if dialed {
		return yamux.Client(conn, config)
	}
	return yamux.Server(conn, config)
}

// close ends the session immediately. It closes the raw connection first, so
// that a blocked write cannot delay the rest.
func (s *session) close() {
	s.closeOnce.Do(func() {
		_ = s.raw.Close()
		_ = s.mux.Close()
		s.queue.close()
	})
}

// snapshot returns the peer's last known state and the time of its last
// message.
func (s *session) snapshot() (Info, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info, s.lastReceived
}

// sender writes the queued messages of a session to its stream.
type sender struct {
	session  *session
	stream   *yamux.Stream
	interval time.Duration
	timeout  time.Duration
	// newHeartbeat returns the message to send after an interval without
	// another.
	newHeartbeat func() *peerpb.Envelope
	logger       *zap.Logger
	// buffer holds one message with its length prefix, so that both are sent in
	// one write.
	buffer []byte
}

// run sends until ctx ends, a write fails, or the queue is closed and empty.
func (w *sender) run(ctx context.Context) error {
	timer := time.NewTimer(w.interval)
	defer timer.Stop()
	for {
		message, closed := w.session.queue.pop()
		if closed {
			return nil
		}
		if message != nil {
			if err := w.write(message); err != nil {
				return trace.Wrap(err)
			}
			timer.Reset(w.interval)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-w.session.queue.ready:
		case <-timer.C:
			w.session.queue.push(w.newHeartbeat())
		}
	}
}

// write sends a message. One that cannot be encoded, for example because it holds
// invalid text, is dropped: the session need not end for it.
func (w *sender) write(message *peerpb.Envelope) error {
	if err := w.stream.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return trace.ConnectionProblem(err, "set write deadline")
	}
	w.buffer = protowire.AppendVarint(w.buffer[:0], uint64(proto.Size(message)))
	var err error
	w.buffer, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buffer, message)
	if err != nil {
		w.logger.Error("message to a peer cannot be encoded", zap.String("peer", w.session.remoteID), zap.Error(err))
		return nil
	}
	if _, err := w.stream.Write(w.buffer); err != nil {
		return trace.ConnectionProblem(err, "write message")
	}
	if cap(w.buffer) > maxRetainedBuffer {
		w.buffer = nil
	}
	w.session.mu.Lock()
	w.session.sentMessages++
	w.session.mu.Unlock()
	return nil
}

// receiver reads messages from the peer's stream.
type receiver struct {
	stream           *yamux.Stream
	reader           *bufio.Reader
	timeout          time.Duration
	unmarshalOptions protodelim.UnmarshalOptions
}

func newReceiver(stream *yamux.Stream, options *Options) *receiver {
	return &receiver{
		stream:           stream,
		reader:           bufio.NewReader(stream),
		timeout:          options.MessageTimeout,
		unmarshalOptions: protodelim.UnmarshalOptions{MaxSize: int64(options.MaxMessageBytes)},
	}
}

// next returns the next message. It fails if none arrives within the timeout or
// if one exceeds the size limit; the session cannot continue after either.
func (r *receiver) next() (*peerpb.Envelope, error) {
	if err := r.stream.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return nil, trace.ConnectionProblem(err, "set read deadline")
	}
	message := &peerpb.Envelope{}
	err := r.unmarshalOptions.UnmarshalFrom(r.reader, message)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return message, nil
	case errors.As(err, &tooLarge):
		return nil, trace.LimitExceeded("message of %d bytes is too large", tooLarge.Size)
	case errors.Is(err, yamux.ErrTimeout):
		return nil, trace.ConnectionProblem(err, "no message received for %v", r.timeout)
	default:
		return nil, trace.ConnectionProblem(err, "read message")
	}
}
