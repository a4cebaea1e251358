package control

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/node/exchange"
	"masticbank.example/node/gateway"
)

// world is a store, a group and replicas without sockets.
type world struct {
	mu         sync.Mutex
	away       bool
	config     *routing.Config
	entries    []roster.Entry
	duty       bool
	generation int64
	left       bool
	members    []string
	history    []roster.Update
	// reads counts the reads of the history.
	reads  int
	answer gateway.OrderResult
	orders []int64 // fencing tokens
	told   []int64 // generations that joins named
}

var errAway = errors.New("away")

func (w *world) check() error {
	if w.away {
		return errAway
	}
	return nil
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) tokens() []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]int64(nil), w.orders...)
}

type configs struct{ *world }

func (c configs) Newest(context.Context) (*Published, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Published{Config: c.config}, 0, c.check()
}

// Next answers when the wait is over, so that each version is missed by one poll.
func (c configs) Next(ctx context.Context, cursor int64, wait time.Duration) ([]*Published, []*Malformed, int64, error) {
	sleep(ctx, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	return []*Published{{Config: c.config}}, nil, cursor, errors.Join(c.check(), ctx.Err())
}

// Decode takes a version in decimal digits.
func (c configs) Decode(content []byte) (*Published, error) {
	version, err := strconv.ParseInt(string(content), 10, 64)
	if err != nil {
		return nil, &Malformed{Key: "config", Err: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := *c.config
	cfg.Version = version
	return &Published{Config: &cfg, Content: content}, nil
}

type replicas struct{ *world }

func (r replicas) Newest(context.Context) ([]roster.Entry, []*Malformed, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries, nil, 0, r.check()
}

func (r replicas) Next(_ context.Context, cursor int64) (roster.Updates, []*Malformed, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	u := roster.Updates{From: cursor, To: int64(len(r.history))}
	u.List = r.history[min(cursor, u.To):]
	return u, nil, r.check()
}

func (w *world) Join(_ context.Context, _ time.Duration, generation int64) (Membership, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, generation)
	return Membership{Generation: w.generation, Duty: w.duty}, w.check()
}

func (w *world) Members(context.Context) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members, w.check()
}

func (w *world) Leave(context.Context) error {
	w.set(func() { w.left = true })
	return nil
}

func (w *world) Report(context.Context, gateway.Replica) (gateway.Report, error) {
	return gateway.Report{}, errAway
}

func (w *world) Place(_ context.Context, _ gateway.Replica, _, _ int, fence int64) (gateway.OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, fence)
	return w.answer, nil
}

func (w *world) Repath(context.Context, gateway.Replica, string, pipeline.Path) (gateway.OrderResult, error) {
	return gateway.OrderResult{}, errAway
}

func newWorld() *world {
	m := &pipeline.Model{
		Layers: 4, LayerMB: 100, KVTokenBytes: 1000, LoadSeconds: 1,
		Kinds: map[string]pipeline.Kind{"k": {Name: "k", MemoryMB: 1000, StepFactor: 1, ReadFactor: 1}},
	}
	return &world{
		config:     &routing.Config{Version: 3, Services: []routing.Service{{Name: "s", Model: m}}},
		entries:    []roster.Entry{{ID: "r", Service: "s", Address: "10.0.0.1:80", Zone: "z", Kind: "k", Born: 1, Sequence: 1}},
		duty:       true,
		generation: 7,
	}
}

// run starts a control in a bubble of virtual time and calls f.
func run(t *testing.T, w *world, f func(c *Control, g *gateway.Gateway)) {
	runWith(t, w, Options{}, f)
}

func runWith(t *testing.T, w *world, o Options, f func(c *Control, g *gateway.Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		g := gateway.New(gateway.Options{Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: gateway.NewMetrics(), Control: w})
		o.Configs, o.Replicas, o.Group, o.Orders, o.Gateway, o.Logger = configs{w}, replicas{w}, w, w, g, zap.NewNop()
		c := New(o)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		f(c, g)
		cancel()
		require.NoError(t, <-done)
	})
	require.True(t, w.left, "a control that ends leaves its group")
}

