package gateway

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/forward"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/node/exchange"
)

// restart lists a later process of a replica of newPool.
func (p *modelPool) restart(id string) {
	entry := func(id string, from, to int, start int64) roster.Entry {
		return roster.Entry{ID: id, Service: "s", Address: id, Zone: "z", Kind: "k", StartTime: start, Layers: &roster.Layers{From: from, To: to}}
	}
	list := []roster.Entry{entry("a", 0, 2, 1), entry("b", 2, 4, 1), entry("c", 2, 4, 1)}
	for i := range list {
		if list[i].ID == id {
			list[i].StartTime = 2
		}
	}
	p.setReplicas(list)
}

// TestFailedConnectionOfAnEarlierProcessBlocksTheNext guards against a replica that gets no paths since an
// attempt that began before its restart found no connection.
func TestFailedConnectionOfAnEarlierProcessBlocksTheNext(t *testing.T) {
	p := newPool()
	s := &stream{pool: p, excluded: map[string]bool{}}
	p.restart("a")
	s.connectionFailed(pipeline.Stage{ID: "a", Address: "a", StartTime: 1}, &exchange.Error{Err: syscall.ECONNREFUSED})
	require.False(t, p.fleet.Blocked("a", time.Now()))
}

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
