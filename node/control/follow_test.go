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
	w := newFakePlatform()
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

// The store responds to a poll only when its wait is over. A version must be in force 2 s
// after it was acknowledged.
func TestMissedVersionIsReadWithinTwoSeconds(t *testing.T) {
	w := newFakePlatform()
	run(t, w, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(100 * time.Millisecond)
		newer := *w.config
		newer.Version = 4
		w.set(func() { w.config = &newer })
		time.Sleep(2 * time.Second)
		require.Equal(t, int64(4), g.Table().Version())
	})
}

// A poll that has just begun misses a version, which a peer has in force.
func TestConfigurationFromPeer(t *testing.T) {
	w := newFakePlatform()
	var published []int64
	o := Options{
		Peers:    func() int { return minPeersForConfig },
		OnConfig: func(version int64, _ []byte) { published = append(published, version) },
	}
	runWith(t, w, o, func(c *Control, g *gateway.Gateway) {
		time.Sleep(100 * time.Millisecond)
		c.ApplyConfig([]byte("5"))
		require.Equal(t, int64(5), g.Table().Version())
		c.ApplyConfig([]byte("4"))
		c.ApplyConfig([]byte("unreadable"))
		require.Equal(t, int64(5), g.Table().Version(), "an older version changes nothing")
		require.Equal(t, []int64{3, 5}, published)
	})
}

// The store becomes unavailable during a long poll, whose connection may be lost with it.
func TestPollEndsAfterOutage(t *testing.T) {
	w := newFakePlatform()
	runWith(t, w, Options{Peers: func() int { return minPeersForConfig }}, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(100 * time.Millisecond)
		w.set(func() { w.unavailable = true })
		time.Sleep(2 * time.Second)
		newer := *w.config
		newer.Version = 4
		w.set(func() { w.unavailable, w.config = false, &newer })
		time.Sleep(configPollWait + time.Second)
		require.Equal(t, int64(4), g.Table().Version())
	})
}

// entryAt returns an update of the replica r.
func entryAt(offset, heartbeat int64, state roster.State) roster.Update {
	return roster.Update{ID: "r", Offset: offset, Entry: &roster.Entry{
		ID: "r", Service: "s", Address: "10.0.0.1:80", Zone: "z", Kind: "k", StartTime: 1, Sequence: heartbeat, State: state,
	}}
}

// drainUpdates empties a channel and returns how many updates it held.
func drainUpdates(ch chan roster.Updates) int {
	n := len(ch)
	for range n {
		<-ch
	}
	return n
}

// The leader relays what it reads. Mere heartbeats only advance the offset.
func TestLeaderPublishesUpdates(t *testing.T) {
	w := newFakePlatform()
	published := make(chan roster.Updates, 100)
	runWith(t, w, Options{OnUpdates: func(u roster.Updates) { published <- u }}, func(*Control, *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		drainUpdates(published)
		w.set(func() { w.history = append(w.history, entryAt(0, 2, roster.Ready), entryAt(1, 3, roster.Draining)) })
		time.Sleep(leaderReadInterval + 100*time.Millisecond)
		require.Equal(t, roster.Updates{From: 0, To: 2, List: w.history[1:]}, <-published)
		drainUpdates(published)
		time.Sleep(2 * time.Second)
		require.GreaterOrEqual(t, drainUpdates(published), 4, "empty updates are published too")
	})
}

func (c *Control) isLeaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, leaving, _ := c.roster.Get(id)
	return leaving
}

func (c *Control) isListed(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.roster.Get(id)
	return ok
}

// An instance that is not the leader reads only when nothing has been relayed for a
// second. A replica that shuts down then gets no new requests after 2 s in any case.
func TestFollowersReadOnlyWithoutUpdates(t *testing.T) {
	w := newFakePlatform()
	w.leader = false
	run(t, w, func(c *Control, g *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.reads = 0 })
		for range 10 {
			c.ApplyUpdates(roster.Updates{})
			time.Sleep(leaderReadInterval)
		}
		w.set(func() { require.LessOrEqual(t, w.reads, 1, "the read that was due when the leader began") })
		c.ApplyUpdates(roster.Updates{To: 1, List: []roster.Update{entryAt(0, 2, roster.Draining)}})
		require.True(t, c.isLeaving("r"))
		w.set(func() {
			w.reads = 0
			w.history = append(w.history, entryAt(0, 2, roster.Draining), roster.Update{ID: "r", Offset: 1})
		})
		time.Sleep(relayedReadTimeout + replicaInterval)
		require.False(t, c.isListed("r"), "changes are read although the leader is unresponsive")
		w.set(func() { require.Positive(t, w.reads) })
	})
}

