package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"masticbank.example/node/caller"
	"masticbank.example/node/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is the maximum wait for an expected condition.
const waitTimeout = 20 * time.Second

// scriptedServer runs a script on each connection. heads receives the heads of the
// requests that it has read.
type scriptedServer struct {
	listener net.Listener
	accepted chan net.Conn
	heads    chan string
	// closed receives a value after each connection was closed.
	closed chan struct{}
}

// startServer starts a server that runs script on each connection.
func startServer(t *testing.T, script func(s *scriptedServer, c net.Conn, r *bufio.Reader)) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{listener: l, accepted: make(chan net.Conn, 16), heads: make(chan string, 16), closed: make(chan struct{}, 64)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- c
			go func() {
				script(s, c, bufio.NewReader(c))
				_ = c.Close()
				s.closed <- struct{}{}
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return s
}

// readHead reads the head of a request. It returns false if the connection ended.
func (s *scriptedServer) readHead(r *bufio.Reader) bool {
	var text string
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			s.heads <- text
			return true
		}
		text += line
	}
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func newClient(t *testing.T) *exchange.Client {
	c := exchange.New(exchange.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, IdlePerAddress: 4, UnackedTimeout: time.Second})
	t.Cleanup(c.Close)
	return c
}

func getRequest(target string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, Target: target, Host: "h.example", Header: http.Header{"X-A": {"1"}}}
}

func readBody(t *testing.T, r *exchange.Response) string {
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	r.Close()
	return string(data)
}

const helloResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// respondAlways returns a script that sends the same response to every request.
func respondAlways(response string) func(*scriptedServer, net.Conn, *bufio.Reader) {
	return func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		for s.readHead(r) {
			_, _ = io.WriteString(c, response)
		}
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := startServer(t, respondAlways(helloResponse))
	c := newClient(t)
	for i := range 3 {
		resp, err := c.Do(context.Background(), s.address(), getRequest("http://x//a?b=%2F"))
		require.NoError(t, err)
		require.Equal(t, i > 0, resp.Reused)
		require.Equal(t, "hello", readBody(t, resp))
		require.Equal(t, "GET http://x//a?b=%2F HTTP/1.1\r\nHost: h.example\r\nX-A: 1\r\n", <-s.heads)
	}
	require.Len(t, s.accepted, 1)
}

// TestExtraBytesAreNotTheNextResponse guards against bytes after a response that are taken
// for the response to the next request: the connection must not be reused.
func TestExtraBytesAreNotTheNextResponse(t *testing.T) {
	s := startServer(t, respondAlways(helloResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"))
	c := newClient(t)
	for range 3 {
		resp, err := c.Do(context.Background(), s.address(), getRequest("/"))
		require.NoError(t, err)
		require.False(t, resp.Reused)
		require.Equal(t, "hello", readBody(t, resp))
	}
}

func TestClosedIdleConnectionsAreNotReused(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		if s.readHead(r) {
			_, _ = io.WriteString(c, helloResponse)
		}
	})
	c := newClient(t)
	for range 3 {
		resp, err := c.Do(context.Background(), s.address(), getRequest("/"))
		require.NoError(t, err)
		require.Equal(t, "hello", readBody(t, resp))
		<-s.accepted
		<-s.closed
	}
}

func TestTruncatedResponsesAreErrors(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		if s.readHead(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
		}
	})
	resp, err := newClient(t).Do(context.Background(), s.address(), getRequest("/"))
	require.NoError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestErrorsReportWhetherTheRequestWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unusedAddress := l.Addr().String()
	require.NoError(t, l.Close())
	var ee *exchange.Error
	_, err = newClient(t).Do(context.Background(), unusedAddress, getRequest("/"))
	require.ErrorAs(t, err, &ee)
	require.False(t, ee.Sent)

	s := startServer(t, func(s *scriptedServer, _ net.Conn, r *bufio.Reader) { s.readHead(r) })
	_, err = newClient(t).Do(context.Background(), s.address(), getRequest("/"))
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Sent)

	garbage := startServer(t, respondAlways("no answer at all\r\n\r\n"))
	_, err = newClient(t).Do(context.Background(), garbage.address(), getRequest("/"))
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Sent)
}

