package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"masticbank.example/node/bounded/boundedtest"
)

// TestEndlessHandshakeIsAborted checks that a handshake ends after a bounded
// number of bytes if the remote end sends without end. It sets no deadline.
func TestEndlessHandshakeIsAborted(t *testing.T) {
	for name, filler := range map[string]string{"zeros": "\x00", "ones": "\xff", "text": "a"} {
		t.Run(name, func(t *testing.T) {
			s := boundedtest.Start(t, [2]string{"", filler})
			conn, err := net.Dial("tcp", s.Address())
			require.NoError(t, err)
			defer conn.Close()
			_, err = newHandshake(optionsWith("a", []byte("0123456789abcdef")), 0).dial(context.Background(), conn)
			require.Error(t, err)
			require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
		})
	}
}

// TestEndlessMessageIsAborted checks that receiving fails on a length prefix or
// a message that does not end.
func TestEndlessMessageIsAborted(t *testing.T) {
	for name, text := range map[string][]byte{
		"length":  bytes.Repeat([]byte{0xff}, 64),
		"message": append([]byte{0xff, 0xff, 0xff, 0xff, 0x7f}, make([]byte, 1<<20)...),
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			sender, err := yamux.Client(near, nil)
			require.NoError(t, err)
			receiver, err := yamux.Server(far, nil)
			require.NoError(t, err)
			defer func() { _ = receiver.Close() }()
			defer func() { _ = sender.Close() }()
			out, err := sender.OpenStream()
			require.NoError(t, err)
			in, err := receiver.AcceptStream()
			require.NoError(t, err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for {
					if _, err := io.Copy(out, bytes.NewReader(text)); err != nil {
						return
					}
				}
			}()
			o := optionsWith("a", []byte("0123456789abcdef"))
			o.setDefaults()
			_, err = newReceiver(in, o).next()
			require.Error(t, err)
			require.NoError(t, receiver.Close())
			<-done
		})
	}
}
