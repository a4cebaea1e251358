package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/exchange"
)

// TestConnectionClosedBeforeTheSendIsNotUsed guards against a request that is sent on a connection
// which its replica closed after it was taken from the pool: it counts as sent, and one that must not
// run twice is lost.
func TestConnectionClosedBeforeTheSendIsNotUsed(t *testing.T) {
	for name, withhold := range map[string]bool{"after a request": false, "without a request": true} {
		t.Run(name, func(t *testing.T) {
			closeFirst := make(chan struct{})
			s := startServer(t, func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
				if len(s.accepted) == 1 && withhold {
					<-closeFirst
					return
				}
				for s.readHead(r) {
					_, _ = io.WriteString(c, helloResponse)
					if len(s.accepted) == 1 {
						<-closeFirst
						return
					}
				}
			})
			c := newClient(t)
			fillPool(t, c, s, withhold)
			r := getRequest("/")
			checks := 0
			r.BeforeSend = func() error {
				if checks++; checks == 1 {
					close(closeFirst)
					<-s.closed
				}
				return nil
			}
			resp, err := c.Do(context.Background(), s.address(), r)
			require.NoError(t, err)
			require.False(t, resp.Reused)
			require.Equal(t, "hello", readBody(t, resp))
			require.Equal(t, 2, checks, "checked again for the new connection")
			require.Len(t, s.accepted, 2)
		})
	}
}

// fillPool leaves one idle connection in the pool, on which a request was answered, or none was sent
// if withhold is set.
func fillPool(t *testing.T, c *exchange.Client, s *scriptedServer, withhold bool) {
	r := getRequest("/first")
	if withhold {
		r.BeforeSend = func() error { return io.ErrNoProgress }
		_, err := c.Do(context.Background(), s.address(), r)
		require.ErrorIs(t, err, io.ErrNoProgress)
		return
	}
	resp, err := c.Do(context.Background(), s.address(), r)
	require.NoError(t, err)
	require.Equal(t, "hello", readBody(t, resp))
}

// TestLateCancellationEndsTheNextRequest guards against the end of a request's context that sets the
// deadline of its connection once the next request is on it.
func TestLateCancellationEndsTheNextRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()
	c := newClient(t)
	for range 2000 {
		ctx, cancel := context.WithCancel(context.Background())
		resp, err := c.Do(ctx, address, getRequest("/cancelled"))
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "hello", string(data))
		go cancel()
		resp.Close()
		resp, err = c.Do(context.Background(), address, getRequest("/next"))
		require.NoError(t, err)
		require.Equal(t, "hello", readBody(t, resp))
		<-ctx.Done()
	}
}
