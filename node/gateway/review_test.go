package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/forward"
	"masticbank.example/core/roster"
)

// TestOutcomeOfAnEarlierProcessEjectsTheNext guards against a plain replica that is passed over since an
// attempt that began before its restart, at another address, found no connection.
func TestOutcomeOfAnEarlierProcessEjectsTheNext(t *testing.T) {
	p := newPlainPool("z")
	p.setReplicas([]roster.Entry{{ID: "a", Address: "x:1", Zone: "z", Slots: 1, StartTime: 1}})
	p.recordSend("a")
	p.setReplicas([]roster.Entry{{ID: "a", Address: "y:1", Zone: "z", Slots: 1, StartTime: 2}})
	now := time.Now()
	p.recordOutcome(now, "a", forward.Unsent, time.Millisecond)
	require.False(t, p.replicas["a"].ejectedUntil.After(now))
}

// TestOutcomeOfAnEarlierProcessEndsAnEjection guards against a replica that is ejected for its failures and
// gets requests again since a request that its earlier process had was answered.
func TestOutcomeOfAnEarlierProcessEndsAnEjection(t *testing.T) {
	p := newPlainPool("z")
	p.setReplicas([]roster.Entry{{ID: "a", Address: "x:1", Zone: "z", Slots: 1, StartTime: 1}})
	p.recordSend("a")
	p.setReplicas([]roster.Entry{{ID: "a", Address: "y:1", Zone: "z", Slots: 1, StartTime: 2}})
	p.recordSend("a")
	now := time.Now()
	p.recordOutcome(now, "a", forward.Unsent, time.Millisecond)
	p.recordSend("a")
	p.recordOutcome(now, "a", forward.Responded, time.Millisecond)
	require.True(t, p.replicas["a"].ejectedUntil.After(now))
}
