package placement

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/capacity"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const (
	layers   = 12
	maxSteps = 300
	// maxLoadSteps is the duration of the longest load.
	maxLoadSteps = 4
)

// fleet is a set of simulated engines.
type fleet struct {
	engines        []Engine
	remainingSteps []int // steps until the load ends, by engine
	models         []Model
	maxLoads       int
	epoch          uint64
}

// drawFleet returns replicas of three ranges for two models and some spare engines.
func drawFleet(t *rapid.T, fencing func() bool) *fleet {
	f := &fleet{epoch: 1, maxLoads: rapid.IntRange(1, 3).Draw(t, "maxLoads")}
	for _, name := range []string{"a", "b"} {
		replicas := rapid.IntRange(2, 4).Draw(t, "replicas")
		demand := rapid.IntRange(1, 8*(replicas-1)).Draw(t, "demand")
		f.models = append(f.models, Model{Name: name, Version: "1", Layers: layers, Demand: demand})
		for i := range replicas {
			for _, r := range [][2]int{{0, 3}, {4, 8}, {9, 11}} {
				f.add(fmt.Sprintf("%s%d-%d", name, r[0], i), Assignment{name, "1", r[0], r[1]}, fencing())
			}
		}
	}
	for i := range rapid.IntRange(3, 5).Draw(t, "spare") {
		f.add(fmt.Sprint("spare", i), Assignment{"idle", "1", 0, 4}, fencing())
	}
	return f
}

func (f *fleet) add(id string, held Assignment, fencing bool) {
	f.engines = append(f.engines, Engine{ID: id, Held: held, Live: true, Units: 8, ChecksFence: fencing})
	f.remainingSteps = append(f.remainingSteps, 0)
}

func (f *fleet) read(epoch uint64) Input {
	return Input{Epoch: epoch, Engines: slices.Clone(f.engines), Models: f.models, MaxLoads: f.maxLoads}
}

func (f *fleet) index(id string) int {
	return slices.IndexFunc(f.engines, func(e Engine) bool { return e.ID == id })
}

// deliver passes an order to its engine and reports whether the engine accepted it.
func (f *fleet) deliver(t *rapid.T, o Order) bool {
	i := f.index(o.Engine)
	e := &f.engines[i]
	if !e.Live || (e.ChecksFence && o.Fence < e.Fence) {
		return false
	}
	e.Fence = max(e.Fence, o.Fence)
	if e.Held != o.Target {
		e.Held, e.Loading = o.Target, true
		f.remainingSteps[i] = rapid.IntRange(1, maxLoadSteps).Draw(t, "loadSteps")
	}
	return true
}

// tick advances all loads by one step.
func (f *fleet) tick() {
	for i := range f.engines {
		f.remainingSteps[i] = max(0, f.remainingSteps[i]-1)
		f.engines[i].Loading = f.remainingSteps[i] > 0
	}
}

func (f *fleet) loading() int {
	n := 0
	for _, e := range f.engines {
		if e.Loading {
			n++
		}
	}
	return n
}

// served returns the units that the engines carry of a model, summed over all versions.
func (f *fleet) served(model string) int {
	edges := map[string][]capacity.Edge{}
	for _, e := range f.engines {
		if e.Held.Model == model && e.usable() {
			edges[e.Held.Version] = append(edges[e.Held.Version], capacity.Edge{First: e.Held.First, Last: e.Held.Last, Units: e.units()})
		}
	}
	total := 0
	for _, version := range edges {
		total += capacity.Max(layers, version)
	}
	return total
}

// servedWithOneVersion returns the units that the engines would carry of a model if none were
// loading and all had the same version.
func (f *fleet) servedWithOneVersion(model string) int {
	same := &fleet{engines: slices.Clone(f.engines)}
	for i := range same.engines {
		same.engines[i].Loading = false
		same.engines[i].Held.Version = ""
	}
	return same.served(model)
}

