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

// TestHeadsWithoutEndAreGivenUp has no deadline: only a bound ends the call.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	for name, answer := range boundedtest.Heads {
		t.Run(name, func(t *testing.T) {
			s := boundedtest.Start(t, answer)
			_, err := client(t).Do(context.Background(), s.Address(), get("/"))
			var ee *exchange.Error
			require.ErrorAs(t, err, &ee)
			require.True(t, ee.Sent)
			require.Less(t, s.Sent(), boundedtest.Most)
		})
	}
}

func TestBodiesWithoutEndAreNeverWhole(t *testing.T) {
	const limit = 1 << 20
	for name, answer := range boundedtest.Bodies {
		t.Run(name, func(t *testing.T) {
			s := boundedtest.Start(t, answer)
			resp, err := client(t).Do(context.Background(), s.Address(), get("/"))
			require.NoError(t, err)
			defer resp.Close()
			_, err = bounded.NewMemory(64<<20).Hold().ReadAll(resp.Body, limit)
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.Less(t, s.Sent(), boundedtest.Most)
		})
	}
}
