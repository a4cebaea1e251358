package gateway

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
