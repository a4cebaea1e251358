package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/exchange"
)

const (
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	// maxRequests is the number of requests after which a connection is not reused.
	maxRequests = 512
)

func requestWithID(id string) *exchange.Request {
	req := getRequest("/")
	req.ID = id
	return req
}

// TestRepeatedRefusalIsNotTheNextResponse guards against a refusal that a replica writes once
// more when the same request is sent to it again: a connection carries a request only once.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	sends := make(chan int, 1)
	sends <- 0
	s := startServer(t, func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		refused := false
		for s.readHead(r) {
			n := <-sends + 1
			sends <- n
			if n == 1 || refused {
				refused = true
				_, _ = io.WriteString(c, refusalResponse)
			}
			if n > 1 {
				_, _ = io.WriteString(c, helloResponse)
			}
		}
	})
	c := newClient(t)
	req := requestWithID("a")
	resp, err := c.Do(context.Background(), s.address(), req)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.Status)
	require.Empty(t, readBody(t, resp))
	resp, err = c.Do(context.Background(), s.address(), req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.Equal(t, "hello", readBody(t, resp))
}

// TestRefusalsDoNotEndConnections guards against a new connection for each refusal: only the
// refused request itself must not be sent on the connection again.
func TestRefusalsDoNotEndConnections(t *testing.T) {
	s := startServer(t, respondAlways(refusalResponse))
	c := newClient(t)
	for n := range maxRequests + 1 {
		resp, err := c.Do(context.Background(), s.address(), requestWithID(strconv.Itoa(n)))
		require.NoError(t, err)
		require.Equal(t, n > 0 && n < maxRequests, resp.Reused, n)
		require.Empty(t, readBody(t, resp))
		<-s.heads
	}
	require.Len(t, s.accepted, 2)
}
