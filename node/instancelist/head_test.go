package instancelist_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/instancelist"
)

// TestInvalidHeadIsNoList guards against a list that is taken from a response with an invalid field line or
// status, or not taken from a valid one.
func TestInvalidHeadIsNoList(t *testing.T) {
	list := func(status, line string) error {
		const body = `{"instances":[]}`
		address := fieldlinetest.Serve(t, "HTTP/1.1 "+status+"\r\nA: 1\r\n"+line+"Content-Length: 16\r\n\r\n"+body)
		l, err := instancelist.NewHTTP("http://"+address, nil)
		require.NoError(t, err)
		_, err = l.List(context.Background())
		return err
	}
	require.NoError(t, list("200 OK", fieldlinetest.Unusual))
	for fault, line := range fieldlinetest.Invalid {
		require.Error(t, list("200 OK", line), fault)
	}
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK"} {
		require.Error(t, list(status, ""), status)
	}
}
