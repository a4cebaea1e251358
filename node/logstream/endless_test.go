package logstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/bounded/boundedtest"
	"masticbank.example/node/logstream"
)

// TestEndlessResponsesAreErrors checks that a size limit ends a call with an endless
// response. The timeout is too long to do so.
func TestEndlessResponsesAreErrors(t *testing.T) {
	for _, kind := range []map[string][2]string{boundedtest.EndlessHeaders, boundedtest.EndlessBodies} {
		for name, response := range kind {
			t.Run(name, func(t *testing.T) {
				s := boundedtest.Start(t, response)
				h := &logstream.HTTP{Base: "http://" + s.Address(), Timeout: time.Minute}
				_, err := h.Read(context.Background(), "s", 0, 1, 0)
				require.Error(t, err)
				require.NotErrorIs(t, err, context.DeadlineExceeded)
				require.Less(t, s.Sent(), boundedtest.MaxSentBytes)
			})
		}
	}
}
