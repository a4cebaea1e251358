package control

import (
	"context"
	"errors"
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
	answer     gateway.OrderResult
	orders     []int64 // fencing tokens
	told       []int64 // generations that joins named
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

func (c configs) Newest(context.Context) (*routing.Config, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config, 0, c.check()
}

func (c configs) Next(ctx context.Context, cursor int64, wait time.Duration) ([]*routing.Config, []*Malformed, int64, error) {
	sleep(ctx, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	return []*routing.Config{c.config}, nil, cursor, c.check()
}

type replicas struct{ *world }

func (r replicas) Newest(context.Context) ([]roster.Entry, []*Malformed, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries, nil, 0, r.check()
}

func (r replicas) Next(context.Context, int64) ([]ReplicaChange, []*Malformed, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return nil, nil, 0, r.check()
}

func (w *world) Join(_ context.Context, _ time.Duration, generation int64) (Membership, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, generation)
	return Membership{Generation: w.generation, Duty: w.duty}, w.check()
}

func (w *world) Members(context.Context) ([]string, error) { return []string{"a", "b"}, nil }

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
	synctest.Test(t, func(t *testing.T) {
		g := gateway.New(gateway.Options{Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: gateway.NewMetrics(), Control: w})
		c := New(Options{Configs: configs{w}, Replicas: replicas{w}, Group: w, Orders: w, Gateway: g, Logger: zap.NewNop()})
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
		time.Sleep(500 * time.Millisecond)
		w.set(func() { w.generation = 8 })
		time.Sleep(2 * time.Second)
		w.set(func() { require.Equal(t, []int64{0, 7, 8}, w.told) })
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