// deliverAll delivers the orders of one plan, some of which are lost if lossy is set, and
// requires that each model keeps its floor.
func (f *fleet) deliverAll(t *rapid.T, orders []Order, lossy bool) {
	for _, o := range orders {
		if lossy && rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		before, oneVersion := map[string]int{}, map[string]int{}
		for _, m := range f.models {
			before[m.Name], oneVersion[m.Name] = f.served(m.Name), f.servedWithOneVersion(m.Name)
		}
		held := f.engines[f.index(o.Engine)].Held
		f.deliver(t, o)
		for _, m := range f.models {
			keep := DefaultMargins().RollShare * float64(min(m.Demand, oneVersion[m.Name]))
			if o.Reason == ReasonShortage && held.Model == m.Name && held.Version == m.Version {
				keep = DefaultMargins().Slack * float64(m.Demand)
			}
			floor := min(before[m.Name], max(1, int(keep)))
			require.GreaterOrEqual(t, f.served(m.Name), floor, "%s after %+v", m.Name, o)
		}
		require.LessOrEqual(t, f.loading(), f.maxLoads)
	}
}

// run plans and delivers until nothing changes any more, for at most the given number of steps.
// Without losses, shortages must only shrink.
func (f *fleet) run(t *rapid.T, p *Planner, steps int, lossy bool) (plan Plan) {
	lastShortage := math.MaxInt
	for range steps {
		plan = p.Step(f.read(f.epoch))
		shortage := 0
		for _, s := range plan.Shortages {
			shortage += s.Demand - s.Planned
		}
		require.True(t, lossy || shortage <= lastShortage, "shortages rise from %d to %d", lastShortage, shortage)
		lastShortage = shortage
		if len(plan.Orders) == 0 && plan.Loading == 0 {
			break
		}
		f.deliverAll(t, plan.Orders, lossy)
		f.tick()
	}
	return plan
}

// requireTargetsReached runs until nothing changes and requires that all targets and demands are
// met.
func (f *fleet) requireTargetsReached(t *rapid.T, p *Planner) {
	last := f.run(t, p, maxSteps, true)
	require.Empty(t, last.Orders, "the orders do not end")
	require.Empty(t, last.Shortages)
	require.Zero(t, last.Outdated)
	for _, e := range f.engines {
		if target, ok := p.Target(e.ID); ok && e.Live {
			require.Equal(t, target, e.Held)
		}
	}
	for _, m := range f.models {
		require.GreaterOrEqual(t, f.served(m.Name), m.Demand)
	}
}

// A lost range is restored and a version change completes, while at most MaxLoads engines load at
// the same time and no order takes a model below its floor.
func TestConvergesAndKeepsServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, func() bool { return false })
		p := New(DefaultMargins())
		require.Empty(t, p.Step(f.read(1)).Orders, "a fleet that carries its demand is not changed")
		if rapid.Bool().Draw(t, "crash") {
			first := rapid.SampledFrom([]int{0, 4, 9}).Draw(t, "range")
			for i := range f.engines {
				f.engines[i].Live = f.engines[i].Held.Model != "a" || f.engines[i].Held.First != first
			}
			f.models[0].Demand = min(f.models[0].Demand, 8)
		}
		if rapid.Bool().Draw(t, "newVersion") {
			f.models[rapid.IntRange(0, 1).Draw(t, "model")].Version = "2"
		}
		f.run(t, p, rapid.IntRange(0, 6).Draw(t, "before"), true)
		if rapid.Bool().Draw(t, "back") {
			f.models[0].Version = "1"
		}
		f.requireTargetsReached(t, p)
	})
}

