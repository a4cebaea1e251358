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
	// bytesPerLayer and bytesPerSecond make a load last 16 ms for each layer.
	bytesPerLayer  = 64 << 10
	bytesPerSecond = 4 << 20
)

// holder is a loader.Keeper that always holds the duty, with its value as epoch.
type holder uint64

func (h holder) Valid(string) (uint64, bool) { return uint64(h), true }

// loading is a set of stand-ins with loaders that order their engines.
type loading struct {
	*fleet.Fleet
	client  *httpjson.Client
	model   fleet.ModelSpec
	version atomic.Value
}

func startLoading(t testing.TB, spec fleet.Spec, fencing bool) *loading {
	t.Helper()
	spec.Fencing = fencing
	spec.Weights = weights.Options{MaxConcurrent: maxLoads, BytesPerLayer: bytesPerLayer, BytesPerSecond: bytesPerSecond}
	f, err := fleet.Start(spec)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	l := &loading{Fleet: f, client: httpjson.New(), model: spec.Models[0]}
	l.version.Store("1")
	return l
}

// run starts a loader, which ends with the test.
func (l *loading) run(t testing.TB, h holder, period time.Duration) *loader.Loader {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := loader.New(loader.Options{
		Engines: l.client, Keeper: h, Targets: l.targets, MaxLoads: maxLoads, Period: period,
		Wanted: func() map[string]config.ModelConfig {
			return map[string]config.ModelConfig{l.model.Name: {Layers: l.model.Layers, Version: l.version.Load().(string)}}
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
		out = append(out, loader.Engine{Target: l.target(o.ID), Zone: o.Zone, Accelerator: o.Accelerator, Units: o.Slots})
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
func (l *loading) tiled(states map[string]wire.EngineState, version string) bool {
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

// TestLostRangeComesBack crashes all replicas of a range, which no other
// accelerator can hold whole.
func TestLostRangeComesBack(t *testing.T) {
	l := startLoading(t, fleet.Dev(), true)
	o := l.run(t, holder(1), loaderPeriod)
	require.Eventually(t, func() bool { return o.Status().Engines == 6 }, loaderTimeout, loaderPeriod)
	lost := []string{"dev-4-8-m0", "dev-4-8-m1"}
	for _, id := range lost {
		require.NoError(t, l.Inject(fault.Fault{Instance: id, Kind: fault.Crash}))
	}
	require.False(t, l.tiled(l.states(lost...), "1"))
	require.Eventually(t, func() bool { return l.tiled(l.states(lost...), "1") }, loaderTimeout, loaderPeriod/10)
	require.LessOrEqual(t, l.Weights().Counts().Peak, maxLoads)
	require.Zero(t, l.Weights().Counts().Refused)
}

// TestVersionChangeKeepsServing rolls all engines to a new version; one of the
// versions has an exact tiling at any time. Then a paused former holder sends
// orders of its own; the state of the present holder's target comes back.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), func(t *testing.T) {
			l := startLoading(t, fleet.Dev(), fencing)
			o := l.run(t, holder(5), loaderPeriod)
			l.version.Store("2")
			require.Eventually(t, func() bool {
				states := l.states()
				require.True(t, l.tiled(states, "1") || l.tiled(states, "2"))
				return l.settled(o)
			}, loaderTimeout, loaderPeriod/10)
			require.Zero(t, l.Weights().Counts().Refused)
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

// BenchmarkVersionChange reports the loads a minute beside those that the store
// could give, and the time to bring back a range that was lost whole, for a
// fleet of 40 engines.
func BenchmarkVersionChange(b *testing.B) {
	for _, period := range []time.Duration{loaderPeriod, 10 * loaderPeriod} {
		b.Run(fmt.Sprint("period=", period), func(b *testing.B) {
			for b.Loop() {
				l := startLoading(b, fleet.Asistente(), true)
				o := l.run(b, holder(1), period)
				begin := time.Now()
				l.version.Store("2")
				for !l.settled(o) {
					time.Sleep(loaderPeriod / 10)
				}
				loads, layers := float64(l.Weights().Counts().Loads), 0
				for _, e := range l.Engines() {
					layers += e.State().LastLayer - e.State().FirstLayer + 1
				}
				bound := float64(layers) * bytesPerLayer / (maxLoads * bytesPerSecond)
				b.ReportMetric(loads/time.Since(begin).Minutes(), "loads/min")
				b.ReportMetric(loads*60/bound, "store-loads/min")
				b.ReportMetric(l.loseRange(b, o).Seconds()*1000, "lost-range-ms")
			}
		})
	}
}

// loseRange crashes all engines that hold the last layer and returns the time
// until all layers are served again.
func (l *loading) loseRange(b *testing.B, o *loader.Loader) time.Duration {
	b.Helper()
	begin := time.Now()
	var lost []string
	for id, s := range l.states() {
		if s.LastLayer == l.model.Layers-1 {
			lost = append(lost, id)
			require.NoError(b, l.Inject(fault.Fault{Instance: id, Kind: fault.Crash}))
		}
	}
	for !l.tiled(l.states(lost...), "2") {
		time.Sleep(loaderPeriod / 10)
	}
	return time.Since(begin)
}

// TestNewVersionWithoutRefusals publishes a new version of the model to instances
// that order the engines to load it, and sends requests all the while.
func TestNewVersionWithoutRefusals(t *testing.T) {
	t.Parallel()
	spec := fleet.Dev()
	spec.Fencing = true
	spec.Weights = weights.Options{MaxConcurrent: maxLoads, BytesPerLayer: bytesPerLayer, BytesPerSecond: bytesPerSecond}
	d, err := Start(Options{Spec: spec, Configuration: DevConfiguration, Extra: "[platform]\nload_models = true\n"})
	require.NoError(t, err)
	defer d.Close(context.Background())
	cfg, revision := d.Apps[0].Config()
	next := *cfg
	next.Models = map[string]config.ModelConfig{"dev": {Layers: 12, Version: "2", MaxOutput: 256}}
	_, err = d.Apps[0].Publish(context.Background(), "test", &next, revision)
	require.NoError(t, err)
	loaded := func() bool {
		for _, e := range d.Fleet.Engines() {
			if e.State().Version != "2" {
				return false
			}
		}
		return true
	}
	for i := 0; !loaded(); i++ {
		require.Less(t, i, 1000)
		d.post(t, fmt.Sprint("during ", i))
	}
	d.post(t, "after")
}
