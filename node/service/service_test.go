package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
)

// closingServer answers the first request of each connection and closes the
// connection on the second one without an answer. It counts requests.
func closingServer(t *testing.T, answerFirst bool) (string, *atomic.Int64) {
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
			go serveClosing(conn, answerFirst, &count)
		}
	}()
	return ln.Addr().String(), &count
}

func serveClosing(conn net.Conn, answerFirst bool, count *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for first := answerFirst; ; first = false {
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

// TestNonIdempotentCallIsSentOnce guards against the transport's own resending:
// it treats a POST with an Idempotency-Key as repeatable.
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

// TestNonIdempotentCallAfterIdleConnection repeats it on a server that keeps
// the first connection open and closes it on its second request.
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

func TestNothingWrittenIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	_, err = New().Do(context.Background(), ln.Addr().String(), Call{Method: http.MethodPost, Path: "/orders"})
	var se *Error
	require.ErrorAs(t, err, &se)
	require.Equal(t, execution.NotRun, se.Execution)
}
