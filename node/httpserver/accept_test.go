package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLatePollersLoseOrHoardConnections guards against connections that are lost, or kept beyond the
// limit, while the pollers that are to add them stand still.
func TestLatePollersLoseOrHoardConnections(t *testing.T) {
	const limit, surplus = 20, 10
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, MaxConnections: limit, MaxRequests: 1000, IdleTimeout: time.Minute,
		Handler:         http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ServerErrorBody: func(status int) []byte { return fmt.Appendf(nil, "%d", status) },
	})
	require.NoError(t, err)
	held := holdPollers(t, s)
	held.hold(t)
	held.await()
	free := limit - s.online()
	var clients []net.Conn
	for range free + surplus {
		clients = append(clients, dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	}
	for _, c := range clients[free:] {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err, "closed at once")
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	require.Equal(t, free, s.acceptor.waiting())
	held.goOn()
	for _, c := range clients[:free] {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	require.NoError(t, s.Shutdown(context.Background()))
	_, err = net.Dial("tcp", s.Addr())
	require.Error(t, err)
}

// TestStartWaitsForeverWithoutItsAddress guards against a server that neither starts nor fails if its
// address is in use.
func TestStartWaitsForeverWithoutItsAddress(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) {})
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	opts := s.opts
	opts.Address = s.Addr()
	for range 10 {
		failed := make(chan error, 1)
		go func() {
			_, err := Start(opts)
			failed <- err
		}()
		select {
		case err := <-failed:
			require.Error(t, err)
		case <-time.After(10 * time.Second):
			require.Fail(t, "neither started nor failed")
		}
	}
}

// TestConnectionAcceptedDuringAStopStaysOpen guards against a connection that is accepted while the server
// closes and that nobody closes.
func TestConnectionAcceptedDuringAStopStaysOpen(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) {})
	held := holdPollers(t, s)
	held.hold(t)
	held.await()
	waiting := dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Eventually(t, func() bool { return s.acceptor.waiting() == 1 }, 10*time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	require.NoError(t, waiting.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := waiting.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	held.goOn()
	require.NoError(t, <-stopped)
}
