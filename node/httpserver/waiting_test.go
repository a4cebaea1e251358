package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopCutsARequestThatWaitsForItsHandler guards against a request that was read whole and is closed
// without an answer by a stop, because all handlers were taken.
func TestStopCutsARequestThatWaitsForItsHandler(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	release := make(chan struct{})
	var entered atomic.Int32
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, MaxConnections: 100, MaxRequests: 5, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entered.Add(1)
			<-release
			_, _ = io.WriteString(w, "ok")
		}),
		ServerErrorBody: func(status int) []byte { return fmt.Appendf(nil, "%d", status) },
	})
	require.NoError(t, err)
	clients := []io.Reader{}
	for range 10 {
		clients = append(clients, dialAndSend(t, s, request))
	}
	require.Eventually(t, func() bool { return s.receivingCount()+int(entered.Load()) == len(clients) && entered.Load() > 0 }, 10*time.Second, time.Millisecond)
	require.Positive(t, s.receivingCount(), "requests that were read and wait for a handler")
	ctx, cancel := context.WithTimeoutCause(context.Background(), 200*time.Millisecond, errors.New("end of the stop"))
	defer cancel()
	waited := make(chan error, 1)
	go func() { waited <- s.Shutdown(ctx) }()
	<-ctx.Done()
	time.AfterFunc(time.Second, func() { close(release) })
	require.Error(t, <-waited, "requests are still in progress")
	cut := 0
	for _, c := range clients {
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			cut++
		}
	}
	require.LessOrEqual(t, cut, int(entered.Load()), "only requests in progress are cut")
}
