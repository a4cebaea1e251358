package fieldlinetest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Serve starts a server that writes response to each request and closes the connection. It returns the
// server's address; the server runs until the test ends.
func Serve(t *testing.T, response string) (address string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, response)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
