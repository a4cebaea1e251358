package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
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
				rejected = p.rejected("b", true)
				g.release()
			}
		}
		require.LessOrEqual(t, rejected, 7, "after 0, 0.3, 0.9, 2.1 seconds, then each 1.2")
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
		require.Equal(t, 1, p.rejected("b", true))
		before.firstToken()
		require.Equal(t, 2, p.rejected("b", true))
		time.Sleep(2 * time.Second)
		after := p.take("c")
		after.firstToken()
		require.Equal(t, 1, p.rejected("b", true))
		before.release()
		after.release()
	})
}

// TestFullPartIsTriedSoonAgain does not lengthen the time for a part that is full.
func TestFullPartIsTriedSoonAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		for range 5 {
			require.Zero(t, p.rejected("b", false))
			time.Sleep(rejectedBlock)
			require.False(t, p.fleet.Blocked("b", time.Now()))
		}
	})
}

// TestPartThatRejectedAnotherInstanceIsLeftOut needs no rejection of its own.
func TestPartThatRejectedAnotherInstanceIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.toldRejected("b", 1)
		p.toldRejected("unknown", 1)
		require.True(t, p.fleet.Blocked("b", time.Now()))
		require.Equal(t, "c", p.take().path()[1].ID)
	})
}

// TestInstancesDoNotConfirmEachOther has two instances that both found a part
// rejecting and told each other. What they were told must not be told again, or the
// part would stay out of use for good.
func TestInstancesDoNotConfirmEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newPool(), newPool()
		for range 2 {
			two.toldRejected("b", one.rejected("b", true))
			one.toldRejected("b", two.rejected("b", true))
		}
		time.Sleep(3 * time.Second)
		require.False(t, one.fleet.Blocked("b", time.Now()))
		require.False(t, two.fleet.Blocked("b", time.Now()))
	})
}

// A replica that crashed is listed again, without layers, before a stream through it is
// found lost; one that leaves is not listed.
func TestReplicasThatRestartedEmptyAreStillParts(t *testing.T) {
	p := newPool()
	g := p.take("c")
	p.set([]roster.Entry{{ID: "a", Service: "s", Born: 2}})
	require.Equal(t, []poison.Incarnation{{Replica: "a", Born: 1}}, p.partsOf(g.path()))
}

// TestWaiterThatAvoidsReplicasHoldsBackNobody has a request that is sent again wait for a
// replica that it does not avoid, and one behind it that may use them all.
func TestWaiterThatAvoidsReplicasHoldsBackNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.block("c", time.Minute, "test")
		first := make(chan *grant, 1)
		go func() { first <- p.take("b") }()
		synctest.Wait()
		second := p.take()
		require.NotNil(t, second, "granted though another one waits")
		second.release()
		require.Nil(t, <-first)
	})
}

// TestLargeWaiterIsNotOvertaken has a request that is too large for the memory that is free
// at present: one behind it that would fit does not take what becomes free.
func TestLargeWaiterIsNotOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.fleet.Model().Slots = 0 // memory is to bind
		p.block("c", time.Minute, "test")
		ask := func(prompt float64) <-chan *grant {
			out := make(chan *grant, 1)
			it := &waitlist.Item{Arrival: time.Now(), GiveUp: time.Now().Add(5 * time.Second)}
			go func() {
				out <- p.acquire(context.Background(), it, pipeline.Demand{Prompt: prompt}, pipeline.Constraint{})
			}()
			synctest.Wait()
			return out
		}
		const usual, large, small = 200_000, 500_000, 150_000
		var held []*grant
		for range 7 {
			held = append(held, <-ask(usual))
		}
		first, second := ask(large), ask(small)
		require.Empty(t, first)
		require.Empty(t, second)
		held[0].release()
		synctest.Wait()
		require.Empty(t, first)
		require.Empty(t, second, "the memory is kept for the one that came first")
		held[1].release()
		synctest.Wait()
		require.Len(t, first, 1)
		for _, g := range held[2:] {
			g.release()
		}
		require.NotNil(t, <-second)
	})
}
