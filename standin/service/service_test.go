package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/standin/fault"
)

func order(t *testing.T, address, key string) (int, error) {
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

// Each call is recorded, also one whose answer is lost, and a refused one is not.
func TestRecordsCountCalls(t *testing.T) {
	records := NewRecords()
	first, second := New(Options{Records: records}), New(Options{Records: records})
	a, b := httptest.NewServer(first), httptest.NewServer(second)
	defer a.Close()
	defer b.Close()
	for _, address := range []string{a.URL, b.URL} {
		status, err := order(t, address, "k")
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, status)
	}
	require.Equal(t, 2, first.Records("k"))
	require.Equal(t, []string{"k"}, records.Repeated())

	require.NoError(t, first.Inject(fault.Fault{Kind: fault.CloseAfterRecording}))
	_, err := order(t, a.URL, "lost")
	require.Error(t, err)
	require.Equal(t, 1, records.Records("lost"))

	require.NoError(t, first.Inject(fault.Fault{Kind: fault.RefuseBeforeRecording}))
	status, err := order(t, a.URL, "refused")
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, status)
	require.Zero(t, records.Records("refused"))
}
