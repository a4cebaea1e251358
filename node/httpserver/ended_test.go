package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startReporting starts a server that reports the ends of its connections.
func startReporting(t *testing.T, h http.HandlerFunc) (*Server, chan ConnectionEnd) {
	t.Helper()
	ends := make(chan ConnectionEnd, 10*maxEndsReported)
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, MaxConnections: 1000, MaxRequests: 1000, IdleTimeout: time.Minute, Handler: h,
		ServerErrorBody: func(status int) []byte { return fmt.Appendf(nil, "%d", status) },
		OnConnectionEnd: func(e ConnectionEnd) { ends <- e },
	})
	require.NoError(t, err)
	return s, ends
}

func dialAndSend(t *testing.T, s *Server, request string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	return c
}

// TestEndOfAConnectionIsNotExplained guards against a connection that ends with a request on it while
// nothing tells who closed it.
func TestEndOfAConnectionIsNotExplained(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	entered := make(chan struct{}, 1)
	s, ends := startReporting(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			entered <- struct{}{}
			<-r.Context().Done()
		case "/abort":
			Abort(w)
		default:
			_, _ = io.WriteString(w, "ok")
		}
	})
	answered := dialAndSend(t, s, request)
	_, err := http.ReadResponse(bufio.NewReader(answered), nil)
	require.NoError(t, err)

	_ = dialAndSend(t, s, "GET /abort HTTP/1.1\r\nHost: a\r\n\r\n")
	end := <-ends
	require.Equal(t, "abort", end.ClosedBy)
	require.ErrorIs(t, end.Cause, errAborted)
	require.True(t, end.InProgress)
	require.False(t, end.ClientEnded)
	require.Equal(t, 1, end.Requests)

	left := dialAndSend(t, s, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	require.NoError(t, left.Close())
	end = <-ends
	require.Equal(t, closedByClient, end.ClosedBy)
	require.True(t, end.InProgress)
	require.True(t, end.ClientEnded)

	half := dialAndSend(t, s, request[:10])
	require.Eventually(t, func() bool { return s.receivingCount() == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, half.Close())
	end = <-ends
	require.Equal(t, closedByClient, end.ClosedBy)
	require.True(t, end.InProgress)
	require.Zero(t, end.Requests)

	_ = dialAndSend(t, s, "\x00 no request\r\n\r\n")
	require.Equal(t, "malformed", (<-ends).ClosedBy)

	require.NoError(t, s.Shutdown(context.Background()))
	require.Empty(t, ends)
}

// TestEndsOfConnectionsFloodTheLog guards against a line for each connection that a client closes
// after its response, and for each of very many.
func TestEndsOfConnectionsFloodTheLog(t *testing.T) {
	s := &Server{opts: Options{OnConnectionEnd: func(ConnectionEnd) {}}}
	now := time.Now()
	served := &connState{requests: 1, idleSince: now, readAt: now, openedAt: now}
	_, reported := s.connectionEndLocked(served, io.EOF, now)
	require.False(t, reported, "closed by the client after the response")
	_, reported = s.connectionEndLocked(served, errIdle, now.Add(2*recentRequest))
	require.False(t, reported, "closed here a long time after the response")
	reports := 0
	for range 3 * maxEndsReported {
		if _, reported := s.connectionEndLocked(served, errDrained, now); reported {
			reports++
		}
	}
	require.Equal(t, maxEndsReported, reports)
	end, reported := s.connectionEndLocked(served, errDrained, now.Add(endReportPeriod))
	require.True(t, reported)
	require.Equal(t, 2*maxEndsReported, end.Omitted)
}

func TestCloserIsKnownByTheError(t *testing.T) {
	for by, err := range map[string]error{
		"idle": errIdle, "drain": errDrained, "abort": errAborted, "connection_close": errAnnouncedClose, "memory": errOutOfMemory,
		"client_left": errClientLeft, "stall": errClientStalled, "malformed": errMalformed(errors.New("no HTTP")),
		closedByClient: syscall.ECONNRESET, closedByWrite: syscall.EPIPE, closedByResponse: nil,
	} {
		require.Equal(t, by, closedBy(err, false))
	}
	require.Equal(t, closedByShutdown, closedBy(nil, true))
}

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
