package httpserver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestAfterTheLookIsPassedOnAndCut guards against a request that arrives between the look
// whether its connection is unused and the close, is passed on, and gets no answer.
func TestRequestAfterTheLookIsPassedOnAndCut(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, closeIt := range map[string]func(*Server){
		"drain": (*Server).closeIdleConnections,
		"idle":  func(s *Server) { s.closeExpiredConnections(time.Now().Add(2 * s.opts.IdleTimeout)) },
		"connection close": func(s *Server) {
			for c := range s.openConnections() {
				s.closeAnnounced(c)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			passedOn := make(chan struct{}, 1)
			var second atomic.Bool
			s := start(t, func(w http.ResponseWriter, r *http.Request) {
				if second.Load() {
					passedOn <- struct{}{}
					<-r.Context().Done()
				}
				_, _ = io.WriteString(w, "ok")
			})
			defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
			client := dialAndSend(t, s, request)
			_, err := http.ReadResponse(bufio.NewReader(client), nil)
			require.NoError(t, err)
			second.Store(true)
			wasPassedOn := false
			s.beforeClose = func() {
				_, _ = io.WriteString(client, request)
				select {
				case <-passedOn:
					wasPassedOn = true
				case <-time.After(200 * time.Millisecond): // nothing is to come
				}
			}
			require.Eventually(t, func() bool {
				closeIt(s)
				return len(s.openConnections()) == 0
			}, 10*time.Second, time.Millisecond)
			require.False(t, wasPassedOn)
			require.Empty(t, passedOn)
		})
	}
}
