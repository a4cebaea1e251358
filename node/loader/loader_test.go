package loader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"masticbank.example/core/config"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	loadTime = 3 * time.Second
	readTime = 10 * time.Millisecond
)

// engines is a fake of all engines. The embedded Client is nil: no other call is
// expected.
type engines struct {
	engine.Client

	mu     sync.Mutex
	states map[string]wire.EngineState
	orders []wire.Order
	lost   int // next orders that take effect without an answer
	gives  int // loads at once that the store gives; 0 means no bound
	peak   int
	down   bool // traffic says that hidden engines are down
}

func (e *engines) State(_ context.Context, t engine.Target) (*wire.EngineState, error) {
	time.Sleep(readTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.states[t.ID]
	if !ok {
		return nil, &engine.CallError{Code: engine.CodeTimeout}
	}
	return &s, nil
}

func (e *engines) Order(_ context.Context, t engine.Target, o *wire.Order) (*wire.OrderResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, *o)
	if e.gives > 0 && e.loading() >= e.gives {
		return nil, &engine.CallError{Proof: engine.ProofRefused, Code: wire.CodeOverloaded}
	}
	s := e.states[t.ID]
	s.Model, s.Version, s.FirstLayer, s.LastLayer, s.Loading = o.Model, o.Version, o.FirstLayer, o.LastLayer, true
	e.states[t.ID] = s
	e.peak = max(e.peak, e.loading())
	time.AfterFunc(loadTime, func() { e.loaded(t.ID) })
	if e.lost > 0 {
		e.lost--
		return nil, &engine.CallError{Code: engine.CodeTimeout, Err: errors.New("answer lost")}
	}
	return &wire.OrderResponse{Accepted: true, Fence: o.Fence}, nil
}

func (e *engines) loaded(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[id]
	s.Loading = false
	e.states[id] = s
}

// hide lets an engine go silent and returns its state.
func (e *engines) hide(id string) wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[id]
	delete(e.states, id)
	return s
}

// listed returns the targets with what traffic says about them.
func (e *engines) listed(targets []Engine) []Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(targets)
	for i := range out {
		_, ok := e.states[out[i].Target.ID]
		out[i].Down = e.down && !ok
	}
	return out
}

func (e *engines) show(id string, s wire.EngineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = s
}

func (e *engines) loading() int {
	n := 0
	for _, s := range e.states {
		if s.Loading {
			n++
		}
	}
	return n
}

// keeper holds the duty for a number of questions; below 0 for good.
type keeper struct {
	mu   sync.Mutex
	left int
}

func (k *keeper) Valid(string) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left--
	return 7, k.left != -1
}

// start runs a loader for two replicas of two ranges, of which version 2 is
// wanted.
func start(ctx context.Context, e *engines, k Keeper, maxLoads int) (l *Loader, done chan error) {
	e.states = map[string]wire.EngineState{}
	var targets []Engine
	for i, id := range []string{"x0", "x1", "y0", "y1"} {
		first := i / 2 * 4
		e.states[id] = wire.EngineState{Model: "m", Version: "1", FirstLayer: first, LastLayer: first + 3}
		targets = append(targets, Engine{Target: engine.Target{ID: id}})
	}
	l = New(Options{
		Engines: e, Keeper: k, MaxLoads: maxLoads, Period: time.Second,
		Targets: func() []Engine { return e.listed(targets) },
		Wanted: func() map[string]config.ModelConfig {
			return map[string]config.ModelConfig{"m": {Layers: 8, Version: "2"}}
		},
	})
	done = make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	return l, done
}

// All engines get the new version although answers are lost and the store gives
// fewer loads than is set; every order carries the epoch.
func TestLoadsInSpiteOfLostAnswersAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &engines{lost: 2, gives: 1}
		l, done := start(ctx, e, &keeper{left: -1}, 3)
		time.Sleep(3 * loadTime)
		require.Less(t, l.Status().MaxLoads, 3)
		time.Sleep(20 * loadTime)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		s := l.Status()
		require.Zero(t, s.Outdated)
		require.Empty(t, s.Short)
		require.Equal(t, uint64(7), s.Epoch)
		require.Equal(t, 1, e.peak)
		for id, state := range e.states {
			require.Equal(t, "2", state.Version, id)
		}
		for _, o := range e.orders {
			require.Equal(t, uint64(7), o.Fence)
		}
	})
}

// A duty that ends while the engines are read sends nothing.
func TestChecksDutyBeforeEachOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &engines{}
		_, done := start(ctx, e, &keeper{left: 2}, 3)
		time.Sleep(readTime + time.Millisecond)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		require.Len(t, e.orders, 1)
	})
}

// A silent engine is not replaced at once, but when it stays silent or is known to
// be down; all listed engines are awaited when the duty begins.
func TestSilentEngines(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { checkSilentEngines(t, down) })
	}
}

func checkSilentEngines(t *testing.T, down bool) {
	ctx, cancel := context.WithCancel(t.Context())
	e := &engines{}
	l, done := start(ctx, e, &keeper{left: -1}, 1)
	hidden := e.hide("x0")
	time.Sleep(2 * time.Second)
	require.Empty(t, e.orders)
	e.show("x0", hidden)
	time.Sleep(30 * loadTime)
	require.Equal(t, 4, l.Status().Engines)
	x0, x1 := e.hide("x0"), e.hide("x1")
	sent := l.Status().Sent
	time.Sleep(2 * time.Second)
	require.Equal(t, 2, l.Status().Silent)
	require.Equal(t, sent, l.Status().Sent)
	if down {
		e.mu.Lock()
		e.down = true
		e.mu.Unlock()
		time.Sleep(l.opts.Period)
		require.Greater(t, l.Status().Sent, sent)
	}
	time.Sleep(2 * time.Second)
	y0, y1 := e.hide("y0"), e.hide("y1")
	require.NotEqual(t, y0.FirstLayer, y1.FirstLayer)
	e.show("y0", y0)
	e.show("y1", y1)
	e.show("x0", x0)
	e.show("x1", x1)
	time.Sleep(forgetAfter)
	require.Empty(t, l.Status().Short)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}
