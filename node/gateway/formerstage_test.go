package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
)

// moveAddress lists "d" at the address that "b" of newPool had.
func (p *modelPool) moveAddress() {
	entry := func(id, address string, from, to int) roster.Entry {
		return roster.Entry{ID: id, Service: "s", Address: address, Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: from, To: to}}
	}
	p.setReplicas([]roster.Entry{entry("a", "a", 0, 2), entry("d", "b", 2, 4), entry("c", "c", 2, 4)})
}

func (p *modelPool) streamOnB(t *testing.T) *stream {
	g := p.acquireAvoiding("c")
	require.NotNil(t, g)
	require.Equal(t, "b", g.path()[1].ID)
	return &stream{pool: p, grant: g, call: &call{}, g: &Gateway{log: zap.NewNop()}, excluded: map[string]bool{}}
}

// TestRejectionOfAFormerStageBlocksTheNextAtItsAddress guards against a replica that gets no paths, because the
// replica that had its address before rejected a request.
func TestRejectionOfAFormerStageBlocksTheNextAtItsAddress(t *testing.T) {
	p := newPool()
	s := p.streamOnB(t)
	p.moveAddress()
	s.handleRejection(503, Response{FailingStage: "b"}, s.grant.path()[0])
	require.False(t, p.fleet.Blocked("d", time.Now()), "the replica that has the address now")
	require.False(t, s.excluded["d"])
}

// TestStallOfAFormerStageBlocksTheNextAtItsAddress guards against the same with a stage on which requests stall.
func TestStallOfAFormerStageBlocksTheNextAtItsAddress(t *testing.T) {
	p := newPool()
	s := p.streamOnB(t)
	p.moveAddress()
	w := &stallWatch{s: s, timer: time.NewTimer(time.Hour)}
	s.leftAt = time.Now().Add(-time.Nanosecond) // leave waits for evidence before it acts
	w.apply(context.Background(), finding{startedAt: time.Now(), report: Report{Stalled: map[string]string{s.ID: "b"}}})
	require.False(t, p.fleet.Blocked("d", time.Now()), "the replica that has the address now")
}

// TestRejectingStageIsAvoided checks that a stream avoids the stage that rejected it, listed or not, and its
// first replica if the address is on no part of its path.
func TestRejectingStageIsAvoided(t *testing.T) {
	p := newPool()
	s := p.streamOnB(t)
	s.handleRejection(503, Response{FailingStage: "b"}, s.grant.path()[0])
	require.Equal(t, map[string]bool{"b": true}, s.excluded)
	require.True(t, p.fleet.Blocked("b", time.Now()))
	p.moveAddress()
	s.excluded = map[string]bool{}
	s.handleRejection(503, Response{FailingStage: "b"}, s.grant.path()[0])
	require.Equal(t, map[string]bool{"b": true}, s.excluded)
	s.handleRejection(503, Response{FailingStage: "x"}, s.grant.path()[0])
	require.Equal(t, map[string]bool{"a": true, "b": true}, s.excluded)
}

// movingControl refuses a move to "c", whose address "d" has by then, and accepts the next one.
type movingControl struct {
	ReplicaControl
	pool  *modelPool
	paths []pipeline.Path
}

func (c *movingControl) Repath(_ context.Context, _ Replica, _ string, path pipeline.Path) (CommandResult, error) {
	c.paths = append(c.paths, path)
	if len(c.paths) > 1 {
		return CommandResult{Status: CommandAccepted}, nil
	}
	entry := func(id, address string, from, to int) roster.Entry {
		return roster.Entry{ID: id, Service: "s", Address: address, Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: from, To: to}}
	}
	c.pool.setReplicas([]roster.Entry{entry("a", "a", 0, 2), entry("d", "c", 2, 4)})
	return CommandResult{Status: CommandConflict, Stage: "c"}, nil
}

// TestMoveRefusedByAFormerStageExcludesTheNextAtItsAddress guards against a stream that is not moved to the
// only replica left, because the one that had its address before refused it.
func TestMoveRefusedByAFormerStageExcludesTheNextAtItsAddress(t *testing.T) {
	control := &movingControl{}
	s := newWatchedStream(control)
	defer s.grant.release()
	control.pool = s.pool
	s.arrival = time.Now()
	s.excluded["b"] = true
	require.True(t, (&stallWatch{s: s}).repath(t.Context(), s.grant.path()[0]))
	require.Equal(t, map[string]bool{"b": true, "c": true}, s.excluded)
	require.True(t, s.grant.path().Uses("d"))
}

// TestRejectionOfAnEarlierProcessBlocksTheNext guards against a replica that gets no paths here, nor on
// other instances, because its process before rejected a request.
func TestRejectionOfAnEarlierProcessBlocksTheNext(t *testing.T) {
	p := newPool()
	s := p.streamOnB(t)
	s.g.opts.OnRejected = func(id string, _ int) { t.Error("told to other instances:", id) }
	s.lastProgress = time.Now()
	p.restart("b")
	s.handleRejection(503, Response{FailingStage: "b"}, s.grant.path()[0])
	s.lastProgress = time.Time{}
	s.handleRejection(503, Response{FailingStage: "b"}, s.grant.path()[0])
	require.False(t, p.fleet.Blocked("b", time.Now()))
	require.True(t, s.excluded["b"])
}

// TestStallOfAnEarlierProcessBlocksTheNext guards against a replica that gets no paths, and whose streams
// leave it, because its process before did not respond.
func TestStallOfAnEarlierProcessBlocksTheNext(t *testing.T) {
	for name, f := range map[string]finding{
		"stall":  {report: Report{Stalled: map[string]string{"": "b"}}},
		"probes": {failed: []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			s := p.streamOnB(t)
			s.g.opts.OnUnresponsive = func(id string) { t.Error("told to other instances:", id) }
			p.restart("b")
			w := &stallWatch{s: s, timer: time.NewTimer(time.Hour)}
			s.leftAt = time.Now().Add(-time.Nanosecond) // leave waits for evidence before it acts
			f.startedAt = time.Now()
			w.apply(t.Context(), f)
			require.False(t, p.fleet.Blocked("b", time.Now()))
			require.Empty(t, p.failedUntil)
		})
	}
}
