package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/roster"
)

// TestPauseOfAnEarlierProcessBlocksTheNext guards against a replica that restarted, or another one at the
// address of a stage, and that gets nothing because the process before had asked for a pause.
func TestPauseOfAnEarlierProcessBlocksTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWatchedStream(nil)
		defer s.grant.release()
		path := s.grant.path()
		layers := func(from, to int) *roster.Layers { return &roster.Layers{From: from, To: to} }
		s.pool.setReplicas([]roster.Entry{
			{ID: "a", Service: "s", Address: "a", Zone: "z", Kind: "k", StartTime: 2, Layers: layers(0, 2)},
			{ID: "d", Service: "s", Address: "b", Zone: "z", Kind: "k", StartTime: 2, Layers: layers(2, 4)},
		})
		s.applyResponseInfo(path[0], Response{Pause: time.Second, FailingStage: "b"})
		require.False(t, s.pool.fleet.Blocked("a", time.Now()))
		require.False(t, s.pool.fleet.Blocked("d", time.Now()))
	})
}

// TestPauseBlocksBothStages checks that a pause applies to the first replica and to the stage that
// rejected the request.
func TestPauseBlocksBothStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWatchedStream(nil)
		defer s.grant.release()
		s.applyResponseInfo(s.grant.path()[0], Response{Pause: time.Second, FailingStage: "b"})
		require.True(t, s.pool.fleet.Blocked("a", time.Now()))
		require.True(t, s.pool.fleet.Blocked("b", time.Now()))
		require.False(t, s.pool.fleet.Blocked("c", time.Now()))
	})
}

// TestReportOfAnEarlierProcessChangesTheLayers guards against paths over layers that a replica held before
// it restarted, because a report of that time is read late.
func TestReportOfAnEarlierProcessChangesTheLayers(t *testing.T) {
	p := newPool()
	p.setReplicas([]roster.Entry{
		{ID: "a", Service: "s", Address: "a", Zone: "z", Kind: "k", StartTime: 2, Layers: &roster.Layers{From: 0, To: 1}},
	})
	p.observe("a", Report{StartTime: 1, HasLayers: true, From: 0, To: 2})
	require.Equal(t, 1, p.state("a").To)
	p.observe("a", Report{StartTime: 2, HasLayers: true, From: 0, To: 3})
	require.Equal(t, 3, p.state("a").To)
	p.observe("a", Report{HasLayers: true, From: 0, To: 2})
	require.Equal(t, 2, p.state("a").To, "a report that states no process counts")
}
