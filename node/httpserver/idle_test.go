package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// During a planned stop, callers keep idle connections and send their next requests on them until
// the process ends. Those that come after the last moment at which a stream can still end get an
// error response, which uses up the single retry that many callers have. Closing the idle
// connections sends callers to other instances in time.
func TestDrainClosesIdleConnections(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
		return c, bufio.NewReader(c)
	}
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	get := func(c net.Conn, r *bufio.Reader, rest string) *http.Response {
		_, err := io.WriteString(c, rest)
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		return resp
	}
	kept, keptReader := dial()
	get(kept, keptReader, request)
	fresh, freshReader := dial()
	partial, partialReader := dial()
	get(partial, partialReader, request)
	_, err := io.WriteString(partial, request[:10])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.receivingCount() == 1 }, time.Minute, time.Millisecond)

	s.Drain()

	_, err = keptReader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection")
	require.True(t, get(fresh, freshReader, request).Close, "a connection that has not been used yet")
	require.True(t, get(partial, partialReader, request[10:]).Close, "a connection with half a request")
	require.NoError(t, s.Shutdown(context.Background()))
}

// receivingCount returns the number of connections on which a request is being received.
func (s *Server) receivingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.connections {
		if st.receiving {
			n++
		}
	}
	return n
}
