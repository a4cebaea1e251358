package logstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/logstream"
)

// TestInvalidFieldLineDoesNotDecideAnAppend guards against an append that counts as done, or as one that
// never will be, by a response with an invalid field line.
func TestInvalidFieldLineDoesNotDecideAnAppend(t *testing.T) {
	for fault, line := range fieldlinetest.Invalid {
		for _, status := range []string{"200 OK", "400 Bad Request", "429 Too Many Requests"} {
			t.Run(fault+" "+status, func(t *testing.T) {
				s := fieldlinetest.Serve(t, "HTTP/1.1 "+status+"\r\nA: 1\r\n"+line+"Content-Length: 12\r\n\r\n{\"offset\":1}")
				h := &logstream.HTTP{Base: "http://" + s.Address, Timeout: time.Minute}
				_, err := h.Append(context.Background(), "s", [][]byte{[]byte("r")})
				require.ErrorIs(t, err, logstream.ErrUnavailable)
				_, err = h.Read(context.Background(), "s", 0, 1, 0)
				require.ErrorIs(t, err, logstream.ErrUnavailable)
				require.Equal(t, 2, s.Connections(), "the connection is not used again")
			})
		}
	}
}

// TestInvalidStatusDoesNotDecideAnAppend guards against an append that counts as one that never will be
// because the status of the response is none.
func TestInvalidStatusDoesNotDecideAnAppend(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		t.Run(status, func(t *testing.T) {
			s := fieldlinetest.Serve(t, "HTTP/1.1 "+status+"\r\nContent-Length: 12\r\n\r\n{\"offset\":1}")
			h := &logstream.HTTP{Base: "http://" + s.Address, Timeout: time.Minute}
			_, err := h.Append(context.Background(), "s", [][]byte{[]byte("r")})
			require.ErrorIs(t, err, logstream.ErrUnavailable)
			_, err = h.Read(context.Background(), "s", 0, 1, 0)
			require.ErrorIs(t, err, logstream.ErrUnavailable)
			require.Equal(t, 2, s.Connections(), "the connection is not used again")
		})
	}
}

func TestUnusualFieldLinesOfTheLogAreAccepted(t *testing.T) {
	s := fieldlinetest.Serve(t, "HTTP/1.1 200 OK\r\n"+fieldlinetest.Unusual+"Content-Length: 12\r\n\r\n{\"offset\":1}")
	h := &logstream.HTTP{Base: "http://" + s.Address, Timeout: time.Minute}
	offset, err := h.Append(context.Background(), "s", [][]byte{[]byte("r")})
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
}
