package instancelist_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/bounded/boundedtest"
	"masticbank.example/node/instancelist"
)

// TestEndlessResponsesAreErrors checks that a size limit ends a call with an endless
// response. The call has no deadline.
func TestEndlessResponsesAreErrors(t *testing.T) {
	for _, kind := range []map[string][2]string{boundedtest.EndlessHeaders, boundedtest.EndlessBodies} {
		for name, response := range kind {
			t.Run(name, func(t *testing.T) {
				s := boundedtest.Start(t, response)
				h, err := instancelist.NewHTTP("http://"+s.Address(), nil)
				require.NoError(t, err)
				_, err = h.List(context.Background())
				require.Error(t, err)
				require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
			})
		}
	}
}
