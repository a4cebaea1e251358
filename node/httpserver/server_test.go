package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func start(t *testing.T, h http.HandlerFunc) *Server {
	t.Helper()
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, MaxConnections: 100, MaxRequests: 100,
		IdleTimeout: time.Minute, Handler: h,
		Malformed: func(status int) []byte { return fmt.Appendf(nil, "%d", status) },
	})
	require.NoError(t, err)
	return s
}

func TestOversizeBodyIsAnswered(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) { t.Error("handler called") })
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	body := strings.Repeat("x", 4096)
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Equal(t, "not_run", resp.Header.Get("X-Masticbank-Execution"))
}

func TestClosedConnectionEndsContext(t *testing.T) {
	entered := make(chan struct{})
	left := make(chan struct{})
	s := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(left)
	})
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-entered
	require.NoError(t, c.Close())
	<-left
	require.NoError(t, s.Shutdown(context.Background()))
}

func TestShutdownWaitsForRequests(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		w.(http.Flusher).Flush()
		close(entered)
		<-release
		_, _ = io.WriteString(w, "last\n")
	})
	resp, err := http.Get("http://" + s.Addr())
	require.NoError(t, err)
	defer resp.Body.Close()
	<-entered
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	require.Eventually(t, s.closing.Load, time.Minute, time.Millisecond)
	close(release)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "first\nlast\n", string(body))
	require.NoError(t, <-done)
}
