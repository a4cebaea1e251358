package weights

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
)

// TestStoreLimitsLoads checks that the store sends whole layers and refuses a load over
// the maximum number of concurrent loads.
func TestStoreLimitsLoads(t *testing.T) {
	const perLayer = 1000
	s := New(Options{MaxConcurrent: 1, BytesPerLayer: perLayer})
	server := httptest.NewServer(s)
	defer server.Close()
	get := func() (int, int) {
		response, err := http.Get(server.URL + wire.PathWeights + "?model=m&version=1&first=2&last=4")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, len(body)
	}
	status, size := get()
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 3*perLayer, size)
	require.True(t, s.acquire())
	status, _ = get()
	require.Equal(t, http.StatusTooManyRequests, status)
	require.Equal(t, Counts{Loads: 2, Refused: 1, Peak: 1}, s.Counts())
}
