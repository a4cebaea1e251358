package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWaitForHandlerCountsAsTimeOfTheRequest guards against times that are counted from the start of
// the handler, although the request was read before and had to wait.
func TestWaitForHandlerCountsAsTimeOfTheRequest(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	read := make(chan time.Time, 2)
	s := start(t, func(_ http.ResponseWriter, r *http.Request) {
		at, ok := ReadAt(r.Context())
		if !ok {
			t.Error("no time")
		}
		read <- at
		entered <- struct{}{}
		<-release
	})
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	<-entered
	first := <-read
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.receivingCount() == 1 }, time.Minute, time.Millisecond)
	released := time.Now()
	close(release)
	second := <-read
	require.True(t, second.After(first))
	require.False(t, second.After(released))
}

// TestLateChecksAreReported guards against a process that gets the processor late and doesn't
// tell.
func TestLateChecksAreReported(t *testing.T) {
	var reported []time.Duration
	s := &Server{opts: Options{ClosedCheckPeriod: time.Second, OnDelay: func(d time.Duration) { reported = append(reported, d) }}}
	s.reportDelay(time.Now())
	require.Empty(t, reported)
	s.reportDelay(time.Now().Add(-time.Hour))
	require.Len(t, reported, 1)
	require.GreaterOrEqual(t, reported[0], time.Hour-time.Second)
}

// TestWorkGoesOnForAClientThatHasClosed guards against work for a client that has closed its
// connection, of which the end of its bytes is the only sign: a client that closes one direction only
// counts as gone. One periodic check ends the request, and checks are frequent enough.
func TestWorkGoesOnForAClientThatHasClosed(t *testing.T) {
	const limit = 500 * time.Millisecond // in which work for it must end
	require.LessOrEqual(t, 2*defaultCheckPeriod, limit)
	entered, release := make(chan context.Context), make(chan struct{})
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, MaxConnections: 10, MaxRequests: 10, IdleTimeout: time.Hour,
		ClosedCheckPeriod: time.Hour,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			entered <- r.Context()
			<-release
		}),
		ServerErrorBody: func(int) []byte { return nil },
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	c := dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	ctx := <-entered
	require.NoError(t, ctx.Err())
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	data, err := io.ReadAll(c) // ends once the poller has closed the connection
	require.NoError(t, err)
	require.Empty(t, data)
	s.cancelClosed()
	require.Error(t, ctx.Err())
	close(release)
}
