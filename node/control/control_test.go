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
	// reads counts the reads of the history, polls those of the configuration.
	reads  int
	polls  int
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
	c.set(func() { c.polls++ })
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
