package entry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform/platformtest"
)

// TestLongResponsesAreNeverTruncated guards against delivering a truncated response: one
// of the maximum size is delivered completely, a longer one is replaced by an error.
func TestLongResponsesAreNeverTruncated(t *testing.T) {
	const longest = 16 << 20
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a, b := env.newReplica("i-a"), env.newReplica("i-b")
	env.publishEntry(a, "plain", "ready")
	env.publishEntry(b, "llm", "ready", 0, 4)
	env.start()
	for size, delivered := range map[int]bool{longest: true, longest + 1: false} {
		for path, r := range map[string]*platformtest.Replica{"/order/1": a, "/chat/1": b} {
			r.SetBehavior(platformtest.Behavior{Status: 500, BodyBytes: size})
			got := env.send("POST", path, "key1", "x")
			if delivered {
				require.Equal(t, 500, got.status, path)
				require.Len(t, got.body, size, path)
				continue
			}
			require.Equal(t, 502, got.status, path)
		}
	}
}

// TestEndlessStreamsAreAborted guards against streams that never end: the instance
// closes the connection, and the client does not see a complete stream.
func TestEndlessStreamsAreAborted(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := platformtest.NewReplica("i-a", 1<<30)
	t.Cleanup(a.Close)
	env.publishEntry(a, "llm", "ready", 0, 4)
	env.start()
	got := env.send("POST", "/chat/1", "key1", "prompt")
	require.Error(t, got.err, "a truncated stream must not look complete")
	require.Less(t, len(got.body), 64<<20)
}
