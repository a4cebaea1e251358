package route

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "5000")
}

var start = time.Unix(1_800_000_000, 0)

// drawTable draws a small model with replicas of arbitrary, overlapping ranges.
func drawTable(t *rapid.T, p Policy) (*Table, []string) {
	layers := rapid.IntRange(1, 7).Draw(t, "layers")
	table := NewTable(layers, p)
	n := rapid.IntRange(0, 12).Draw(t, "replicas")
	ids := make([]string, 0, n)
	for i := range n {
		first := rapid.IntRange(0, layers-1).Draw(t, "first")
		last := rapid.IntRange(first, layers-1).Draw(t, "last")
		id := fmt.Sprintf("r%d", i)
		accelerator := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")
		require.NoError(t, table.Upsert(Replica{ID: id, First: first, Last: last, Accelerator: accelerator}))
		ids = append(ids, id)
	}
	for _, id := range ids {
		drawState(t, table, id)
	}
	return table, ids
}

func drawState(t *rapid.T, table *Table, id string) {
	if rapid.Bool().Draw(t, "reported") {
		table.ApplyLoad(start, id, Load{
			Running: rapid.IntRange(0, 12).Draw(t, "running"),
			Waiting: rapid.IntRange(0, 4).Draw(t, "waiting"),
			Slots:   rapid.IntRange(0, 8).Draw(t, "slots"),
			Step:    time.Duration(rapid.IntRange(0, 40).Draw(t, "step")) * time.Millisecond,
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "dispatched") {
		table.RecordDispatch(id, 100)
	}
	for range rapid.IntRange(0, 4).Draw(t, "observed") {
		table.RecordSteps(id, 0, 4, time.Duration(rapid.IntRange(1, 200).Draw(t, "took"))*time.Millisecond)
	}
	table.SetLimit(id, rapid.IntRange(0, 8).Draw(t, "limit"))
	table.SetWeight(id, rapid.SampledFrom([]float64{0, 0.2, 1, 1, 1}).Draw(t, "weight"))
	table.SetLatency(id, time.Duration(rapid.IntRange(0, 3).Draw(t, "link"))*time.Millisecond)
	for range rapid.IntRange(0, 3).Draw(t, "caches") {
		block := rapid.Uint64Range(1, 3).Draw(t, "block")
		table.ApplyCacheEvent(start, id, block, rapid.IntRange(0, 3).Draw(t, "evicted") == 0)
	}
}

func drawRequest(t *rapid.T, ids []string) Request {
	req := Request{
		PromptTokens: rapid.IntRange(0, 2000).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(0, 200).Draw(t, "output"),
		Blocks:       []uint64{1, 2, 3}[:rapid.IntRange(0, 3).Draw(t, "blocks")],
	}
	for _, id := range ids {
		if rapid.IntRange(0, 7).Draw(t, "exclude") == 0 {
			req.Exclude = append(req.Exclude, id)
		}
	}
	return req
}

// enumerate calls visit for every exact tiling by replicas that allowed
// accepts.
func enumerate(table *Table, from int, path []*replica, allowed func(*replica) bool, visit func([]*replica)) {
	if from == table.layers {
		visit(path)
		return
	}
	for _, r := range table.replicas {
		if r.First == from && allowed(r) {
			enumerate(table, r.Last+1, append(path, r), allowed, visit)
		}
	}
}

// bruteForce returns the lowest cost of all tilings, or infinity if there is
// none.
func bruteForce(table *Table, req *Request, allowed func(*replica) bool) float64 {
	lowest := math.Inf(1)
	enumerate(table, 0, nil, allowed, func(path []*replica) {
		total := 0.0
		for _, r := range path {
			total += naiveCost(table, req, r)
		}
		lowest = min(lowest, total)
	})
	return lowest
}

func naiveCost(table *Table, req *Request, r *replica) float64 {
	cached := 0.0
	for i, block := range req.Blocks {
		if indexOf(table.cache.holders[block], r) >= 0 {
			cached = float64(i+1) / float64(len(req.Blocks))
		}
	}
	return table.costTerms(start.UnixNano(), req, r, cached).Total()
}

func requireTiling(t require.TestingT, table *Table, req *Request, path Path) float64 {
	next := 0
	total := 0.0
	for _, stage := range path.Stages {
		r := table.replicas[stage.ReplicaID]
		require.NotNil(t, r)
		require.Equal(t, next, stage.First)
		require.Equal(t, Range{r.First, r.Last}, Range{stage.First, stage.Last})
		require.False(t, slices.Contains(req.Exclude, r.ID))
		require.Positive(t, r.weight)
		require.False(t, r.atLimit(start.UnixNano()))
		total += naiveCost(table, req, r)
		next = stage.Last + 1
	}
	require.Equal(t, table.layers, next)
	return total
}

// TestChooseMatchesBruteForce compares each choice with an enumeration of all
// tilings: the lowest cost is equal, the chosen path is an exact tiling within
// the tolerance, and a failure has the same reason.
func TestChooseMatchesBruteForce(t *testing.T) {
	outcomes := make(map[Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{
			PolicyCost, PolicyCost, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight,
		}).Draw(t, "policy")
		table, ids := drawTable(t, policy)
		table.SetInstances(rapid.IntRange(1, 3).Draw(t, "instances"))
		table.choiceRate = choiceRate{count: rapid.Float64Range(0, 5).Draw(t, "rate"), updatedAt: start.UnixNano()}
		req := drawRequest(t, ids)
		outcomes[checkChoice(t, table, policy, req)]++
	})
	for o := Chosen; o <= NoTiling; o++ {
		require.Positive(t, outcomes[o], "no case with outcome %v: %v", o, outcomes)
	}
	t.Log(outcomes)
}

func checkChoice(t *rapid.T, table *Table, policy Policy, req Request) Outcome {
	now := start.UnixNano()
	inUse := func(r *replica) bool { return r.weight > 0 }
	usable := func(r *replica) bool { return inUse(r) && !slices.Contains(req.Exclude, r.ID) }
	free := func(r *replica) bool { return usable(r) && !r.atLimit(now) }
	lowest := bruteForce(table, &req, free)
	d := table.Choose(start, req, rapid.Uint64().Draw(t, "random"))
	if !math.IsInf(lowest, 1) {
		require.Equal(t, Chosen, d.Outcome)
		require.InDelta(t, lowest, table.lowestCost[0], 1e-9)
		cost := requireTiling(t, table, &req, d.Path)
		require.InDelta(t, cost, d.Path.Expected.Seconds(), 1e-6)
		if policy == PolicyCost {
			require.LessOrEqual(t, cost, lowest*(1+table.tolerance)+1e-9)
			require.LessOrEqual(t, table.tolerance, MaxTolerance)
		}
		return Chosen
	}
	allowed, want := free, AllAtLimit
	switch {
	case math.IsInf(bruteForce(table, &req, inUse), 1):
		allowed, want = inUse, NoTiling
	case math.IsInf(bruteForce(table, &req, usable), 1):
		allowed, want = usable, OnlyExcluded
	}
	require.Equal(t, want, d.Outcome)
	requireSmallestMissingRange(t, table, d.Missing, allowed)
	return want
}

// requireSmallestMissingRange checks that a replica of the missing range
// completes a path and that no shorter range does.
func requireSmallestMissingRange(t *rapid.T, table *Table, missing Range, allowed func(*replica) bool) {
	completes := func(first, last int) bool {
		found := false
		probe := &replica{Replica: Replica{ID: "probe", First: first, Last: last}}
		table.replicas["probe"] = probe
		enumerate(table, 0, nil, func(r *replica) bool { return r == probe || allowed(r) },
			func([]*replica) { found = true })
		delete(table.replicas, "probe")
		return found
	}
	require.True(t, completes(missing.First, missing.Last))
	size := missing.Last - missing.First
	for first := range table.layers {
		for last := first; last < min(first+size, table.layers); last++ {
			require.False(t, completes(first, last), "%d-%d is smaller than %v", first, last, missing)
		}
	}
}

// TestSpreadWithEqualReports lets instances choose by the same stale reports.
// They must spread over the equal replicas and must not use one that is twice
// as slow.
func TestSpreadWithEqualReports(t *testing.T) {
	const replicas, instances, rounds = 8, 9, 200
	const share = instances * rounds / replicas
	picked := make(map[string]int)
	for i := range instances {
		table := NewTable(4, PolicyCost)
		for r := range replicas + 1 {
			id := fmt.Sprintf("r%d", r)
			require.NoError(t, table.Upsert(Replica{ID: id, Last: 3}))
			step := 10*time.Millisecond + time.Duration(r)*50*time.Microsecond
			if r == replicas {
				step *= 2
			}
			table.ApplyLoad(start, id, Load{Slots: 8, Running: 2, Step: step})
		}
		for round := range rounds {
			d := table.Choose(start, Request{PromptTokens: 100, OutputTokens: 50}, uint64(i*rounds+round))
			require.Equal(t, Chosen, d.Outcome)
			picked[d.Path.Stages[0].ReplicaID]++
		}
	}
	require.Zero(t, picked["r8"])
	for r := range replicas {
		require.Greater(t, picked[fmt.Sprintf("r%d", r)], share/3)
		require.Less(t, picked[fmt.Sprintf("r%d", r)], share*2)
	}
}
