package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/core/waitlist"
)

// newPool returns a pool whose first half of the layers "a" holds; "b" and "c" hold
// the second half.
func newPool() *modelPool {
	m := &pipeline.Model{
		Layers: 4, LayerMB: 100, KVTokenBytes: 1000, StepMS: 1, ReadPerMS: 100, Slots: 10, UsualPrompt: 100, UsualOutput: 100,
		Kinds: map[string]pipeline.Kind{"k": {Name: "k", MemoryMB: 1000, StepFactor: 1, ReadFactor: 1}},
	}
	p := newModelPool(&routing.Service{Name: "s", Model: m}, nil, zap.NewNop())
	entry := func(id string, from, to int) roster.Entry {
		return roster.Entry{ID: id, Service: "s", Address: id, Zone: "z", Kind: "k", Born: 1, Layers: &roster.Layers{From: from, To: to}}
	}
	p.set([]roster.Entry{entry("a", 0, 2), entry("b", 2, 4), entry("c", 2, 4)})
	return p
}

func (p *modelPool) take(avoid ...string) *grant {
	limit := pipeline.Constraint{Avoid: map[string]bool{}}
	for _, id := range avoid {
		limit.Avoid[id] = true
	}
	it := &waitlist.Item{Arrival: time.Now(), GiveUp: time.Now().Add(time.Second)}
	return p.acquire(context.Background(), it, pipeline.Demand{Prompt: 100, Output: 100}, limit)
}

// TestLeavingPartIsNotAskedAgainAndAgain has a part that leaves: it goes on with the
// streams that it has and rejects new ones. The events of the old streams must not
// shorten the time for which new ones keep off it.
func TestLeavingPartIsNotAskedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		old := p.take("c")
		old.firstToken()
		rejected := 0
		for start := time.Now(); time.Since(start) < 6*time.Second; time.Sleep(10 * time.Millisecond) {
			old.firstToken()
			if !p.fleet.Blocked("b", time.Now()) {
				g := p.take("c")
				p.rejected("b", false)
				rejected++
				g.release()
			}
		}
		require.LessOrEqual(t, rejected, 2+int(6*time.Second/maxRejectedBlock))
		require.Equal(t, []string{"b"}, p.rejecting(time.Now()))
		old.release()
	})
}

// TestPartThatServesAgainIsTrusted ends the doubling with the first request that the
// part takes, not with one that it took before.
func TestPartThatServesAgainIsTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		before := p.take("c")
		time.Sleep(time.Millisecond)
		p.rejected("b", false)
		p.rejected("b", false)
		before.firstToken()
		require.Equal(t, []string{"b"}, p.rejecting(time.Now()))
		time.Sleep(2 * maxRejectedBlock)
		after := p.take("c")
		after.firstToken()
		require.Empty(t, p.rejections)
		before.release()
		after.release()
	})
}

// TestInstancesDoNotConfirmEachOther has two instances that both found a part
// rejecting: each keeps off it while the other says so, and neither may say so
// because of the other.
func TestInstancesDoNotConfirmEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newPool(), newPool()
		for _, p := range []*modelPool{one, two} {
			p.rejected("b", false)
			p.rejected("b", false)
		}
		for start := time.Now(); time.Since(start) < 3*maxRejectedBlock; time.Sleep(200 * time.Millisecond) {
			if len(one.rejecting(time.Now())) > 0 {
				two.block("b", toldBlock, "told")
			}
			if len(two.rejecting(time.Now())) > 0 {
				one.block("b", toldBlock, "told")
			}
		}
		require.False(t, one.fleet.Blocked("b", time.Now()))
		require.False(t, two.fleet.Blocked("b", time.Now()))
	})
}

// TestFullPartIsTriedSoonAgain does not lengthen the time for a part that is full.
func TestFullPartIsTriedSoonAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		for range 5 {
			p.rejected("b", true)
			time.Sleep(rejectedBlock)
			require.False(t, p.fleet.Blocked("b", time.Now()))
		}
		require.Empty(t, p.rejecting(time.Now()))
	})
}
