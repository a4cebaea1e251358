package adminclient_test

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/cmd/internal/adminclient"
	"masticbank.example/node/admin"
	"masticbank.example/node/fieldline/fieldlinetest"
)

// TestInvalidHeadDoesNotDecideAProposal guards against a configuration that is shown as published, or as
// refused, by a response with an invalid field line or status.
func TestInvalidHeadDoesNotDecideAProposal(t *testing.T) {
	publish := func(status, line string) error {
		s := fieldlinetest.Serve(t, "HTTP/1.1 "+status+"\r\nA: 1\r\n"+line+"Content-Length: 2\r\n\r\n{}")
		_, err := adminclient.New("http://"+s.Address, "key").Publish(context.Background(), &admin.PublishRequest{})
		return err
	}
	require.NoError(t, publish("200 OK", fieldlinetest.Unusual))
	requireUndecided := func(err error, head string) {
		require.Error(t, err, head)
		var answered *adminclient.StatusError
		require.False(t, errors.As(err, &answered), head)
	}
	for fault, line := range fieldlinetest.Invalid {
		requireUndecided(publish("200 OK", line), fault)
		requireUndecided(publish("409 Conflict", line), fault)
	}
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK"} {
		requireUndecided(publish(status, ""), status)
	}
}
