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
	// bytesPerLayer and bytesPerSecond make a load take 16 ms per layer.
	bytesPerLayer  = 64 << 10
	bytesPerSecond = 4 << 20
)

// fixedLeader stands for an instance that is always the leader of the loader task.
// Its value is the epoch of its lease.
type fixedLeader uint64

func (l fixedLeader) Valid(string) (uint64, bool) { return uint64(l), true }

// loaderFleet is a fleet of stand-ins whose engines get their layer assignments from
// loaders.
type loaderFleet struct {
	*fleet.Fleet
	client  *httpjson.Client
	model   fleet.ModelSpec
	version atomic.Value
}

func startLoaderFleet(t testing.TB, spec fleet.Spec, fencing bool) *loaderFleet {
	t.Helper()
	spec.Fencing = fencing
	spec.Weights = weights.Options{MaxConcurrent: maxLoads, BytesPerLayer: bytesPerLayer, BytesPerSecond: bytesPerSecond}
	f, err := fleet.Start(spec)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	l := &loaderFleet{Fleet: f, client: httpjson.New(), model: spec.Models[0]}
	l.version.Store("1")
	return l
}

// startLoader starts a loader that is stopped at the end of the test.
func (l *loaderFleet) startLoader(t testing.TB, leader fixedLeader, period time.Duration) *loader.Loader {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ldr := loader.New(loader.Options{
		Engines: l.client, Keeper: leader, Targets: l.targets, MaxLoads: maxLoads, Period: period,
		Models: func() map[string]config.ModelConfig {
			return map[string]config.ModelConfig{l.model.Name: {Layers: l.model.Layers, Version: l.version.Load().(string)}}
		},
	})
	done := make(chan error, 1)
	go func() { done <- ldr.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
	return ldr
}

func (l *loaderFleet) targets() []loader.Engine {
	var out []loader.Engine
	for _, e := range l.Engines() {
		o := e.Options()
		out = append(out, loader.Engine{Target: l.target(o.ID), Zone: o.Zone, Accelerator: o.Accelerator, Sequences: o.Slots})
	}
	return out
}

func (l *loaderFleet) target(id string) engine.Target {
	return engine.Target{ID: id, Address: l.Addresses().Upstreams[id]}
}

// states returns the state of each engine, except for the crashed ones.
func (l *loaderFleet) states(crashed ...string) map[string]wire.EngineState {
	out := map[string]wire.EngineState{}
	for _, e := range l.Engines() {
		if id := e.Options().ID; !slices.Contains(crashed, id) {
			out[id] = e.State()
		}
	}
	return out
}

// hasTiling reports whether some loaded engines of the version form an exact tiling of
// all layers.
func (l *loaderFleet) hasTiling(states map[string]wire.EngineState, version string) bool {
	reached := map[int]bool{0: true}
	for layer := range l.model.Layers {
		for _, s := range states {
			if reached[layer] && s.FirstLayer == layer && s.Version == version && !s.Loading {
				reached[s.LastLayer+1] = true
			}
		}
	}
	return reached[l.model.Layers]
}

// TestLostLayerRangeIsRestored crashes all replicas of one layer range. No other kind of
// accelerator can hold the whole range, but all layers must be served again.
func TestLostLayerRangeIsRestored(t *testing.T) {
	l := startLoaderFleet(t, fleet.Dev(), true)
	ldr := l.startLoader(t, fixedLeader(1), loaderPeriod)
	require.Eventually(t, func() bool { return ldr.Status().Engines == 6 }, loaderTimeout, loaderPeriod)
	lost := []string{"dev-4-8-m0", "dev-4-8-m1"}
	for _, id := range lost {
		require.NoError(t, l.Inject(fault.Fault{Instance: id, Kind: fault.Crash}))
	}
	require.False(t, l.hasTiling(l.states(lost...), "1"))
	require.Eventually(t, func() bool { return l.hasTiling(l.states(lost...), "1") }, loaderTimeout, loaderPeriod/10)
	require.LessOrEqual(t, l.Weights().Counts().Peak, maxLoads)
	require.Zero(t, l.Weights().Counts().Refused)
}

// TestVersionChangeKeepsServing changes all engines to a new version and checks that
// the old or the new version has an exact tiling at any time. Then a former leader,
// paused until now, sends outdated layer assignments. Engines with fencing refuse
// them; without fencing, the current leader restores its own assignment.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), func(t *testing.T) {
			l := startLoaderFleet(t, fleet.Dev(), fencing)
			ldr := l.startLoader(t, fixedLeader(5), loaderPeriod)
			l.version.Store("2")
			require.Eventually(t, func() bool {
				states := l.states()
				require.True(t, l.hasTiling(states, "1") || l.hasTiling(states, "2"))
				return l.settled(ldr)
			}, loaderTimeout, loaderPeriod/10)
			require.Zero(t, l.Weights().Counts().Refused)
			target := l.states()
			l.sendOutdatedAssignments(t, fencing)
			require.Eventually(t, func() bool { return l.settled(ldr) }, loaderTimeout, loaderPeriod/10)
			require.Equal(t, target, l.states())
		})
	}
}

