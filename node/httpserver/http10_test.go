package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHTTP10ClientsGetWholeStreams guards against a response of unknown length that ends, for a
// client without chunked encoding, after its first part.
func TestHTTP10ClientsGetWholeStreams(t *testing.T) {
	for name, connection := range map[string]string{"closed": "close", "kept": "keep-alive"} {
		for _, aborted := range []bool{false, true} {
			t.Run(fmt.Sprint(name, aborted), func(t *testing.T) {
				s := start(t, func(w http.ResponseWriter, _ *http.Request) {
					for _, part := range []string{"first\n", "second\n", "third\n"} {
						_, _ = io.WriteString(w, part)
						w.(http.Flusher).Flush()
					}
					if aborted {
						Abort(w)
					}
				})
				defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
				c, err := net.Dial("tcp", s.Addr())
				require.NoError(t, err)
				defer func() { _ = c.Close() }()
				_, err = fmt.Fprintf(c, "GET / HTTP/1.0\r\nHost: a\r\nConnection: %s\r\n\r\n", connection)
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if aborted {
					if err == nil {
						_, err = io.ReadAll(resp.Body)
					}
					require.Error(t, err, "the response looks complete")
					return
				}
				require.NoError(t, err)
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "first\nsecond\nthird\n", string(body))
			})
		}
	}
}

// TestLongResponseToHTTP10ClientIsAnError guards against memory that one client can make the server
// use without limit.
func TestLongResponseToHTTP10ClientIsAnError(t *testing.T) {
	failed := make(chan error, 1)
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, maxChunkBytes)
		var err error
		for written := 0; written <= maxUnchunkedBytes && err == nil; written += len(part) {
			_, err = w.Write(part)
		}
		failed <- err
		Abort(w)
	})
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.ErrorIs(t, <-failed, errUnchunkedTooLarge)
	data, _ := io.ReadAll(c)
	require.Empty(t, data)
}