// During an outage only joins, which are cheap, probe the store often; reads are rare.
func TestFewReadsDuringOutage(t *testing.T) {
	w := newFakePlatform()
	w.leader = false
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.unavailable, w.reads = true, 0 })
		time.Sleep(10 * time.Second)
		w.set(func() {
			require.LessOrEqual(t, w.reads, int(10*time.Second/readRetryInterval)+2)
			w.unavailable, w.reads = false, 0
		})
		time.Sleep(joinRetryInterval + 50*time.Millisecond)
		w.set(func() { require.Positive(t, w.reads, "read as soon as a join succeeds") })
	})
}

// The leader of thirty instances fails. The first instance that reads relays its updates,
// so the number of reads does not grow with the instances.
func TestFewReadsWithoutLeader(t *testing.T) {
	const instances = 30
	w := newFakePlatform()
	w.leader = false
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		all := make([]*Control, instances)
		var g errgroup.Group
		for i := range all {
			gw := gateway.New(gateway.Options{Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: gateway.NewMetrics(), Control: w})
			all[i] = New(Options{
				Configs: configs{w}, Replicas: replicas{w}, Group: w, ReplicaControl: w, Gateway: gw, Logger: zap.NewNop(),
				Peers: func() int { return instances - 1 },
				OnUpdates: func(u roster.Updates) {
					for k, other := range all {
						if k != i {
							other.ApplyUpdates(u)
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
			require.LessOrEqual(t, w.reads, 2*20, "at most two per second for all together")
			require.GreaterOrEqual(t, w.reads, 20/2, "at least one in two seconds")
		})
		cancel()
		require.NoError(t, g.Wait())
	})
}

// An instance whose peers follow the configuration polls only while it is a designated
// reader, and once a minute.
func TestDesignatedReadersPollConfiguration(t *testing.T) {
	w := newFakePlatform()
	var turn atomic.Bool
	runWith(t, w, Options{Peers: func() int { return 94 }, IsDesignatedReader: turn.Load}, func(*Control, *gateway.Gateway) {
		time.Sleep(20 * time.Second)
		w.set(func() { require.Zero(t, w.polls) })
		turn.Store(true)
		time.Sleep(2 * readerCheckInterval)
		w.set(func() { require.Equal(t, 1, w.polls) })
		turn.Store(false)
		time.Sleep(2*maxConfigReadInterval + configPollWait)
		w.set(func() { require.InDelta(t, 3, w.polls, 1) })
	})
}

// The store is unavailable to this instance and returns. An entry that is removed then
// might come back, but another instance that has had access to the store all along reports
// its removal.
func TestRemovalReportedByPeerAfterOutage(t *testing.T) {
	w := newFakePlatform()
	w.leader = false
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.unavailable = true })
		time.Sleep(3 * time.Second)
		w.set(func() { w.unavailable = false })
		time.Sleep(time.Second)
		c.ApplyUpdates(roster.Updates{To: 1, List: []roster.Update{{ID: "r"}}})
		require.False(t, c.isLeaving("r"), "it may come back")
		c.ApplyPeerRemoval("r")
		require.True(t, c.isLeaving("r"))
	})
}

// Another instance relays its updates while the time for entries to return after an outage
// expires.
func TestMissingEntriesExpireAfterOutage(t *testing.T) {
	w := newFakePlatform()
	w.leader = false
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(2 * time.Second)
		w.set(func() { w.unavailable = true })
		time.Sleep(3 * time.Second)
		w.set(func() { w.unavailable = false })
		back := time.Now()
		c.ApplyUpdates(roster.Updates{To: 1, List: []roster.Update{{ID: "r"}}})
		for time.Since(back) < 2900*time.Millisecond {
			c.ApplyUpdates(roster.Updates{From: 1, To: 1})
			time.Sleep(leaderReadInterval / 4)
		}
		require.False(t, c.isListed("r"), "2.5 s after the store returns, plus a join and a check")
	})
}