// settled reports whether all engines have loaded version 2 and the loader has
// nothing left to do.
func (l *loaderFleet) settled(ldr *loader.Loader) bool {
	for _, s := range l.states() {
		if s.Version != "2" || s.Loading {
			return false
		}
	}
	return ldr.Status().Outdated == 0 && ldr.Status().Loading == 0
}

// sendOutdatedAssignments sends layer assignments with an old epoch to two engines.
func (l *loaderFleet) sendOutdatedAssignments(t *testing.T, fencing bool) {
	t.Helper()
	for _, id := range []string{"dev-0-3-l0", "dev-9-11-s1"} {
		response, err := l.client.AssignLayers(context.Background(), l.target(id), &wire.LayerAssignment{
			Fence: 4, Model: "dev", Version: "1", FirstLayer: 4, LastLayer: 8,
		})
		require.NoError(t, err)
		require.Equal(t, !fencing, response.Accepted)
	}
}

// BenchmarkVersionChange changes a fleet of 40 engines to a new version. It reports
// the loads per minute, the maximum that the weight store allows, and the time until
// a layer range that lost all its replicas is served again.
func BenchmarkVersionChange(b *testing.B) {
	for _, period := range []time.Duration{loaderPeriod, 10 * loaderPeriod} {
		b.Run(fmt.Sprint("period=", period), func(b *testing.B) {
			for b.Loop() {
				l := startLoaderFleet(b, fleet.Asistente(), true)
				ldr := l.startLoader(b, fixedLeader(1), period)
				begin := time.Now()
				l.version.Store("2")
				for !l.settled(ldr) {
					time.Sleep(loaderPeriod / 10)
				}
				loads, layers := float64(l.Weights().Counts().Loads), 0
				for _, e := range l.Engines() {
					layers += e.State().LastLayer - e.State().FirstLayer + 1
				}
				bound := float64(layers) * bytesPerLayer / (maxLoads * bytesPerSecond)
				b.ReportMetric(loads/time.Since(begin).Minutes(), "loads/min")
				b.ReportMetric(loads*60/bound, "store-loads/min")
				b.ReportMetric(l.crashLastRange(b, ldr).Seconds()*1000, "lost-range-ms")
			}
		})
	}
}

// crashLastRange crashes all engines that hold the last layer and returns the time
// until all layers are served again.
func (l *loaderFleet) crashLastRange(b *testing.B, ldr *loader.Loader) time.Duration {
	b.Helper()
	begin := time.Now()
	var lost []string
	for id, s := range l.states() {
		if s.LastLayer == l.model.Layers-1 {
			lost = append(lost, id)
			require.NoError(b, l.Inject(fault.Fault{Instance: id, Kind: fault.Crash}))
		}
	}
	for !l.hasTiling(l.states(lost...), "2") {
		time.Sleep(loaderPeriod / 10)
	}
	return time.Since(begin)
}

// TestNewVersionWithoutRefusals publishes a new version of the model to an instance
// that assigns layers to the engines, and sends requests until all engines have
// changed. No request may be refused.
func TestNewVersionWithoutRefusals(t *testing.T) {
	t.Parallel()
	spec := fleet.Dev()
	spec.Fencing = true
	spec.Weights = weights.Options{MaxConcurrent: maxLoads, BytesPerLayer: bytesPerLayer, BytesPerSecond: bytesPerSecond}
	c, err := Start(Options{Spec: spec, Configuration: DevConfiguration, Extra: "[platform]\nload_models = true\n"})
	require.NoError(t, err)
	defer c.Close(context.Background())
	cfg, revision := c.Apps[0].Config()
	next := *cfg
	next.Models = map[string]config.ModelConfig{"dev": {Layers: 12, Version: "2", MaxOutput: 256}}
	_, err = c.Apps[0].Publish(context.Background(), "test", &next, revision)
	require.NoError(t, err)
	loaded := func() bool {
		for _, e := range c.Fleet.Engines() {
			if e.State().Version != "2" {
				return false
			}
		}
		return true
	}
	for i := 0; !loaded(); i++ {
		require.Less(t, i, 1000)
		c.requireCompletion(t, fmt.Sprint("during ", i))
	}
	c.requireCompletion(t, "after")
}
