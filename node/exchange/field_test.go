package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/exchange"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
)

// fieldHeads returns the starts of responses with the given field lines in a final head, as success and
// as refusal, and in an interim one.
func fieldHeads(lines string) map[string]string {
	return map[string]string{
		"success": "HTTP/1.1 200 OK\r\nA: 1\r\n" + lines + "Content-Length: 5\r\n\r\n",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + lines + "Content-Length: 5\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nA: 1\r\n" + lines + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	}
}

// respondInTurn returns a script that sends one response to each request, over all connections.
func respondInTurn(responses ...string) func(*scriptedServer, net.Conn, *bufio.Reader) {
	next := make(chan string, len(responses))
	for _, r := range responses {
		next <- r
	}
	return func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		for s.readHead(r) {
			_, _ = io.WriteString(c, <-next)
		}
	}
}

// TestInvalidFieldLineIsNoResponse guards against a head with an invalid field line that is taken for a
// response or for an interim one. The request may have run, and the connection must not be used again.
func TestInvalidFieldLineIsNoResponse(t *testing.T) {
	for fault, line := range fieldlinetest.Invalid {
		for kind, head := range fieldHeads(line) {
			t.Run(fault+" "+kind, func(t *testing.T) {
				s := startServer(t, respondInTurn(helloResponse, head+"wrong", helloResponse))
				c := newClient(t)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				resp, err := c.Do(ctx, s.address(), requestWithID("a"))
				require.NoError(t, err)
				require.Equal(t, "hello", readBody(t, resp))
				_, err = c.Do(ctx, s.address(), requestWithID("b"))
				var failure *exchange.Error
				require.ErrorAs(t, err, &failure)
				require.ErrorIs(t, err, fieldline.ErrInvalid)
				require.True(t, failure.Sent)
				require.False(t, failure.Timeout)
				resp, err = c.Do(ctx, s.address(), requestWithID("c"))
				require.NoError(t, err)
				require.False(t, resp.Reused)
				require.Equal(t, "hello", readBody(t, resp))
				require.Len(t, s.accepted, 2)
			})
		}
	}
}

// TestUnusualFieldLinesArePassedOn guards against valid field lines that are taken for invalid ones.
func TestUnusualFieldLinesArePassedOn(t *testing.T) {
	heads := fieldHeads(fieldlinetest.Unusual)
	s := startServer(t, respondInTurn(heads["success"]+"hello", heads["refusal"]+"hello", heads["interim"]+"hello"))
	c := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for i, kind := range []string{"success", "refusal", "interim"} {
		resp, err := c.Do(ctx, s.address(), requestWithID(kind))
		require.NoError(t, err, kind)
		require.Equal(t, i > 0, resp.Reused, kind)
		if kind != "interim" {
			for name, value := range fieldlinetest.UnusualValues {
				require.Equal(t, []string{value}, resp.Header.Values(name), name)
			}
		}
		require.Equal(t, "hello", readBody(t, resp), kind)
	}
}
