package local

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/config"
	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/loader"
	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
	"masticbank.example/standin/fleet"
	"masticbank.example/standin/weights"
)

const (
	loaderPeriod  = 50 * time.Millisecond
	loaderTimeout = 20 * time.Second
	maxLoads      = 2
)

// holder is a duty.Keeper in place of the log's.
type holder struct {
	epoch uint64
	ended atomic.Bool
}

func (h *holder) Valid(string) (uint64, bool) { return h.epoch, !h.ended.Load() }

// loading is a set of stand-ins with loaders that order their engines.
type loading struct {
	*fleet.Fleet
	client  *httpjson.Client
	version atomic.Value
}

func startLoading(t *testing.T, fencing bool) *loading {
	t.Helper()
	spec := fleet.Dev()
	spec.Fencing = fencing
	spec.Weights = weights.Options{MaxConcurrent: maxLoads, BytesPerLayer: 64 << 10, BytesPerSecond: 4 << 20}
	f, err := fleet.Start(spec)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	l := &loading{Fleet: f, client: httpjson.New()}
	l.version.Store("1")
	return l
}

// run starts a loader, which ends with the test.
func (l *loading) run(t *testing.T, h *holder) *loader.Loader {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := loader.New(loader.Options{
		Engines: l.client, Keeper: h, Targets: l.targets, MaxLoads: maxLoads, Period: loaderPeriod,
		Wanted: func() map[string]config.ModelConfig {
			return map[string]config.ModelConfig{"dev": {Layers: 12, Version: l.version.Load().(string)}}
		},
	})
	done := make(chan error, 1)
	go func() { done <- o.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
	return o
}

func (l *loading) targets() []loader.Engine {
	var out []loader.Engine
	for _, e := range l.Engines() {
		o := e.Options()
		out = append(out, loader.Engine{
			Target: l.target(o.ID), Zone: o.Zone, Accelerator: o.Accelerator, Units: o.Slots,
		})
	}
	return out
}

func (l *loading) target(id string) engine.Target {
	return engine.Target{ID: id, Address: l.Addresses().Upstreams[id]}
}

// states returns what the engines hold, without those that are crashed.
func (l *loading) states(crashed ...string) map[string]wire.EngineState {
	out := map[string]wire.EngineState{}
	for _, e := range l.Engines() {
		if id := e.Options().ID; !slices.Contains(crashed, id) {
			out[id] = e.State()
		}
	}
	return out
}

// tiled tells whether loaded engines of the version cover all layers exactly.
func tiled(states map[string]wire.EngineState, version string) bool {
	reached := map[int]bool{0: true}
	for layer := range 12 {
		for _, s := range states {
			if reached[layer] && s.FirstLayer == layer && s.Version == version && !s.Loading {
				reached[s.LastLayer+1] = true
			}
		}
	}
	return reached[12]
}

// TestLostRangeComesBack crashes all replicas of a range, which no other
// accelerator can hold whole.
func TestLostRangeComesBack(t *testing.T) {
	l := startLoading(t, true)
	o := l.run(t, &holder{epoch: 1})
	require.Eventually(t, func() bool { return o.Status().Engines == 6 }, loaderTimeout, loaderPeriod)
	lost := []string{"dev-4-8-m0", "dev-4-8-m1"}
	begin := time.Now()
	for _, id := range lost {
		require.NoError(t, l.Inject(fault.Fault{Instance: id, Kind: fault.Crash}))
	}
	require.False(t, tiled(l.states(lost...), "1"))
	require.Eventually(t, func() bool { return tiled(l.states(lost...), "1") }, loaderTimeout, loaderPeriod/10)
	t.Logf("the lost range was served again after %v", time.Since(begin).Round(time.Millisecond))
	require.LessOrEqual(t, l.Weights().Counts().Peak, maxLoads)
	require.Zero(t, l.Weights().Counts().Refused)
}

// TestVersionChangeKeepsServing rolls all engines to a new version; one of the
// versions has an exact tiling at any time. Then a paused former holder sends
// orders of its own; the state of the present holder's target comes back.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), func(t *testing.T) {
			l := startLoading(t, fencing)
			o := l.run(t, &holder{epoch: 5})
			begin := time.Now()
			l.version.Store("2")
			require.Eventually(t, func() bool {
				states := l.states()
				require.True(t, tiled(states, "1") || tiled(states, "2"))
				return l.settled(o)
			}, loaderTimeout, loaderPeriod/10)
			elapsed := time.Since(begin)
			counts := l.Weights().Counts()
			t.Logf("%d loads in %v, %.0f loads/min", counts.Loads, elapsed.Round(time.Millisecond), float64(counts.Loads)/elapsed.Minutes())
			require.Zero(t, counts.Refused)
			target := l.states()
			l.sendLate(t, fencing)
			require.Eventually(t, func() bool { return l.settled(o) }, loaderTimeout, loaderPeriod/10)
			require.Equal(t, target, l.states())
		})
	}
}

// settled tells whether all engines hold version 2, loaded, and the loader has
// nothing left to do.
func (l *loading) settled(o *loader.Loader) bool {
	for _, s := range l.states() {
		if s.Version != "2" || s.Loading {
			return false
		}
	}
	return o.Status().Outdated == 0 && o.Status().Loading == 0
}

// sendLate sends orders with an old epoch to some engines.
func (l *loading) sendLate(t *testing.T, fencing bool) {
	t.Helper()
	for _, id := range []string{"dev-0-3-l0", "dev-9-11-s1"} {
		answer, err := l.client.Order(context.Background(), l.target(id), &wire.Order{
			Fence: 4, Model: "dev", Version: "1", FirstLayer: 4, LastLayer: 8,
		})
		require.NoError(t, err)
		require.Equal(t, !fencing, answer.Accepted)
	}
}
