package service_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/service"
)

// TestInvalidFieldLineIsNoResponse guards against a response with an invalid field line, or one after
// such an interim response, that is passed on. The call may have run, is sent once, and its connection
// must not be used again.
func TestInvalidFieldLineIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for fault, line := range fieldlinetest.Invalid {
		for _, idempotent := range []bool{true, false} {
			for kind, head := range map[string]string{
				"success": "HTTP/1.1 200 OK\r\nA: 1\r\n" + line + "Content-Length: 0\r\n\r\n",
				"refusal": "HTTP/1.1 503 Service Unavailable\r\nA: 1\r\n" + line + "Content-Length: 2\r\n\r\n{}",
				"interim": "HTTP/1.1 103 Early Hints\r\nA: 1\r\n" + line + "\r\n" + sound,
			} {
				t.Run(fmt.Sprint(fault, " ", kind, " idempotent=", idempotent), func(t *testing.T) {
					s, address := startOddServer(t, head)
					c := service.New()
					defer c.Close()
					ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
					defer cancel()
					call := service.Call{Method: "POST", Path: "/", Header: http.Header{}, Idempotent: idempotent}
					_, err := c.Do(ctx, address, call)
					var failure *service.Error
					require.ErrorAs(t, err, &failure)
					require.ErrorIs(t, err, fieldline.ErrInvalid)
					require.Equal(t, execution.Unknown, failure.Execution)
					require.EqualValues(t, 1, s.request.Load())
					resp, err := c.Do(ctx, address, call)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.Status)
					require.EqualValues(t, 2, s.connected.Load())
				})
			}
		}
	}
}

// TestInvalidFieldLineOfALaterResponse guards against responses that are checked only until the first
// one on a connection.
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
