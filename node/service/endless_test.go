package service_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/execution"
	"masticbank.example/node/bounded/boundedtest"
	"masticbank.example/node/service"
)

// An endless response header or body must end the call with an error. The call has no
// deadline, so that only the size limit can end it.
func TestEndlessResponsesAreErrors(t *testing.T) {
	for _, kind := range []map[string][2]string{boundedtest.EndlessHeaders, boundedtest.EndlessBodies} {
		for name, response := range kind {
			t.Run(name, func(t *testing.T) {
				s := boundedtest.Start(t, response)
				c := service.New()
				defer c.Close()
				_, err := c.Do(context.Background(), s.Address(), service.Call{Method: "GET", Path: "/", Header: http.Header{}, Idempotent: true})
				var failure *service.Error
				require.ErrorAs(t, err, &failure)
				require.Equal(t, execution.Unknown, failure.Execution, "%v", failure.Err)
				require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
			})
		}
	}
}
