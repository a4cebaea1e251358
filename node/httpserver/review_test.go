package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainedConnectionsHideACutRequest guards against a request that is cut while nothing tells who
// closed its connection, because unused connections that were closed in the same second took all reports.
func TestDrainedConnectionsHideACutRequest(t *testing.T) {
	s := &Server{opts: Options{OnConnectionEnd: func(ConnectionEnd) {}}}
	now := time.Now()
	unused := &connState{requests: 1, idleSince: now, readAt: now, openedAt: now}
	for range 2 * maxEndsReported {
		s.connectionEndLocked(unused, errDrained, now)
	}
	cut := &connState{requests: 1, idleSince: now, readAt: now, openedAt: now, endedAt: now, endedInRequest: true}
	_, reported := s.connectionEndLocked(cut, errAborted, now)
	require.True(t, reported)
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

// TestStopCutsARequestThatWaitsForItsHandler guards against a request that was read whole and is closed
// without an answer by a stop, because all handlers were taken.
func TestStopCutsARequestThatWaitsForItsHandler(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	release := make(chan struct{})
	var entered atomic.Int32
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, MaxConnections: 100, MaxRequests: 5, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entered.Add(1)
			<-release
			_, _ = io.WriteString(w, "ok")
		}),
		ServerErrorBody: func(status int) []byte { return fmt.Appendf(nil, "%d", status) },
	})
	require.NoError(t, err)
	clients := []io.Reader{}
	for range 10 {
		clients = append(clients, dialAndSend(t, s, request))
	}
	require.Eventually(t, func() bool { return s.receivingCount()+int(entered.Load()) == len(clients) && entered.Load() > 0 }, 10*time.Second, time.Millisecond)
	require.Positive(t, s.receivingCount(), "requests that were read and wait for a handler")
	ctx, cancel := context.WithTimeoutCause(context.Background(), 200*time.Millisecond, errors.New("end of the stop"))
	defer cancel()
	waited := make(chan error, 1)
	go func() { waited <- s.Shutdown(ctx) }()
	<-ctx.Done()
	time.AfterFunc(time.Second, func() { close(release) })
	<-waited
	cut := 0
	for _, c := range clients {
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			cut++
		}
	}
	require.LessOrEqual(t, cut, int(entered.Load()), "only requests in progress are cut")
}
