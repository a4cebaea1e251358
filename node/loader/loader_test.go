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

// fakeEngines is an engine client with simulated engines. The embedded Client is nil,
// as no other method should be called.
type fakeEngines struct {
	engine.Client

	mu              sync.Mutex
	states          map[string]wire.EngineState
	orders          []wire.LayerAssignment
	responsesToLose int  // number of next orders that take effect without a response
	maxLoads        int  // maximum number of concurrent loads; 0 means no limit
	peakLoads       int  // highest number of concurrent loads
	reportDown      bool // withDown marks unresponsive engines as down
}

func (e *fakeEngines) State(_ context.Context, t engine.Target) (*wire.EngineState, error) {
	time.Sleep(readTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.states[t.ID]
	if !ok {
		return nil, &engine.CallError{Code: engine.CodeTimeout}
	}
	return &s, nil
}

func (e *fakeEngines) AssignLayers(_ context.Context, t engine.Target, o *wire.LayerAssignment) (*wire.LayerAssignmentResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, *o)
	if e.maxLoads > 0 && e.loading() >= e.maxLoads {
		return nil, &engine.CallError{Proof: engine.ProofRefused, Code: wire.CodeOverloaded}
	}
	s := e.states[t.ID]
	s.Model, s.Version, s.FirstLayer, s.LastLayer, s.Loading = o.Model, o.Version, o.FirstLayer, o.LastLayer, true
	e.states[t.ID] = s
	e.peakLoads = max(e.peakLoads, e.loading())
	time.AfterFunc(loadTime, func() { e.loaded(t.ID) })
	if e.responsesToLose > 0 {
		e.responsesToLose--
		return nil, &engine.CallError{Code: engine.CodeTimeout, Err: errors.New("response lost")}
	}
	return &wire.LayerAssignmentResponse{Accepted: true, Fence: o.Fence}, nil
}

func (e *fakeEngines) loaded(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[id]
	s.Loading = false
	e.states[id] = s
}

// stopResponding makes an engine unresponsive and returns its state.
func (e *fakeEngines) stopResponding(id string) wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[id]
	delete(e.states, id)
	return s
}

// withDown returns a copy of targets. If e.reportDown is set, unresponsive engines are
// marked as down in it.
func (e *fakeEngines) withDown(targets []Engine) []Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(targets)
	for i := range out {
		_, ok := e.states[out[i].Target.ID]
		out[i].Down = e.reportDown && !ok
	}
	return out
}

// resumeResponding makes an engine respond again, with the given state.
func (e *fakeEngines) resumeResponding(id string, s wire.EngineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = s
}

func (e *fakeEngines) loading() int {
	n := 0
	for _, s := range e.states {
		if s.Loading {
			n++
		}
	}
	return n
}

// fakeKeeper reports this instance as the leader for the next queriesLeft queries, or
// always if that is negative.
type fakeKeeper struct {
	mu          sync.Mutex
	queriesLeft int
}

func (k *fakeKeeper) Valid(string) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queriesLeft--
	return 7, k.queriesLeft != -1
}

// start runs a loader for two layer ranges with two replicas each. The replicas hold
// version 1 and the configuration requires version 2.
func start(ctx context.Context, e *fakeEngines, k Keeper, maxLoads int) (l *Loader, done chan error) {
	e.states = map[string]wire.EngineState{}
	var targets []Engine
	for i, id := range []string{"x0", "x1", "y0", "y1"} {
		first := i / 2 * 4
		e.states[id] = wire.EngineState{Model: "m", Version: "1", FirstLayer: first, LastLayer: first + 3}
		targets = append(targets, Engine{Target: engine.Target{ID: id}})
	}
	l = New(Options{
		Engines: e, Keeper: k, MaxLoads: maxLoads, Period: time.Second,
		Targets: func() []Engine { return e.withDown(targets) },
		Models: func() map[string]config.ModelConfig {
			return map[string]config.ModelConfig{"m": {Layers: 8, Version: "2"}}
		},
	})
	done = make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	return l, done
}

// All engines get the new version although responses are lost and the weight store
// allows fewer concurrent loads than configured. Every order has the epoch as fence.
func TestLoadsDespiteLostResponsesAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngines{responsesToLose: 2, maxLoads: 1}
		l, done := start(ctx, e, &fakeKeeper{queriesLeft: -1}, 3)
		time.Sleep(3 * loadTime)
		require.Less(t, l.Status().MaxLoads, 3)
		time.Sleep(20 * loadTime)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		s := l.Status()
		require.Zero(t, s.Outdated)
		require.Empty(t, s.Shortages)
		require.Equal(t, uint64(7), s.Epoch)
		require.Equal(t, 1, e.peakLoads)
		for id, state := range e.states {
			require.Equal(t, "2", state.Version, id)
		}
		for _, o := range e.orders {
			require.Equal(t, uint64(7), o.Fence)
		}
	})
}

// No orders are sent after this instance has lost leadership. The fake keeper ends it
// after the first order.
func TestChecksLeadershipBeforeEachOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngines{}
		_, done := start(ctx, e, &fakeKeeper{queriesLeft: 2}, 3)
		time.Sleep(readTime + time.Millisecond)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		require.Len(t, e.orders, 1)
	})
}

// An unresponsive engine is replaced only if it stays unresponsive or is known to be
// down. After this instance became the leader, nothing is decided before all listed
// engines have responded or may count as down.
func TestUnresponsiveEngines(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { checkUnresponsiveEngines(t, down) })
	}
}

func checkUnresponsiveEngines(t *testing.T, down bool) {
	ctx, cancel := context.WithCancel(t.Context())
	e := &fakeEngines{}
	l, done := start(ctx, e, &fakeKeeper{queriesLeft: -1}, 1)
	hidden := e.stopResponding("x0")
	time.Sleep(2 * time.Second)
	require.Empty(t, e.orders)
	e.resumeResponding("x0", hidden)
	time.Sleep(30 * loadTime)
	require.Equal(t, 4, l.Status().Engines)
	x0, x1 := e.stopResponding("x0"), e.stopResponding("x1")
	sent := l.Status().Sent
	time.Sleep(2 * time.Second)
	require.Equal(t, 2, l.Status().Unresponsive)
	require.Equal(t, sent, l.Status().Sent)
	if down {
		e.mu.Lock()
		e.reportDown = true
		e.mu.Unlock()
		time.Sleep(l.opts.Period)
		require.Greater(t, l.Status().Sent, sent)
	}
	time.Sleep(2 * time.Second)
	y0, y1 := e.stopResponding("y0"), e.stopResponding("y1")
	require.NotEqual(t, y0.FirstLayer, y1.FirstLayer)
	e.resumeResponding("y0", y0)
	e.resumeResponding("y1", y1)
	e.resumeResponding("x0", x0)
	e.resumeResponding("x1", x1)
	time.Sleep(stateExpiry)
	require.Empty(t, l.Status().Shortages)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}
