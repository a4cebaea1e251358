package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dialSlowReader connects with receive and send buffers that hold little, so that nbio has to keep
// most of a response.
func dialSlowReader(t *testing.T, s *Server) net.Conn {
	t.Helper()
	const bufferBytes = 4096
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
	}}
	client, err := d.Dial("tcp", s.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	require.Eventually(t, func() bool { return len(s.openConnections()) == 1 }, 10*time.Second, time.Millisecond)
	for c := range s.openConnections() {
		require.NoError(t, c.SetWriteBuffer(bufferBytes))
	}
	return client
}

// TestResponseIsCutWhileItsEndIsUnsent guards against a connection that is closed after its handler
// has returned, while the client has yet to read what nbio keeps of the response.
func TestResponseIsCutWhileItsEndIsUnsent(t *testing.T) {
	body := strings.Repeat("x", 48<<10)
	for name, closeIt := range map[string]func(*Server){
		"drain": (*Server).closeIdleConnections,
		"idle":  func(s *Server) { s.closeExpiredConnections(time.Now().Add(2 * s.opts.IdleTimeout)) },
		"connection close": func(s *Server) {
			for c := range s.openConnections() {
				s.closeAnnounced(c)
			}
		},
		"shutdown": nil,
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = io.WriteString(w, body)
			})
			client := dialSlowReader(t, s)
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(t, err)
			reader := bufio.NewReader(client)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			for c := range s.openConnections() {
				require.Eventually(t, func() bool { return s.InFlight() == 0 && c.ExecuteLen() == 0 }, 10*time.Second, time.Millisecond)
			}
			s.removeFlushed()
			ended := make(chan error, 1)
			if closeIt != nil {
				closeIt(s)
			} else {
				go func() { ended <- s.Shutdown(context.Background()) }()
				select {
				case err := <-ended:
					ended <- err
				case <-time.After(200 * time.Millisecond): // it waits for the client
				}
			}
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Len(t, got, len(body))
			if closeIt != nil {
				go func() { ended <- s.Shutdown(context.Background()) }()
			}
			require.NoError(t, <-ended)
		})
	}
}
