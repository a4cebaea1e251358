package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/standin/fault"
)

func postOrder(t *testing.T, address, key string) (int, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, address+"/orders", strings.NewReader("wood"))
	require.NoError(t, err)
	r.Header.Set(KeyHeader, key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// TestRecordsCountCalls checks that each call is recorded, including one whose response
// is lost, and that a refused call is not.
func TestRecordsCountCalls(t *testing.T) {
	records := NewRecords()
	first, second := New(Options{Records: records}), New(Options{Records: records})
	a, b := httptest.NewServer(first), httptest.NewServer(second)
	defer a.Close()
	defer b.Close()
	for _, address := range []string{a.URL, b.URL} {
		status, err := postOrder(t, address, "k")
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, status)
	}
	require.Equal(t, 2, first.OrderCount("k"))
	require.Equal(t, []string{"k"}, records.RepeatedKeys())

	require.NoError(t, first.Inject(fault.Fault{Kind: fault.CloseAfterRecording}))
	_, err := postOrder(t, a.URL, "lost")
	require.Error(t, err)
	require.Equal(t, 1, records.Count("lost"))

	require.NoError(t, first.Inject(fault.Fault{Kind: fault.RefuseBeforeRecording}))
	status, err := postOrder(t, a.URL, "refused")
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, status)
	require.Zero(t, records.Count("refused"))
}
