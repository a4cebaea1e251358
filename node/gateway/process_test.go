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

// TestFailedConnectionBlocksItsProcess checks that a failed connection counts for the process that is listed
// and a later one, and if the start of its process is not known.
func TestFailedConnectionBlocksItsProcess(t *testing.T) {
	for _, start := range []int64{0, 1, 2} {
		p := newPool()
		s := &stream{pool: p, excluded: map[string]bool{}}
		s.connectionFailed(pipeline.Stage{ID: "a", Address: "a", StartTime: start}, &exchange.Error{Err: syscall.ECONNREFUSED})
		require.True(t, p.fleet.Blocked("a", time.Now()), start)
		require.True(t, s.excluded["a"], start)
	}
}

// TestOutcomeOfAnEarlierProcessEjectsTheNext guards against a plain replica that is passed over since an
// attempt that began before its restart, at another address, found no connection.
func TestOutcomeOfAnEarlierProcessEjectsTheNext(t *testing.T) {
	p := newPlainPool("z")
	p.setReplicas([]roster.Entry{{ID: "a", Address: "x:1", Zone: "z", Slots: 1, StartTime: 1}})
	p.recordSend(Replica{ID: "a", Address: "x:1", StartTime: 1})
	p.setReplicas([]roster.Entry{{ID: "a", Address: "y:1", Zone: "z", Slots: 1, StartTime: 2}})
	now := time.Now()
	p.recordOutcome(now, Replica{ID: "a", Address: "x:1", StartTime: 1}, forward.Unsent, time.Millisecond)
	require.False(t, p.replicas["a"].ejectedUntil.After(now))
}

// TestOutcomeOfAnEarlierProcessEndsAnEjection guards against a replica that is ejected for its failures and
// gets requests again since a request that its earlier process had was answered.
func TestOutcomeOfAnEarlierProcessEndsAnEjection(t *testing.T) {
	p := newPlainPool("z")
	p.setReplicas([]roster.Entry{{ID: "a", Address: "x:1", Zone: "z", Slots: 1, StartTime: 1}})
	p.recordSend(Replica{ID: "a", Address: "x:1", StartTime: 1})
	p.setReplicas([]roster.Entry{{ID: "a", Address: "y:1", Zone: "z", Slots: 1, StartTime: 2}})
	p.recordSend(Replica{ID: "a", Address: "y:1", StartTime: 2})
	now := time.Now()
	p.recordOutcome(now, Replica{ID: "a", Address: "y:1", StartTime: 2}, forward.Unsent, time.Millisecond)
	p.recordSend(Replica{ID: "a", Address: "y:1", StartTime: 2})
	p.recordOutcome(now, Replica{ID: "a", Address: "x:1", StartTime: 1}, forward.Responded, time.Millisecond)
	require.True(t, p.replicas["a"].ejectedUntil.After(now))
}

// TestOutcomeAfterARestart checks which requests leave the count of a replica that restarted, and that an
// outcome counts if the start of its process is not known.
func TestOutcomeAfterARestart(t *testing.T) {
	for name, c := range map[string]struct {
		address        string
		start          int64
		inFlight, load int
		ejected        bool
	}{
		"same address":  {address: "x:1", start: 1, inFlight: 1},
		"other address": {address: "y:1", start: 1, inFlight: 1},
		"unknown start": {address: "x:1", start: 0, inFlight: 1, load: 3, ejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlainPool("z")
			p.setReplicas([]roster.Entry{{ID: "a", Address: "x:1", Zone: "z", Slots: 1, StartTime: c.start}})
			earlier := Replica{ID: "a", Address: "x:1", StartTime: c.start}
			p.recordSend(earlier)
			p.setReplicas([]roster.Entry{{ID: "a", Address: c.address, Zone: "z", Slots: 1, StartTime: 2}})
			p.recordSend(Replica{ID: "a", Address: c.address, StartTime: 2})
			now := time.Now()
			p.recordLoad(earlier, Response{HasLoad: true, Running: 3})
			p.recordOutcome(now, earlier, forward.Unsent, time.Millisecond)
			require.Equal(t, c.inFlight, p.replicas["a"].inFlight)
			require.Equal(t, c.load, p.replicas["a"].reportedLoad)
			require.Equal(t, c.ejected, p.replicas["a"].ejectedUntil.After(now))
		})
	}
}

// TestSendToAReplacedProcessLeavesNoCount checks that a request that was to go to an earlier process is not
// counted for good.
func TestSendToAReplacedProcessLeavesNoCount(t *testing.T) {
	for _, address := range []string{"x:1", "y:1"} {
		p := newPlainPool("z")
		p.setReplicas([]roster.Entry{{ID: "a", Address: address, Zone: "z", Slots: 1, StartTime: 2}})
		earlier := Replica{ID: "a", Address: "x:1", StartTime: 1}
		p.recordSend(earlier)
		p.recordOutcome(time.Now(), earlier, forward.Withheld, time.Millisecond)
		require.Zero(t, p.replicas["a"].inFlight, address)
	}
}
