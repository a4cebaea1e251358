package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/retry"
)

// breaksOff begins each request and closes its connection.
func breaksOff(w http.ResponseWriter, r *http.Request) {
	answers(w, r)
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// TestRequestEndsWithoutTheNameOfItsLimit guards against logs that don't tell which limit ended a
// request.
func TestRequestEndsWithoutTheNameOfItsLimit(t *testing.T) {
	cases := map[string]struct {
		path    string
		handler http.HandlerFunc
		want    string
	}{
		"stream rejected by all":  {"/model/1", rejects, "sends"},
		"request rejected by all": {"/plain/1", rejects, "sends"},
		"stream lost by all":      {"/model/1", breaksOff, "runs"},
		"request that may run once": {"/once/1", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, "runs"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for range 5 {
				addresses = append(addresses, startReplica(t, c.handler))
			}
			g := newResendGateway(t, retry.Limit{Slack: 100, Window: time.Hour}, addresses...)
			g.send(c.path, 10*time.Second)
			lines := g.logs.FilterMessage("attempt failed").All()
			last := lines[len(lines)-1].ContextMap()
			require.Equal(t, c.want, last["denied"])
			require.EqualValues(t, len(lines), last["arrivals"])
			for _, line := range lines[:len(lines)-1] {
				require.Empty(t, line.ContextMap()["denied"])
			}
		})
	}
}