func TestLayersAreOrderedUnderTheGeneration(t *testing.T) {
	w := newWorld()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		require.True(t, c.Ready())
		require.Equal(t, []int64{7}, w.tokens())
	})
}

// TestFencedHolderStops has a replica that saw a higher token: this one must not
// be used again, a later one may.
func TestFencedHolderStops(t *testing.T) {
	w := newWorld()
	w.answer = gateway.OrderResult{Status: gateway.OrderFenced}
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(time.Minute)
		require.Equal(t, []int64{7}, w.tokens())
		w.set(func() {
			w.generation = 9
			w.answer = gateway.OrderResult{}
		})
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(9), w.tokens()[1])
	})
}

func TestWithoutTheDutyNothingIsOrdered(t *testing.T) {
	w := newWorld()
	w.duty = false
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(time.Minute)
		require.Empty(t, w.tokens())
	})
}

// TestDutyEndsWithTheOutageOrAnotherHolder lets the store go away: the duty goes
// on for a while, and not against a peer with a later generation.
func TestDutyEndsWithTheOutageOrAnotherHolder(t *testing.T) {
	w := newWorld()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		w.set(func() { w.away = true })
		time.Sleep(6 * time.Second)
		require.Equal(t, int64(7), c.DutyGeneration())
		time.Sleep(30 * time.Second)
		require.Zero(t, c.DutyGeneration(), "after a long outage the view is too old")
		w.set(func() { w.away = false })
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(7), c.DutyGeneration())
		w.set(func() { w.away = true })
		time.Sleep(time.Second)
		c.OtherDuty(8)
		require.Zero(t, c.DutyGeneration())
	})
}

func TestRetiredInstancesGiveTheDutyBack(t *testing.T) {
	w := newWorld()
	run(t, w, func(c *Control, _ *gateway.Gateway) {
		time.Sleep(3 * time.Second)
		c.Retire()
		time.Sleep(time.Second)
		require.Zero(t, c.DutyGeneration())
		w.set(func() { w.entries = nil })
		require.True(t, w.left)
	})
}

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

// TestSuspectsReturnWithTheirHeartbeats leaves a silent replica out until two more
// heartbeats have come.
func TestSuspectsReturnWithTheirHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Logger: zap.NewNop()})
	e := roster.Entry{ID: "r", Born: 1, Sequence: 4}
	c.suspects["r"] = suspicion{born: 1, heartbeat: 4, until: now.Add(time.Minute)}
	require.True(t, c.suspected(now, e))
	e.Sequence = 5
	require.True(t, c.suspected(now, e))
	e.Sequence = 6
	require.False(t, c.suspected(now, e))
	require.False(t, c.suspected(now, roster.Entry{ID: "r", Born: 1, Sequence: 4}))
}

// TestJoinsNameTheLastGeneration changes the generation: until a member names it,
// the store does not hand what the member gave up to another one.
func TestJoinsNameTheLastGeneration(t *testing.T) {
	w := newWorld()
	run(t, w, func(*Control, *gateway.Gateway) {
		time.Sleep(changedJoinInterval / 2)
		w.set(func() { w.generation = 8 })
		time.Sleep(3*changedJoinInterval + changedJoinInterval/4)
		w.set(func() { require.Equal(t, []int64{0, 7, 8, 8}, w.told) })
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

// TestNumberOfInstancesCountsWhenItIsStable has the whole system start at once: the
// first list has only some members.
func TestNumberOfInstancesCountsWhenItIsStable(t *testing.T) {
	w := newWorld()
	w.members = []string{"a"}
	run(t, w, func(_ *Control, g *gateway.Gateway) {
		time.Sleep(changedJoinInterval / 2)
		require.Zero(t, g.Instances())
		w.set(func() { w.generation, w.members = 8, []string{"a", "b", "c"} })
		time.Sleep(joinInterval)
		require.Zero(t, g.Instances())
		time.Sleep(startMemberInterval + joinInterval)
		require.Equal(t, 3, g.Instances())
	})
}
