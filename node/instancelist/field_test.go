package instancelist_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/fieldline/fieldlinetest"
	"masticbank.example/node/instancelist"
)

// TestInvalidFieldLineIsNoList guards against a list that is taken from a response with an invalid field
// line, or not taken from a valid one.
func TestInvalidFieldLineIsNoList(t *testing.T) {
	list := func(line string) error {
		const body = `{"instances":[]}`
		address := fieldlinetest.Serve(t, "HTTP/1.1 200 OK\r\nA: 1\r\n"+line+"Content-Length: 16\r\n\r\n"+body)
		l, err := instancelist.NewHTTP("http://"+address, nil)
		require.NoError(t, err)
		_, err = l.List(context.Background())
		return err
	}
	require.NoError(t, list(fieldlinetest.Unusual))
	for fault, line := range fieldlinetest.Invalid {
		require.Error(t, list(line), fault)
	}
}
