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

// newPool returns a pool in which "a" holds the first half of the layers, and "b" and "c"
// the second half.
func newPool() *modelPool {
	m := &pipeline.Model{
		Layers: 4, LayerMB: 100, KVTokenBytes: 1000, StepMS: 1, PrefillTokensPerMS: 100, Slots: 10, MeanPromptTokens: 100, MeanOutputTokens: 100,
		Kinds: map[string]pipeline.Kind{"k": {Name: "k", MemoryMB: 1000, StepFactor: 1, PrefillFactor: 1}},
	}
	p := newModelPool(&routing.Service{Name: "s", Model: m}, nil, zap.NewNop())
	entry := func(id string, from, to int) roster.Entry {
		return roster.Entry{ID: id, Service: "s", Address: id, Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: from, To: to}}
	}
	p.setReplicas([]roster.Entry{entry("a", 0, 2), entry("b", 2, 4), entry("c", 2, 4)})
	return p
}

func (p *modelPool) acquireAvoiding(avoid ...string) *grant {
	limit := pipeline.Constraint{Avoid: map[string]bool{}}
	for _, id := range avoid {
		limit.Avoid[id] = true
	}
	it := &waitlist.Item{Arrival: time.Now(), RefuseAt: time.Now().Add(time.Second)}
	return p.acquire(context.Background(), it, pipeline.Demand{Prompt: 100, Output: 100}, limit)
}

// A stage that shuts down finishes its streams and rejects new requests. Events of the old
// streams must not shorten the time for which new requests avoid it.
func TestLeavingStageIsNotRetriedRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		old := p.acquireAvoiding("c")
		old.recordEvent(time.Now())
		rejected := 0
		for start := time.Now(); time.Since(start) < 6*time.Second; time.Sleep(10 * time.Millisecond) {
			old.recordEvent(time.Now())
			if !p.fleet.Blocked("b", time.Now()) {
				g := p.acquireAvoiding("c")
				rejected = p.recordRejection(pipeline.Stage{ID: "b"}, true)
				g.release()
			}
		}
		require.LessOrEqual(t, rejected, 7, "after 0, 0.3, 0.9 and 2.1 seconds, then every 1.2")
		old.release()
	})
}

// The block time stops doubling with the first request that the stage accepts after a
// rejection, not with an event of a request that it accepted before.
func TestAcceptedRequestResetsRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		before := p.acquireAvoiding("c")
		time.Sleep(time.Millisecond)
		require.Equal(t, 1, p.recordRejection(pipeline.Stage{ID: "b"}, true))
		before.recordEvent(time.Now())
		require.Equal(t, 2, p.recordRejection(pipeline.Stage{ID: "b"}, true))
		time.Sleep(2 * time.Second)
		after := p.acquireAvoiding("c")
		after.recordEvent(time.Now())
		require.Equal(t, 1, p.recordRejection(pipeline.Stage{ID: "b"}, true))
		before.release()
		after.release()
	})
}

// Rejections by a full stage do not lengthen its block time.
func TestFullStageIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		for range 5 {
			require.Zero(t, p.recordRejection(pipeline.Stage{ID: "b"}, false))
			time.Sleep(rejectedBlock)
			require.False(t, p.fleet.Blocked("b", time.Now()))
		}
	})
}

// A stage that rejected a request of another instance is blocked without a rejection here.
func TestStageThatRejectedAnotherInstanceIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.recordPeerRejection("b", 1)
		p.recordPeerRejection("unknown", 1)
		require.True(t, p.fleet.Blocked("b", time.Now()))
		require.Equal(t, "c", p.acquireAvoiding().path()[1].ID)
	})
}

// Two instances are rejected by the same stage and report it to each other. A received
// report must not be sent again, or the stage would stay blocked forever.
func TestReceivedRejectionsAreNotReportedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newPool(), newPool()
		for range 2 {
			two.recordPeerRejection("b", one.recordRejection(pipeline.Stage{ID: "b"}, true))
			one.recordPeerRejection("b", two.recordRejection(pipeline.Stage{ID: "b"}, true))
		}
		time.Sleep(3 * time.Second)
		require.False(t, one.fleet.Blocked("b", time.Now()))
		require.False(t, two.fleet.Blocked("b", time.Now()))
	})
}

// A replica that crashed is listed again, without layers, before a stream through it is
// found lost, and still counts as a stage of the run. Only one that shut down is missing
// from the list.
func TestRestartedReplicasStillCountAsStages(t *testing.T) {
	p := newPool()
	g := p.acquireAvoiding("c")
	p.setReplicas([]roster.Entry{{ID: "a", Service: "s", StartTime: 2}})
	require.Equal(t, []poison.Process{{Replica: "a", StartTime: 1}}, p.listedProcesses(g.path()))
}

// A retried request waits for a replica that it does not avoid; a request behind it that
// may use all replicas is granted a path meanwhile.
func TestWaiterWithExclusionsIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.block("c", time.Minute, "test")
		first := make(chan *grant, 1)
		go func() { first <- p.acquireAvoiding("b") }()
		synctest.Wait()
		second := p.acquireAvoiding()
		require.NotNil(t, second, "granted although another request waits")
		second.release()
		require.Nil(t, <-first)
	})
}

