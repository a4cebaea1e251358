package exchange_test

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/bounded"
	"masticbank.example/node/bounded/boundedtest"
	"masticbank.example/node/exchange"
)

// TestEndlessHeadsAreErrors guards against reading an endless head forever. The call has
// no deadline: only the size limit ends it.
func TestEndlessHeadsAreErrors(t *testing.T) {
	for name, response := range boundedtest.EndlessHeaders {
		t.Run(name, func(t *testing.T) {
			s := boundedtest.Start(t, response)
			_, err := newClient(t).Do(context.Background(), s.Address(), getRequest("/"))
			var ee *exchange.Error
			require.ErrorAs(t, err, &ee)
			require.True(t, ee.Sent)
			require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
		})
	}
}

// TestEndlessBodiesAreErrors guards against an endless body that is taken for a
// complete one.
func TestEndlessBodiesAreErrors(t *testing.T) {
	const limit = 1 << 20
	for name, response := range boundedtest.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			s := boundedtest.Start(t, response)
			resp, err := newClient(t).Do(context.Background(), s.Address(), getRequest("/"))
			require.NoError(t, err)
			defer resp.Close()
			_, err = bounded.NewMemoryLimit(64<<20).NewReservation().ReadAll(resp.Body, limit)
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
		})
	}
}