// With few spare engines and changing demand, shortages only shrink while the demand is steady,
// and the orders end.
func TestShortagesShrink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, func() bool { return false })
		f.engines = f.engines[:len(f.engines)-rapid.IntRange(0, 3).Draw(t, "fewer")]
		p := New(DefaultMargins())
		for range rapid.IntRange(1, 4).Draw(t, "demands") {
			for i := range f.models {
				f.models[i].Demand = rapid.IntRange(1, 48).Draw(t, "demand")
			}
			f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(t, "crashed")].Live = rapid.Bool().Draw(t, "back")
			f.models[0].Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			f.run(t, p, rapid.IntRange(1, 20).Draw(t, "steps"), false)
		}
		require.Empty(t, f.run(t, p, maxSteps, false).Orders, "the orders do not end")
	})
}

// Demand that varies by less than the slack must not move engines back and forth.
func TestVaryingDemandMovesNothing(t *testing.T) {
	f := &fleet{maxLoads: 3, models: []Model{{Name: "a", Version: "1", Layers: layers}, {Name: "b", Version: "1", Layers: layers}}}
	for i, model := range []string{"a", "a", "a", "b", "b", "b"} {
		for _, r := range [][2]int{{0, 3}, {4, 8}, {9, 11}} {
			f.add(fmt.Sprint(model, i, r), Assignment{model, "1", r[0], r[1]}, false)
		}
	}
	p := New(DefaultMargins())
	for round := range 20 {
		f.models[round%2].Demand, f.models[1-round%2].Demand = 14, 26
		require.Empty(t, p.Step(f.read(1)).Orders)
	}
}

// Among the engines that can hold the range, one in the zone with the fewest replicas loads it;
// here it is an engine that holds nothing yet.
func TestSpreadsOverZones(t *testing.T) {
	f := &fleet{maxLoads: 1, models: []Model{{Name: "a", Version: "1", Layers: 4, Demand: 24}}}
	for i, zone := range []string{"z0", "z0", "z1", "z1", "z1", "z2", "z2"} {
		f.add(fmt.Sprint("e", i), Assignment{"idle", "1", 0, 3}, false)
		f.engines[i].Zone = zone
		f.engines[i].MaxLayers = 4
	}
	f.engines[6].Held = Assignment{}
	f.engines[5].MaxLayers = 3
	f.engines[0].Held.Model, f.engines[2].Held.Model = "a", "a"
	orders := New(DefaultMargins()).Step(f.read(1)).Orders
	require.Len(t, orders, 1)
	require.Equal(t, "e6", orders[0].Engine)
}

// While the other replicas of its ranges load, a model with much slack gives up none of the
// serving engines.
func TestServingEnginesStayWhileOthersLoad(t *testing.T) {
	f := &fleet{maxLoads: 9, models: []Model{{Name: "a", Version: "1", Layers: layers}, {Name: "b", Version: "1", Layers: layers, Demand: 8}}}
	for i, model := range []string{"a", "a", "b"} {
		for _, r := range [][2]int{{0, 3}, {4, 8}, {9, 11}} {
			f.add(fmt.Sprint(model, i, r), Assignment{model, "1", r[0], r[1]}, false)
			f.engines[len(f.engines)-1].Loading = i == 1
		}
	}
	f.engines[6].Live = false
	require.Empty(t, New(DefaultMargins()).Step(f.read(1)).Orders)
}

// An engine whose late order turned out useful is not ordered back.
func TestUsefulLateOrderIsKept(t *testing.T) {
	f := &fleet{maxLoads: 1, models: []Model{{Name: "a", Version: "1", Layers: 9}}}
	f.add("x", Assignment{"a", "1", 0, 3}, false)
	f.add("y", Assignment{"a", "1", 4, 8}, false)
	f.add("z", Assignment{"idle", "1", 0, 4}, false)
	p := New(DefaultMargins())
	require.Empty(t, p.Step(f.read(1)).Orders)
	f.engines[2].Held = Assignment{"a", "1", 4, 8}
	f.engines[1].Live = false
	require.Empty(t, p.Step(f.read(1)).Orders)
}

