package mesh_test

import (
	"context"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
	"masticbank.example/core/roster"
	"masticbank.example/node/mesh"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds waits for what is to happen.
const patience = 20 * time.Second

// fake is the gateway of one instance.
type fake struct {
	mu       sync.Mutex
	own      map[string]pipeline.Load
	links    map[pipeline.Link]float64
	foreign  func(string) pipeline.Load
	link     func(pipeline.Link) float64
	suspects map[string]bool
	avoided  map[string]int
	observed map[string]pipeline.Observed
	evidence *poison.Ledger
}

func (f *fake) Loads() map[string]map[string]pipeline.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return map[string]map[string]pipeline.Load{"s": maps.Clone(f.own)}
}

func (f *fake) Links() map[pipeline.Link]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.links)
}

func (f *fake) SetForeign(of func(string) pipeline.Load, link func(pipeline.Link) float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.foreign, f.link = of, link
}

func (f *fake) Rejected(id string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[id] = count
}

func (f *fake) Observe(of func(string) (pipeline.Observed, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range []string{"r1", "r2"} {
		if o, ok := of(id); ok {
			f.observed[id] = o
		}
	}
}

func (f *fake) Suspect(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects[id] = true
}

func (f *fake) LearnEvidence(s poison.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.Learn(time.Now(), s)
}

func (f *fake) Evidence() poison.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.State()
}

func (f *fake) EvidenceDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Digest()
}

func (f *fake) see(check func() bool) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return check()
	}
}

func newFake() *fake {
	return &fake{
		own: map[string]pipeline.Load{}, links: map[pipeline.Link]float64{}, suspects: map[string]bool{},
		avoided: map[string]int{}, observed: map[string]pipeline.Observed{}, evidence: poison.NewLedger(time.Minute),
	}
}

// start runs a mesh on an address of its own, as the port is the same everywhere.
func start(t *testing.T, name, address string, f *fake, o mesh.Options) *mesh.Mesh {
	o.Member, o.Listen, o.Cluster, o.Gateway, o.Logger = name, address, "cluster", f, zap.NewNop()
	if o.Zone == "" {
		o.Zone = "z"
	}
	m, err := mesh.Start(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		require.NoError(t, m.Close(context.Background()))
	})
	return m
}

// freePort returns a port that is free on both addresses.
func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, port, err := net.SplitHostPort(l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return port
}

func TestInstancesTellEachOther(t *testing.T) {
	port := freePort(t)
	a, b := newFake(), newFake()
	var mu sync.Mutex
	var leaving roster.Process
	var removed, silent string
	var duty int64
	ma := start(t, "a", net.JoinHostPort("127.0.0.1", port), a, mesh.Options{Duty: func() int64 { return 42 }})
	mb := start(t, "b", net.JoinHostPort("127.0.0.2", port), b, mesh.Options{
		OnLeaving: func(p roster.Process) {
			mu.Lock()
			defer mu.Unlock()
			leaving = p
		},
		OnRemoved: func(id string) {
			mu.Lock()
			defer mu.Unlock()
			removed = id
		},
		OnSilent: func(id string) {
			mu.Lock()
			defer mu.Unlock()
			silent = id
		},
		OnDuty: func(generation int64) {
			mu.Lock()
			defer mu.Unlock()
			duty = generation
		},
	})
	members := map[string]string{"a": "127.0.0.1", "b": "127.0.0.2"}
	ma.SetMembers(members)
	mb.SetMembers(members)
	a.mu.Lock()
	a.own["r1"] = pipeline.Load{Reserved: 12_000, Sequences: 3, Reading: 5_000}
	a.links[pipeline.LinkBetween("x", "y")] = 700
	a.mu.Unlock()

	require.Eventually(t, b.see(func() bool {
		return b.foreign != nil && b.foreign("r1") == pipeline.Load{Reserved: 12_000, Sequences: 3, Reading: 5_000} &&
			b.link(pipeline.LinkBetween("y", "x")) == 700
	}), patience, time.Millisecond)

	a.mu.Lock()
	a.own = map[string]pipeline.Load{}
	a.mu.Unlock()
	require.Eventually(t, b.see(func() bool { return b.foreign("r1") == pipeline.Load{} }), patience, time.Millisecond)

	require.Eventually(t, func() bool {
		ma.Silent("r1")
		ma.Leaving(roster.Process{ID: "r2", Born: 7})
		ma.Removed("r3")
		ma.Rejected("r2", 3)
		ma.Observed(map[string]pipeline.Observed{"r1": {Pace: 1.5, Used: 3000, Room: 9000, HasLayers: true, From: 2, To: 7}})
		mu.Lock()
		told := leaving == roster.Process{ID: "r2", Born: 7} && removed == "r3" && silent == "r1" && duty == 42
		mu.Unlock()
		return told && b.see(func() bool {
			return b.suspects["r1"] && b.avoided["r2"] == 3 && b.avoided["r1"] == 0 && b.observed["r1"] == pipeline.Observed{Pace: 1.5, Used: 3000, Room: 9000, HasLayers: true, From: 2, To: 7}
		})()
	}, patience, time.Millisecond)
}