// A request too large for the free memory waits. A smaller one behind it must not take the
// memory that becomes free.
func TestLargeWaiterIsNotOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.fleet.Model().Slots = 0 // so that memory is the limit
		p.block("c", time.Minute, "test")
		request := func(prompt float64) <-chan *grant {
			out := make(chan *grant, 1)
			it := &waitlist.Item{Arrival: time.Now(), RefuseAt: time.Now().Add(5 * time.Second)}
			go func() {
				out <- p.acquire(context.Background(), it, pipeline.Demand{Prompt: prompt}, pipeline.Constraint{})
			}()
			synctest.Wait()
			return out
		}
		const usual, large, small = 200_000, 500_000, 150_000
		var held []*grant
		for range 7 {
			held = append(held, <-request(usual))
		}
		first, second := request(large), request(small)
		require.Empty(t, first)
		require.Empty(t, second)
		held[0].release()
		synctest.Wait()
		require.Empty(t, first)
		require.Empty(t, second, "memory is kept for the request that arrived first")
		held[1].release()
		synctest.Wait()
		require.Len(t, first, 1)
		for _, g := range held[2:] {
			g.release()
		}
		require.NotNil(t, <-second)
	})
}

// Streams that leave a failed stage choose their new paths within a millisecond. Without reserving
// load at the choice, all chose the same stage, which then prefilled all their prompts one after
// another while the other one was idle.
func TestStreamsThatLeaveAStageSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		p.setReplicas([]roster.Entry{
			{ID: "a", Service: "s", Address: "a", Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: 0, To: 2}},
			{ID: "b", Service: "s", Address: "b", Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: 2, To: 4}},
		})
		var grants []*grant
		for range 8 {
			grants = append(grants, p.acquireAvoiding())
		}
		p.setReplicas([]roster.Entry{
			{ID: "a", Service: "s", Address: "a", Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: 0, To: 2}},
			{ID: "c", Service: "s", Address: "c", Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: 2, To: 4}},
			{ID: "d", Service: "s", Address: "d", Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: 2, To: 4}},
		})
		count := map[string]int{}
		var choices []pipeline.Choice
		for _, g := range grants {
			g.recordEvent(time.Now())
			c, ok := g.alternative(map[string]bool{"b": true}, time.Minute)
			require.True(t, ok)
			count[c.Path[1].ID]++
			choices = append(choices, c)
		}
		require.Equal(t, map[string]int{"c": 4, "d": 4}, count)
		for i, g := range grants {
			if i%2 == 0 {
				g.cancelAlternative(choices[i])
			} else {
				g.switchPath(choices[i])
				g.recordEvent(time.Now())
			}
			g.release()
		}
		for _, id := range []string{"a", "c", "d"} {
			require.Zero(t, p.fleet.State(id).Own, "%s: all load is released", id)
		}
	})
}

// A stage that does not respond was found by each stream for itself, from a report that is 0.2 s
// old. One stream that finds it must wake the others, except those whose events have just passed it.
func TestFailedStageWakesAllItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		through, avoiding, recent := p.acquireAvoiding("c"), p.acquireAvoiding("b"), p.acquireAvoiding("c")
		for range 5 {
			for _, g := range []*grant{through, avoiding, recent} {
				g.recordEvent(time.Now())
			}
			time.Sleep(35 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		recent.recordEvent(time.Now())
		p.markFailed(pipeline.Stage{ID: "b"}, unresponsiveBlock)
		require.Len(t, through.wake, 1)
		require.Empty(t, avoiding.wake)
		require.Equal(t, []string{"b"}, p.failedOn(through))
		require.Empty(t, p.failedOn(recent))
		time.Sleep(unresponsiveBlock)
		require.Empty(t, p.failedOn(through))
	})
}

// A replica that crashes rejects or resets its requests first. That it is blocked for these reasons
// must not hide that it was then found to be unresponsive, or neither the layout nor other instances
// learn of it until its entry expires, seconds later.
func TestBlockedReplicaCanStillBeFoundUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		var reported []string
		s := &stream{
			g:    &Gateway{opts: Options{OnUnresponsive: func(id string) { reported = append(reported, id) }}},
			call: &call{}, pool: p, excluded: map[string]bool{},
		}
		p.recordRejection(pipeline.Stage{ID: "b"}, true)
		s.markUnresponsive(pipeline.Stage{ID: "b"}, "no response to probes")
		s.markUnresponsive(pipeline.Stage{ID: "b"}, "no response to probes")
		require.Equal(t, []string{"b"}, reported, "reported once")
	})
}

// TestPathThatChangedAfterItWasGrantedIsNotUsed guards against a request that is sent over a path
// whose replicas have left or asked for a pause since it was granted.
func TestPathThatChangedAfterItWasGrantedIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		g := p.acquireAvoiding("c")
		defer g.release()
		require.True(t, g.mayGet(time.Now()))
		p.pause(g.path()[1], time.Second)
		require.False(t, g.mayGet(time.Now()))
		time.Sleep(2 * time.Second)
		require.True(t, g.mayGet(time.Now()))
		p.setReplicas([]roster.Entry{
			{ID: "a", Service: "s", Address: "a", Zone: "z", Kind: "k", StartTime: 1, Layers: &roster.Layers{From: 0, To: 2}},
			{ID: "b", Service: "s", Address: "b", Zone: "z", Kind: "k", StartTime: 2, Layers: &roster.Layers{From: 2, To: 4}},
		})
		require.False(t, g.mayGet(time.Now()), "b is another process")
	})
}
