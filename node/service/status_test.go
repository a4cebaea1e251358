package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/node/service"
	"masticbank.example/node/statusline"
)

// callTimeout is the maximum time of a call.
const callTimeout = 20 * time.Second

// oddServer responds to its first request, and to the first one after each setHead, with the given bytes,
// to others with 200. It counts connections and requests.
type oddServer struct {
	head               atomic.Pointer[string]
	connected, request atomic.Int64
}

func (s *oddServer) setHead(head string) { s.head.Store(&head) }

func startOddServer(t *testing.T, head string) (*oddServer, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &oddServer{}
	s.setHead(head)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connected.Add(1)
			go s.serve(c)
		}
	}()
	return s, l.Addr().String()
}

func (s *oddServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		s.request.Add(1)
		if odd := s.head.Swap(nil); odd != nil {
			head = *odd
		}
		_, _ = io.WriteString(c, head)
	}
}

// requireNoResponse requires that a call whose response has the given head may have run, is sent once, and
// that its connection is not used again.
func requireNoResponse(t *testing.T, head string, idempotent bool, cause error) {
	s, address := startOddServer(t, head)
	c := service.New()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := service.Call{Method: "POST", Path: "/", Header: http.Header{}, Idempotent: idempotent}
	_, err := c.Do(ctx, address, call)
	var failure *service.Error
	require.ErrorAs(t, err, &failure)
	require.ErrorIs(t, err, cause)
	require.Equal(t, execution.Unknown, failure.Execution)
	require.EqualValues(t, 1, s.request.Load())
	resp, err := c.Do(ctx, address, call)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.EqualValues(t, 2, s.connected.Load())
}

// TestInvalidStatusIsNoResponse guards against a response whose status is none that is passed on.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(status, " idempotent=", idempotent), func(t *testing.T) {
				requireNoResponse(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n", idempotent, statusline.ErrInvalid)
			})
		}
	}
}
