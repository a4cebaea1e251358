package fieldline_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
)

// TestTransportChecksTLSConnections guards against a check of encrypted bytes, which would reject valid
// responses and accept invalid ones.
func TestTransportChecksTLSConnections(t *testing.T) {
	var line atomic.Value
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: 1\r\n"+line.Load().(string)+"Content-Length: 2\r\n\r\nok")
	}))
	defer s.Close()
	tr := fieldline.NewTransport(s.Client().Transport.(*http.Transport).Clone())
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	for range 2 {
		line.Store(fieldlinetest.Unusual)
		resp, err := client.Get(s.URL)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, "ok", string(body))
		for _, invalid := range fieldlinetest.Invalid {
			line.Store(invalid)
			_, err = client.Get(s.URL)
			require.ErrorIs(t, err, fieldline.ErrInvalid)
		}
	}
}

// TestTransportKeepsHTTP2 guards against a server that is no longer offered HTTP/2, or cannot be used with it,
// because its connections are checked.
func TestTransportKeepsHTTP2(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	tr := fieldline.NewTransport(s.Client().Transport.(*http.Transport).Clone())
	defer tr.CloseIdleConnections()
	for range 2 {
		resp, err := (&http.Client{Transport: tr}).Get(s.URL)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, 2, resp.ProtoMajor)
	}
}