// A Planner that gets a later epoch, with another leader in between, must not keep its targets
// from the earlier one.
func TestNewEpochStartsWithHeldAssignments(t *testing.T) {
	f := &fleet{maxLoads: 1}
	f.add("x", Assignment{"a", "1", 0, 3}, false)
	p := New(DefaultMargins())
	require.Empty(t, p.Step(f.read(1)).Orders)
	f.engines[0].Held = Assignment{"a", "1", 4, 8}
	require.Empty(t, p.Step(f.read(3)).Orders)
}

// The old leader is paused at any step; its orders arrive at any later time, some of them twice.
func TestOldLeaderResumes(t *testing.T) {
	for _, name := range []string{"fencing", "ignoring", "mixed"} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := drawFleet(t, func() bool { return name == "fencing" || (name == "mixed" && rapid.Bool().Draw(t, "fences")) })
				checkOldLeader(t, f)
			})
		})
	}
}

func checkOldLeader(t *rapid.T, f *fleet) {
	older, newer := New(DefaultMargins()), New(DefaultMargins())
	f.models[0].Version = "2"
	var late []Order
	for range rapid.IntRange(1, 10).Draw(t, "older") {
		orders := older.Step(f.read(f.epoch)).Orders
		late = append(late, orders...)
		f.deliverAll(t, orders, true)
		f.tick()
	}
	f.epoch++
	f.models[0].Version = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "wanted")
	for round := range rapid.IntRange(1, 12).Draw(t, "newer") {
		for _, o := range newer.Step(f.read(f.epoch)).Orders {
			f.deliver(t, o)
		}
		for range rapid.IntRange(0, min(len(late), 3)).Draw(t, "late orders") {
			o := rapid.SampledFrom(late).Draw(t, "late")
			accepted := f.deliver(t, o)
			require.False(t, accepted && f.engines[f.index(o.Engine)].ChecksFence, "round %d: a late order was accepted", round)
		}
		f.tick()
	}
	for range maxLoadSteps {
		f.tick()
	}
	f.requireTargetsReached(t, newer)
}

// The search needs as few loads as the smallest set found by trying all sets.
func TestSearchFindsFewestLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "layers")
		s := newSearch(boundaries(n, []Assignment{{First: 1, Last: 1}, {First: 2, Last: 2}}))
		var have, candidates []capacity.Edge
		for first := range n {
			for last := first; last < n; last++ {
				a := Assignment{First: first, Last: last}
				if units := rapid.IntRange(0, 2).Draw(t, "units"); units > 0 {
					s.addUnits(a, units)
					have = append(have, capacity.Edge{First: first, Last: last, Units: units})
				}
				if rapid.Bool().Draw(t, "candidate") {
					s.setCost(a, costMove)
					candidates = append(candidates, capacity.Edge{First: first, Last: last, Units: 1})
				}
			}
		}
		costs := s.cost
		s.cost = newSearch(s.boundaries).cost
		s.saturate()
		s.cost = costs
		require.Len(t, s.cheapestLoads(&Model{}), fewestLoads(n, have, candidates))
	})
}

// fewestLoads returns the size of the smallest set of candidates that raises the flow, or 0 if
// there is none.
func fewestLoads(n int, have, candidates []capacity.Edge) int {
	best := 0
	base := capacity.Max(n, have)
	for set := range 1 << len(candidates) {
		all := slices.Clone(have)
		for i, c := range candidates {
			if set>>i&1 == 1 {
				all = append(all, c)
			}
		}
		size := len(all) - len(have)
		if (best == 0 || size < best) && capacity.Max(n, all) > base {
			best = size
		}
	}
	return best
}

func TestLimitFollowsRefusals(t *testing.T) {
	l := NewLoadLimit(4)
	l.RecordRefused(2)
	l.RecordFinished()
	require.Equal(t, 2, l.Value())
	l.RecordFinished()
	require.Equal(t, 3, l.Value())
	l.RecordRefused(0)
	require.Equal(t, 1, l.Value())
	for range 20 {
		l.RecordFinished()
	}
	require.Equal(t, 4, l.Value())
}
