package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"masticbank.example/node/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds waits for what is to happen.
const patience = 20 * time.Second

// server answers each connection by a script.
type server struct {
	listener net.Listener
	accepted chan net.Conn
	heads    chan string
}

// serve runs script for each connection; it returns the address.
func serve(t *testing.T, script func(s *server, c net.Conn, r *bufio.Reader)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{listener: l, accepted: make(chan net.Conn, 16), heads: make(chan string, 16)}
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
				defer c.Close()
				script(s, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return s
}

// head reads the head of a request.
func (s *server) head(r *bufio.Reader) bool {
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

func (s *server) address() string { return s.listener.Addr().String() }

func client(t *testing.T) *exchange.Client {
	c := exchange.New(exchange.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, IdlePerAddress: 4, UnackedTimeout: time.Second})
	t.Cleanup(c.Close)
	return c
}

func get(target string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, Target: target, Host: "h.example", Header: http.Header{"X-A": {"1"}}}
}

func body(t *testing.T, r *exchange.Response) string {
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	r.Close()
	return string(data)
}

const hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func always(answer string) func(*server, net.Conn, *bufio.Reader) {
	return func(s *server, c net.Conn, r *bufio.Reader) {
		for s.head(r) {
			_, _ = io.WriteString(c, answer)
		}
	}
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	s := serve(t, always(hello))
	c := client(t)
	for i := range 3 {
		resp, err := c.Do(context.Background(), s.address(), get("http://x//a?b=%2F"))
		require.NoError(t, err)
		require.Equal(t, i > 0, resp.Reused)
		require.Equal(t, "hello", body(t, resp))
		require.Equal(t, "GET http://x//a?b=%2F HTTP/1.1\r\nHost: h.example\r\nX-A: 1\r\n", <-s.heads)
	}
	require.Len(t, s.accepted, 1)
}

// TestExtraBytesAreNotTheNextAnswer sends a second answer after the first: the
// connection must not be used again.
func TestExtraBytesAreNotTheNextAnswer(t *testing.T) {
	s := serve(t, always(hello+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"))
	c := client(t)
	for range 3 {
		resp, err := c.Do(context.Background(), s.address(), get("/"))
		require.NoError(t, err)
		require.False(t, resp.Reused)
		require.Equal(t, "hello", body(t, resp))
	}
}

func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	s := serve(t, func(s *server, c net.Conn, r *bufio.Reader) {
		if s.head(r) {
			_, _ = io.WriteString(c, hello)
		}
	})
	c := client(t)
	for range 3 {
		resp, err := c.Do(context.Background(), s.address(), get("/"))
		require.NoError(t, err)
		require.Equal(t, "hello", body(t, resp))
		conn := <-s.accepted
		require.Eventually(t, func() bool {
			// A read of a connection that was closed here fails.
			_, err := conn.Write(nil)
			return errors.Is(err, net.ErrClosed)
		}, patience, time.Millisecond)
	}
}

func TestTruncatedAnswersAreErrors(t *testing.T) {
	s := serve(t, func(s *server, c net.Conn, r *bufio.Reader) {
		if s.head(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
		}
	})
	resp, err := client(t).Do(context.Background(), s.address(), get("/"))
	require.NoError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestErrorsTellWhetherTheRequestWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free := l.Addr().String()
	require.NoError(t, l.Close())
	var ee *exchange.Error
	_, err = client(t).Do(context.Background(), free, get("/"))
	require.ErrorAs(t, err, &ee)
	require.False(t, ee.Sent)

	s := serve(t, func(s *server, _ net.Conn, r *bufio.Reader) { s.head(r) })
	_, err = client(t).Do(context.Background(), s.address(), get("/"))
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Sent)

	garbage := serve(t, always("no answer at all\r\n\r\n"))
	_, err = client(t).Do(context.Background(), garbage.address(), get("/"))
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Sent)
}

// TestLeavingCallerEndsTheRun cancels a request: the replica must see its
// connection end.
func TestLeavingCallerEndsTheRun(t *testing.T) {
	ended := make(chan struct{})
	s := serve(t, func(s *server, _ net.Conn, r *bufio.Reader) {
		s.head(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.heads
		cancel()
	}()
	_, err := client(t).Do(ctx, s.address(), get("/"))
	var ee *exchange.Error
	require.ErrorAs(t, err, &ee)
	require.True(t, ee.Sent)
	require.True(t, ee.Timeout)
	select {
	case <-ended:
	case <-time.After(patience):
		require.Fail(t, "the connection stays open")
	}
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	s := serve(t, always("HTTP/1.1 100 Continue\r\n\r\n"+hello))
	resp, err := client(t).Do(context.Background(), s.address(), get("/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.Equal(t, "hello", body(t, resp))
}
