package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/node/caller"
)

// closingServer starts a server that closes each connection on its second request
// without a response. With respondFirst false, it does so on the first request. It
// returns its address and a count of the requests.
func closingServer(t *testing.T, respondFirst bool) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var count atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveClosingConn(conn, respondFirst, &count)
		}
	}()
	return ln.Addr().String(), &count
}

func serveClosingConn(conn net.Conn, respondFirst bool, count *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for first := respondFirst; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		count.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// The transport treats a POST with an Idempotency-Key as replayable and sends it again
// when the connection is closed. The client must prevent this.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("{}")} {
		address, count := closingServer(t, false)
		c := New()
		call := Call{Method: http.MethodPost, Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}, Body: body}
		_, err := c.Do(context.Background(), address, call)
		var se *Error
		require.ErrorAs(t, err, &se)
		require.Equal(t, execution.Unknown, se.Execution)
		require.EqualValues(t, 1, count.Load())
		c.Close()
	}
}

// The transport resends a request when a reused idle connection turns out to be
// closed. A non-idempotent call must not use one: here the server closes a connection
// on its second request.
func TestNonIdempotentCallAfterIdleConnection(t *testing.T) {
	address, count := closingServer(t, true)
	c := New()
	defer c.Close()
	call := Call{Method: http.MethodPost, Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}}
	for range 2 {
		_, err := c.Do(context.Background(), address, call)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, count.Load())
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	_, err = New().Do(context.Background(), ln.Addr().String(), Call{Method: http.MethodPost, Path: "/orders"})
	var se *Error
	require.ErrorAs(t, err, &se)
	require.Equal(t, execution.NotRun, se.Execution)
}

// TestCallOfClientThatLeftIsNotSent guards against calls that are sent on after their client has
// left, which the context tells only later.
func TestCallOfClientThatLeftIsNotSent(t *testing.T) {
	address, count := closingServer(t, true)
	c := New()
	defer c.Close()
	for _, idempotent := range []bool{true, false} {
		base, cancel := context.WithCancel(context.Background())
		ctx := caller.WithConnection(base, cancel)
		_, err := c.Do(ctx, address, Call{Method: "POST", Path: "/", Header: http.Header{}, Idempotent: idempotent})
		var failure *Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, execution.NotRun, failure.Execution)
	}
	require.Zero(t, count.Load())
}

// TestCallOfClientThatLeftDuringTheDialIsNotSent guards against calls that are sent on although their
// client left while the connection to the service was established.
func TestCallOfClientThatLeftDuringTheDialIsNotSent(t *testing.T) {
	address, count := closingServer(t, true)
	c := New()
	defer c.Close()
	for range 20 {
		var left atomic.Bool
		base, cancel := context.WithCancel(context.Background())
		ctx := caller.WithConnection(base, func() {
			if left.Load() {
				cancel()
			}
		})
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{ConnectDone: func(string, string, error) { left.Store(true) }})
		_, err := c.Do(ctx, address, Call{Method: "POST", Path: "/", Header: http.Header{}})
		require.ErrorIs(t, err, context.Canceled)
		cancel()
	}
	require.Zero(t, count.Load())
}
