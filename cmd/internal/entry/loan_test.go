package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// TestAnswersAreCutWhileOtherInstancesHaveRetries guards against answers that end because the share of the
// retry budget of one instance is spent, while the other instances need none of theirs: each of four
// may retry once, and one of them loses three streams at once.
func TestAnswersAreCutWhileOtherInstancesHaveRetries(t *testing.T) {
	t.Parallel()
	const instances, lost, slack = 4, 3, 8
	f := newFleetOf(t, func(s *platform.Settings) {
		s.FirstStart = true
		s.Bounds.RetrySlack, s.Bounds.RetryRatio = slack, 0
	}, "llm", 2, instances, 0, 4)
	for _, r := range f.replicas {
		r.SetBehavior(platformtest.Behavior{EventPause: 400 * time.Millisecond})
	}
	f.eventually(func() bool {
		for _, i := range f.instances {
			if i.PeerCount() < instances-1 {
				return false
			}
		}
		return true
	}, "the instances are connected")
	var bodies []io.Reader
	most := f.replicas[0]
	for len(most.Runs()) < lost {
		req, err := platformtest.NewRequest(f.instance.ClientAddr(), "POST", "/chat/1", fmt.Sprint("stream-", len(bodies)), "key1", fmt.Sprint("prompt ", len(bodies)))
		require.NoError(t, err)
		resp, err := f.client.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		bodies = append(bodies, resp.Body)
		if r := f.replicas[1]; len(r.Runs()) > len(most.Runs()) {
			most = r
		}
	}
	most.Crash()
	for n, body := range bodies {
		got, err := io.ReadAll(body)
		require.NoError(t, err, "stream %d", n)
		require.Equal(t, completeStream(), string(got), "stream %d", n)
	}
}
