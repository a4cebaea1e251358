package service_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/service"
)

// TestInvalidFieldLineIsNoResponse guards against a response with an invalid field line, or one after
// such an interim response, that is passed on.
func TestInvalidFieldLineIsNoResponse(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for fault, line := range fieldlinetest.Invalid {
		for _, idempotent := range []bool{true, false} {
			for kind, head := range map[string]string{
				"success": "HTTP/1.1 200 OK\r\nA: 1\r\n" + line + "Content-Length: 0\r\n\r\n",
				"refusal": "HTTP/1.1 503 Service Unavailable\r\nA: 1\r\n" + line + "Content-Length: 2\r\n\r\n{}",
				"interim": "HTTP/1.1 103 Early Hints\r\nA: 1\r\n" + line + "\r\n" + valid,
			} {
				t.Run(fmt.Sprint(fault, " ", kind, " idempotent=", idempotent), func(t *testing.T) {
					requireNoResponse(t, head, idempotent, fieldline.ErrInvalid)
				})
			}
		}
	}
}

// TestInvalidFieldLineOfALaterResponse guards against a check of the first response of a connection only.
func TestInvalidFieldLineOfALaterResponse(t *testing.T) {
	for fault, line := range fieldlinetest.Invalid {
		t.Run(fault, func(t *testing.T) {
			s, address := startOddServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na b")
			c := service.New()
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			call := service.Call{Method: "GET", Path: "/", Header: http.Header{}, Idempotent: true}
			resp, err := c.Do(ctx, address, call)
			require.NoError(t, err)
			require.Equal(t, "a b", string(resp.Body))
			s.setHead("HTTP/1.1 200 OK\r\nA: 1\r\n" + line + "Content-Length: 0\r\n\r\n")
			_, err = c.Do(ctx, address, call)
			require.ErrorIs(t, err, fieldline.ErrInvalid)
			require.EqualValues(t, 2, s.request.Load())
			require.EqualValues(t, 1, s.connected.Load())
		})
	}
}

// TestUnusualFieldLinesArePassedOn guards against valid field lines that are taken for invalid ones.
func TestUnusualFieldLinesArePassedOn(t *testing.T) {
	_, address := startOddServer(t, "HTTP/1.1 103 Early Hints\r\n"+fieldlinetest.Unusual+
		"\r\nHTTP/1.1 200 OK\r\n"+fieldlinetest.Unusual+"Content-Length: 2\r\n\r\n: ")
	c := service.New()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.Do(ctx, address, service.Call{Method: "GET", Path: "/", Header: http.Header{}, Idempotent: true})
	require.NoError(t, err)
	require.Equal(t, ": ", string(resp.Body))
	for name, value := range fieldlinetest.UnusualValues {
		require.Equal(t, []string{value}, resp.Header.Values(name), name)
	}
}
