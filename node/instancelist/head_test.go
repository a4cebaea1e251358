package instancelist_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/instancelist"
)

// TestInvalidHeadIsNoList guards against a list that is taken from a response with an invalid field line or
// status, or not taken from a valid one, and against a connection that is used again after an invalid head.
func TestInvalidHeadIsNoList(t *testing.T) {
	const list = "Content-Length: 16\r\n\r\n{\"instances\":[]}"
	requireLists := func(valid bool, response string) {
		s := fieldlinetest.Serve(t, response)
		l, err := instancelist.NewHTTP("http://"+s.Address, nil)
		require.NoError(t, err)
		for range 2 {
			_, err = l.List(context.Background())
			require.Equal(t, valid, err == nil, response)
		}
		if !valid {
			require.Equal(t, 2, s.Connections(), response)
		}
	}
	requireLists(true, "HTTP/1.1 200 OK\r\n"+fieldlinetest.Unusual+list)
	for _, line := range fieldlinetest.Invalid {
		requireLists(false, "HTTP/1.1 200 OK\r\nA: 1\r\n"+line+list)
	}
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK"} {
		requireLists(false, "HTTP/1.1 "+status+"\r\n"+list)
		requireLists(false, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
	}
}
