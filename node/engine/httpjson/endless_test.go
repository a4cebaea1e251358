package httpjson_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/bounded/boundedtest"
	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/wire"
)

// An endless response header or body must end the call with an error. The call has no
// deadline, so that only the size limit can end it.
func TestEndlessResponsesAreErrors(t *testing.T) {
	for _, kind := range []map[string][2]string{boundedtest.EndlessHeaders, boundedtest.EndlessBodies} {
		for name, response := range kind {
			t.Run(name, func(t *testing.T) {
				s := boundedtest.Start(t, response)
				c := httpjson.New()
				target := engine.Target{ID: "e", Address: s.Address()}
				defer c.Release(target)
				_, err := c.Step(context.Background(), target, &wire.StepRequest{})
				var failure *engine.CallError
				require.ErrorAs(t, err, &failure)
				require.Equal(t, engine.ProofNone, failure.Proof)
				require.Error(t, c.Probe(context.Background(), target))
				require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
			})
		}
	}
}
