package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryNewConnectionGetsItsResponse sends each request over a connection of its
// own, many concurrently, and checks that each gets its own response. When both sides
// close a connection at the same time, nbio may close a new connection that got the
// same file descriptor (see deferClose).
func TestEveryNewConnectionGetsItsResponse(t *testing.T) {
	const clients, requests = 32, 1500
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		body := r.URL.Query().Get("mark")
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body)
	})
	var missing, wrong atomic.Int64
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for j := range requests {
				mark := fmt.Sprintf("%d-%d", i, j)
				resp, err := c.Get("http://" + s.Addr() + "/?mark=" + mark)
				if err != nil {
					missing.Add(1)
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if string(body) != mark {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(t, wrong.Load(), "responses to another request")
	require.Zero(t, missing.Load(), "requests without a response")
}
