package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/roster"
	"masticbank.example/node/exchange"
	"masticbank.example/node/gateway"
)

func TestOlderConfigurationsAreIgnored(t *testing.T) {
	w := newWorld()
	run(t, w, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(time.Second)
		require.Equal(t, int64(3), g.Table().Version())
		older := *w.config
		older.Version = 2
		w.set(func() { w.config = &older })
		time.Sleep(10 * time.Second)
		require.Equal(t, int64(3), g.Table().Version())
		newer := older
		newer.Version = 5
		w.set(func() { w.config = &newer })
		time.Sleep(10 * time.Second)
		require.Equal(t, int64(5), g.Table().Version())
	})
}

// TestVersionsComeThoughAPollMissesThem has a store that answers a poll only when
// its time is over. Users allow 2 s from the acknowledgement of a version.
func TestVersionsComeThoughAPollMissesThem(t *testing.T) {
	w := newWorld()
	run(t, w, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(100 * time.Millisecond)
		newer := *w.config
		newer.Version = 4
		w.set(func() { w.config = &newer })
		time.Sleep(2 * time.Second)
		require.Equal(t, int64(4), g.Table().Version())
	})
}

// TestPeersBringAVersion has a poll that has just begun and misses a version, which a
// peer has in force.
func TestPeersBringAVersion(t *testing.T) {
	w := newWorld()
	var told []int64
	o := Options{
		Peers:    func() int { return peersEnough },
		OnConfig: func(version int64, _ []byte) { told = append(told, version) },
	}
	runWith(t, w, o, func(c *Control, g *gateway.Gateway) {
		time.Sleep(100 * time.Millisecond)
		c.TakeConfig([]byte("5"))
		require.Equal(t, int64(5), g.Table().Version())
		c.TakeConfig([]byte("4"))
		c.TakeConfig([]byte("unreadable"))
		require.Equal(t, int64(5), g.Table().Version(), "an older version changes nothing")
		require.Equal(t, []int64{3, 5}, told)
	})
}

// TestPollEndsWhenTheStoreIsBack lets the store go away during a long poll, whose
// connection may be lost with it.
func TestPollEndsWhenTheStoreIsBack(t *testing.T) {
	w := newWorld()
	runWith(t, w, Options{Peers: func() int { return peersEnough }}, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(100 * time.Millisecond)
		w.set(func() { w.away = true })
		time.Sleep(2 * time.Second)
		newer := *w.config
		newer.Version = 4
		w.set(func() { w.away, w.config = false, &newer })
		time.Sleep(configWait + time.Second)
		require.Equal(t, int64(4), g.Table().Version())
	})
}

// entryAt returns an update of the replica r.
func entryAt(offset, heartbeat int64, state roster.State) roster.Update {
	return roster.Update{ID: "r", Offset: offset, Entry: &roster.Entry{
		ID: "r", Service: "s", Address: "10.0.0.1:80", Zone: "z", Kind: "k", Born: 1, Sequence: heartbeat, State: state,
	}}
}

// drop empties a channel and returns how much was in it.
func drop(ch chan roster.Updates) int {
	n := len(ch)
	for range n {
		<-ch
	}
	return n
}

// TestOneReadsForAll has an instance with the duty that passes on what it reads:
// heartbeats only move the offset.
func TestOneReadsForAll(t *testing.T) {
	w := newWorld()
	passed := make(chan roster.Updates, 100)
	runWith(t, w, Options{OnUpdates: func(u roster.Updates) { passed <- u }}, func(*Control, *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		drop(passed)
		w.set(func() { w.history = append(w.history, entryAt(0, 2, roster.Ready), entryAt(1, 3, roster.Draining)) })
		time.Sleep(dutyInterval + 100*time.Millisecond)
		require.Equal(t, roster.Updates{From: 0, To: 2, List: w.history[1:]}, <-passed)
		drop(passed)
		time.Sleep(2 * time.Second)
		require.GreaterOrEqual(t, drop(passed), 4, "that there is nothing new is told too")
	})
}

func (c *Control) leaves(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, leaving, _ := c.roster.Get(id)
	return leaving
}

func (c *Control) knows(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.roster.Get(id)
	return ok
}