// TestCancelledRequestClosesTheConnection guards against a replica that keeps running a
// cancelled request: cancelling it must close the connection to the replica.
func TestCancelledRequestClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	s := startServer(t, func(s *scriptedServer, _ net.Conn, r *bufio.Reader) {
		s.readHead(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.heads
		cancel()
	}()
	_, err := newClient(t).Do(ctx, s.address(), getRequest("/"))
	var ee *exchange.Error
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Sent)
	require.True(t, ee.Timeout)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		require.Fail(t, "the connection was not closed")
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	s := startServer(t, respondAlways("HTTP/1.1 100 Continue\r\n\r\n"+helloResponse))
	resp, err := newClient(t).Do(context.Background(), s.address(), getRequest("/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.Equal(t, "hello", readBody(t, resp))
}

// TestEndedRequestIsNotSent guards against a request that is sent on an idle connection after its
// context has ended.
func TestEndedRequestIsNotSent(t *testing.T) {
	s := startServer(t, respondAlways(helloResponse))
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		resp, err := c.Do(context.Background(), s.address(), getRequest("/live"))
		require.NoError(t, err)
		require.Equal(t, "hello", readBody(t, resp))
		require.Contains(t, <-s.heads, "/live")
		_, err = c.Do(ctx, s.address(), getRequest("/ended"))
		var ee *exchange.Error
		require.ErrorAs(t, err, &ee)
		require.False(t, ee.Sent)
		require.True(t, ee.Withheld)
		require.True(t, ee.Timeout)
	}
	// A request that was sent all the same may still be on its way.
	resp, err := c.Do(context.Background(), s.address(), getRequest("/live"))
	require.NoError(t, err)
	resp.Close()
	require.Contains(t, <-s.heads, "/live")
	require.Empty(t, s.heads)
}

// TestRequestThatFailsItsCheckIsNotSent guards against a request that is sent although its replica
// changed while it waited for a connection. The connection is used again.
func TestRequestThatFailsItsCheckIsNotSent(t *testing.T) {
	s := startServer(t, respondAlways(helloResponse))
	c := newClient(t)
	refused := errors.New("refused")
	r := getRequest("/refused")
	r.BeforeSend = func() error { return refused }
	for range 3 {
		resp, err := c.Do(context.Background(), s.address(), getRequest("/sent"))
		require.NoError(t, err)
		require.Equal(t, "hello", readBody(t, resp))
		require.Contains(t, <-s.heads, "/sent")
		_, err = c.Do(context.Background(), s.address(), r)
		var ee *exchange.Error
		require.ErrorAs(t, err, &ee)
		require.ErrorIs(t, err, refused)
		require.True(t, ee.Withheld)
		require.False(t, ee.Sent)
	}
	require.Empty(t, s.heads)
	require.Len(t, s.accepted, 1)
}

// TestCallerIsAskedLast guards against a request that is sent although its caller left while its
// replica was checked.
func TestCallerIsAskedLast(t *testing.T) {
	s := startServer(t, respondAlways(helloResponse))
	left := false
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx := caller.WithConnection(base, func() {
		if left {
			cancel()
		}
	})
	r := getRequest("/")
	r.BeforeSend = func() error { left = true; return nil }
	_, err := newClient(t).Do(ctx, s.address(), r)
	var ee *exchange.Error
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Withheld)
	require.Empty(t, s.heads)
}

// TestCancelledRequestIsNotDelivered guards against bytes that stay in the send buffer and reach the
// replica after the request was cancelled: only a reset discards them.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	ended := make(chan error, 1)
	s := startServer(t, func(s *scriptedServer, _ net.Conn, r *bufio.Reader) {
		s.readHead(r)
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.heads
		cancel()
	}()
	_, err := newClient(t).Do(ctx, s.address(), getRequest("/"))
	require.Error(t, err)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
