package entry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform/platformtest"
)

// TestLongAnswersAreNeverCut sends answers that are longer than an instance takes.
func TestLongAnswersAreNeverCut(t *testing.T) {
	const longest = 16 << 20
	w := newWorld(t)
	w.config(1, "")
	a, b := w.replica("i-a"), w.replica("i-b")
	w.put(a, "plain", "ready")
	w.put(b, "llm", "ready", 0, 4)
	w.start()
	for size, delivered := range map[int]bool{longest: true, longest + 1: false} {
		for path, r := range map[string]*platformtest.Replica{"/order/1": a, "/chat/1": b} {
			r.Set(platformtest.Behavior{Status: 500, BodyBytes: size})
			got := w.send("POST", path, "key1", "x")
			if delivered {
				require.Equal(t, 500, got.status, path)
				require.Len(t, got.body, size, path)
				continue
			}
			require.Equal(t, 502, got.status, path)
		}
	}
}

// TestStreamsWithoutEndAreBroken sends events for as long as they are taken.
func TestStreamsWithoutEndAreBroken(t *testing.T) {
	w := newWorld(t)
	w.config(1, "")
	a := platformtest.NewReplica("i-a", 1<<30)
	t.Cleanup(a.Close)
	w.put(a, "llm", "ready", 0, 4)
	w.start()
	got := w.send("POST", "/chat/1", "key1", "prompt")
	require.Error(t, got.err, "a stream that is cut must not look complete")
	require.Less(t, len(got.body), 64<<20)
}