// pair starts two meshes that know each other.
func pair(t *testing.T, oa, ob mesh.Options) (a, b *mesh.Mesh) {
	port := freePort(t)
	a = start(t, "a", net.JoinHostPort("127.0.0.1", port), newFake(), oa)
	b = start(t, "b", net.JoinHostPort("127.0.0.2", port), newFake(), ob)
	members := map[string]string{"a": "127.0.0.1", "b": "127.0.0.2"}
	a.SetMembers(members)
	b.SetMembers(members)
	return a, b
}

// TestNewPeerLearnsWhoLeaves has a replica that said that it leaves before the other
// instance started.
func TestNewPeerLearnsWhoLeaves(t *testing.T) {
	got := make(chan roster.Process, 10)
	left := roster.Process{ID: "r", Born: 5}
	pair(t, mesh.Options{Departed: func() []roster.Process { return []roster.Process{left} }},
		mesh.Options{OnLeaving: func(p roster.Process) { got <- p }})
	select {
	case p := <-got:
		require.Equal(t, left, p)
	case <-time.After(patience):
		require.Fail(t, "a new peer is not told")
	}
}

func TestConfigurationComesFromAPeer(t *testing.T) {
	content := make(chan string, 10)
	a, b := pair(t, mesh.Options{}, mesh.Options{OnConfig: func(c []byte) { content <- string(c) }})
	b.SetConfig(3, []byte("three"))
	a.SetConfig(4, []byte("four"))
	require.Equal(t, "four", <-content)
	require.Equal(t, 1, a.Peers())
}

func TestUpdatesArePassedOn(t *testing.T) {
	got := make(chan roster.Updates, 1000)
	a, _ := pair(t, mesh.Options{}, mesh.Options{OnUpdates: func(u roster.Updates) { got <- u }})
	require.Eventually(t, func() bool { return a.Peers() == 1 }, patience, time.Millisecond)
	u := roster.Updates{From: 3, To: 9, List: []roster.Update{
		{ID: "gone", Offset: 4},
		{ID: "plain", Offset: 5, Entry: &roster.Entry{
			ID: "plain", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 6, State: roster.Draining, Born: 1764800000000, Sequence: 7,
		}},
		{ID: "model", Offset: 8, Entry: &roster.Entry{
			ID: "model", Service: "m", Address: "10.0.0.2:80", Zone: "z", Kind: "l4", Slots: 192, Born: 1, Sequence: 2,
			Layers: &roster.Layers{From: 3, To: 9, Version: 1},
		}},
	}}
	a.Updates(u)
	require.Equal(t, u, <-got)
}