// TestOthersDoNotRead has an instance without the duty: it reads when nothing has
// been passed on for a second, so that a replica that leaves gets nothing new after
// 2 s in any case.
func TestOthersDoNotRead(t *testing.T) {
	w := newWorld()
	w.duty = false
	run(t, w, func(c *Control, g *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.reads = 0 })
		for range 10 {
			c.TakeUpdates(roster.Updates{})
			time.Sleep(dutyInterval)
		}
		w.set(func() { require.LessOrEqual(t, w.reads, 1, "the read that was due when the other one began") })
		c.TakeUpdates(roster.Updates{To: 1, List: []roster.Update{entryAt(0, 2, roster.Draining)}})
		require.True(t, c.leaves("r"))
		w.set(func() {
			w.reads = 0
			w.history = append(w.history, entryAt(0, 2, roster.Draining), roster.Update{ID: "r", Offset: 1})
		})
		time.Sleep(passedPatience + replicaInterval)
		require.False(t, c.knows("r"), "the silence of the other one is no reason to miss a change")
		w.set(func() { require.Positive(t, w.reads) })
	})
}

// TestOutagesCostFewCalls counts the reads of an outage: joins, which are cheap, find
// out when it ends.
func TestOutagesCostFewCalls(t *testing.T) {
	w := newWorld()
	w.duty = false
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.away, w.reads = true, 0 })
		time.Sleep(10 * time.Second)
		w.set(func() {
			require.LessOrEqual(t, w.reads, int(10*time.Second/readRetryInterval)+2)
			w.away, w.reads = false, 0
		})
		time.Sleep(retryInterval + 50*time.Millisecond)
		w.set(func() { require.Positive(t, w.reads, "read as soon as a join is answered") })
	})
}

// TestFewReadWhenNobodyPassesOn replays the loss of the instance with the duty among
// thirty: the first that reads passes on, so that reads do not grow with the instances.
func TestFewReadWhenNobodyPassesOn(t *testing.T) {
	const instances = 30
	w := newWorld()
	w.duty = false
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		all := make([]*Control, instances)
		var g errgroup.Group
		for i := range all {
			gw := gateway.New(gateway.Options{Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: gateway.NewMetrics(), Control: w})
			all[i] = New(Options{
				Configs: configs{w}, Replicas: replicas{w}, Group: w, Orders: w, Gateway: gw, Logger: zap.NewNop(),
				Peers: func() int { return instances - 1 },
				OnUpdates: func(u roster.Updates) {
					for k, other := range all {
						if k != i {
							other.TakeUpdates(u)
						}
					}
				},
			})
		}
		for _, c := range all {
			g.Go(func() error { return c.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		w.set(func() { w.reads = 0 })
		time.Sleep(20 * time.Second)
		w.set(func() {
			require.LessOrEqual(t, w.reads, 2*20, "two in a second for all together")
			require.GreaterOrEqual(t, w.reads, 20/2, "and one in two seconds at least")
		})
		cancel()
		require.NoError(t, g.Wait())
	})
}

// TestOthersFollowTheConfiguration has an instance whose peers follow it: it polls when
// its turn comes, and once in a minute.
func TestOthersFollowTheConfiguration(t *testing.T) {
	w := newWorld()
	var turn atomic.Bool
	runWith(t, w, Options{Peers: func() int { return 94 }, Reads: turn.Load}, func(*Control, *gateway.Gateway) {
		time.Sleep(20 * time.Second)
		w.set(func() { require.Zero(t, w.polls) })
		turn.Store(true)
		time.Sleep(2 * turnInterval)
		w.set(func() { require.Equal(t, 1, w.polls) })
		turn.Store(false)
		time.Sleep(2*configUnread + configWait)
		w.set(func() { require.InDelta(t, 3, w.polls, 1) })
	})
}

// TestPeersTellOfRemovalsAfterAnOutage has the store turn this instance away and come back.
// An entry that is removed then might come back, but another instance, which has had the
// store all the while, says that it is gone.
func TestPeersTellOfRemovalsAfterAnOutage(t *testing.T) {
	w := newWorld()
	w.duty = false
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.away = true })
		time.Sleep(3 * time.Second)
		w.set(func() { w.away = false })
		time.Sleep(time.Second)
		c.TakeUpdates(roster.Updates{To: 1, List: []roster.Update{{ID: "r"}}})
		require.False(t, c.leaves("r"), "it may come back")
		c.Removed("r")
		require.True(t, c.leaves("r"))
	})
}

// TestEntriesThatDoNotComeBackAreDroppedInTime has another instance pass on what it reads
// while the time to come back ends.
func TestEntriesThatDoNotComeBackAreDroppedInTime(t *testing.T) {
	w := newWorld()
	w.duty = false
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.away = true })
		time.Sleep(3 * time.Second)
		w.set(func() { w.away = false })
		back := time.Now()
		c.TakeUpdates(roster.Updates{To: 1, List: []roster.Update{{ID: "r"}}})
		for time.Since(back) < 2900*time.Millisecond {
			c.TakeUpdates(roster.Updates{From: 1, To: 1})
			time.Sleep(dutyInterval / 4)
		}
		require.False(t, c.knows("r"), "2.5 s after the store is back, and a join and a look later")
	})
}
