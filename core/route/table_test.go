package route

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTestTable(t *testing.T, ids ...string) *Table {
	t.Helper()
	table := NewTable(4, PolicyCost)
	for _, id := range ids {
		require.NoError(t, table.Upsert(Replica{ID: id, Last: 3, Accelerator: "a"}))
	}
	return table
}

func TestUpsertRejectsRangesOutsideTheModel(t *testing.T) {
	table := newTestTable(t)
	for _, bad := range []Replica{{First: -1}, {First: 2, Last: 1}, {Last: 4}} {
		var wrong *RangeError
		require.ErrorAs(t, table.Upsert(bad), &wrong)
	}
	require.Zero(t, table.Len())
}

// TestOccupancyIsCorrectedByOwnDispatches checks that dispatches since a load
// report are added to it until a newer report includes them.
func TestOccupancyIsCorrectedByOwnDispatches(t *testing.T) {
	table := newTestTable(t, "r")
	r := table.replicas["r"]
	table.ApplyLoad(start, "r", Load{Running: 5, Slots: 8})
	table.RecordDispatch("r", 10)
	table.RecordDispatch("r", 10)
	require.Equal(t, 7, r.occupancy(start.UnixNano()))
	require.Equal(t, 5+9*2, r.expectedOccupancy(start.UnixNano(), 9))
	table.ApplyLoad(start.Add(time.Second), "r", Load{Running: 1, Slots: 8})
	require.Equal(t, 2, r.occupancy(start.UnixNano()), "occupancy must not be below the own requests in flight")
	table.ApplyLoad(start, "r", Load{Running: 8, Slots: 8})
	require.Equal(t, 2, r.occupancy(start.UnixNano()), "an older report must be ignored")
	table.RecordEnd("r", 10)
	table.RecordEnd("r", 10)
	table.RecordEnd("r", 10)
	require.Zero(t, r.inFlight)
	table.RecordDispatch("r", 10)
	table.ApplyLoad(start.Add(time.Second), "r", Load{Running: 8, Slots: 8})
	fresh := start.Add(time.Second + reportMaxAge)
	require.Equal(t, 8, r.occupancy(fresh.UnixNano()))
	require.Equal(t, 1, r.occupancy(fresh.UnixNano()+1), "a report of this age must have expired")
}

// TestToleranceFollowsOtherInstances checks that the tolerance rises with the
// choices that the other instances are likely to have made, falls while this
// instance is idle, and does not change by Explain.
func TestToleranceFollowsOtherInstances(t *testing.T) {
	table := newTestTable(t, "r")
	tolerance := func(now time.Time) float64 { return table.Explain(now, Request{}, 1).Tolerance }
	table.Choose(start, Request{}, 1)
	require.InDelta(t, MinTolerance, tolerance(start), 1e-9)
	table.SetInstances(4)
	require.InDelta(t, MinTolerance+3*toleranceStep, tolerance(start), 1e-9)
	require.InDelta(t, MinTolerance, tolerance(start.Add(20*rateWindow)), 1e-6)
	for range 100 {
		table.Choose(start, Request{}, 1)
	}
	require.InDelta(t, MaxTolerance, tolerance(start), 1e-9)
}

// TestTokenTimeFallsBackToAcceleratorType checks that a replica without samples
// uses the time per layer of its accelerator type, and that its own
// observations then replace it, with network time and the effect of load
// removed.
func TestTokenTimeFallsBackToAcceleratorType(t *testing.T) {
	table := newTestTable(t, "known", "fresh")
	require.NoError(t, table.Upsert(Replica{ID: "half", Last: 1, Accelerator: "a"}))
	table.SetLatency("known", 5*time.Millisecond)
	for range 100 {
		table.RecordSteps("known", 0, 1, 50*time.Millisecond)
	}
	require.InDelta(t, 0.040, table.replicas["known"].decodeStepTime(), 1e-9)
	require.InDelta(t, 0.040, table.replicas["fresh"].decodeStepTime(), 1e-9)
	require.InDelta(t, 0.020, table.replicas["half"].decodeStepTime(), 1e-9)
	table.ApplyLoad(start, "fresh", Load{Running: 8, Slots: 8})
	for range 100 {
		table.RecordSteps("fresh", 0, 1, 100*time.Millisecond)
	}
	require.InDelta(t, 0.100/(1+batchSlope), table.replicas["fresh"].decodeStepTime(), 1e-6)
	table.ApplyLoad(start, "fresh", Load{Running: 9, Slots: 8, PrefillTokensPerSecond: 1000})
	before := table.replicas["fresh"].prefillTokenTime()
	table.RecordSteps("fresh", 10, 0, time.Minute)
	require.InDelta(t, before, table.replicas["fresh"].prefillTokenTime(), 1e-9, "the step waited for a slot")
	table.ApplyLoad(start, "half", Load{Step: 7 * time.Millisecond})
	require.InDelta(t, 0.007, table.replicas["half"].decodeStepTime(), 1e-9)
}

func TestChangedRangeDiscardsMeasurements(t *testing.T) {
	table := newTestTable(t, "r")
	table.ApplyCacheEvent(start, "r", 1, false)
	table.ApplyLoad(start, "r", Load{Running: 3})
	table.SetLimit("r", 9)
	table.RecordDispatch("r", 1)
	require.NoError(t, table.Upsert(Replica{ID: "r", Last: 1}))
	require.NoError(t, table.Upsert(Replica{ID: "s", First: 2, Last: 3}))
	d := table.Choose(start, Request{Blocks: []uint64{1}}, 1)
	require.Equal(t, Chosen, d.Outcome)
	require.Len(t, d.Path.Stages, 2)
	r := table.replicas["r"]
	require.Zero(t, r.cachedFraction)
	require.False(t, r.reported)
	require.Equal(t, []int{1, 9}, []int{r.inFlight, r.limit})
	table.Remove("s")
	d = table.Choose(start, Request{}, 1)
	require.Equal(t, Decision{Outcome: NoTiling, Missing: Range{2, 3}}, d)
}

// TestCacheIndexMatchesList compares the index with a plain list of hints that
// discards the oldest.
func TestCacheIndexMatchesList(t *testing.T) {
	type pair struct {
		replica int
		block   uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		index := newCacheIndex(size)
		replicas := []*replica{{}, {}, {}}
		var list []pair
		for now := range int64(rapid.IntRange(1, 40).Draw(t, "events")) {
			p := pair{rapid.IntRange(0, 2).Draw(t, "replica"), rapid.Uint64Range(0, 5).Draw(t, "block")}
			if rapid.IntRange(0, 3).Draw(t, "evict") == 0 {
				index.evict(replicas[p.replica], p.block)
				for i := range list {
					if list[i] == p {
						list[i].replica = -1
					}
				}
			} else {
				index.store(now, replicas[p.replica], p.block)
				list = append(list, p)
				list = list[max(0, len(list)-size):]
			}
			require.LessOrEqual(t, len(index.hints), 2*size+1)
			for block := range uint64(6) {
				for i, r := range replicas {
					held := indexOf(index.holders[block], r) >= 0
					require.Equal(t, slices.Contains(list, pair{i, block}), held)
				}
			}
		}
	})
}

// TestCacheHintsLoseValueWithAge checks that the value of a hint falls with age
// and is 0 at cacheHintAge.
func TestCacheHintsLoseValueWithAge(t *testing.T) {
	table := newTestTable(t, "r")
	table.ApplyCacheEvent(start, "r", 7, false)
	cached := func(age time.Duration) float64 {
		e := table.Explain(start.Add(age), Request{PromptTokens: 100, Blocks: []uint64{7}}, 1)
		return e.Replicas[0].CachedFraction
	}
	require.InDelta(t, 1, cached(0), 1e-9)
	require.InDelta(t, 0.5, cached(cacheHintAge/2), 1e-9)
	require.Zero(t, cached(cacheHintAge))
}

// TestExplainStatuses checks the status that Explain returns for each replica.
func TestExplainStatuses(t *testing.T) {
	table := newTestTable(t, "fast", "slow", "busy", "zero-weight", "excluded")
	require.NoError(t, table.Upsert(Replica{ID: "off-path", First: 1, Last: 3}))
	table.ApplyLoad(start, "slow", Load{Step: time.Second})
	table.SetLimit("busy", 1)
	table.RecordDispatch("busy", 1)
	table.SetWeight("zero-weight", 0)
	e := table.Explain(start, Request{PromptTokens: 10, OutputTokens: 10, Exclude: []string{"excluded"}}, 1)
	got := make(map[string]Status)
	for _, r := range e.Replicas {
		got[r.ID] = r.Status
	}
	require.Equal(t, map[string]Status{
		"fast": Eligible, "slow": TooSlow, "busy": AtLimit, "zero-weight": ZeroWeight,
		"excluded": Excluded, "off-path": NoPath,
	}, got)
	require.Equal(t, "fast", e.Decision.Path.Stages[0].ReplicaID)
	require.Equal(t, e.Lowest, e.Decision.Path.Expected)
}

// TestEachSignOfSlownessRaisesItsTerm checks that each sign of a slower
// replica, taken alone, raises its term and the total, compared with an
// otherwise equal replica.
func TestEachSignOfSlownessRaisesItsTerm(t *testing.T) {
	baseline := Load{Running: 2, Slots: 4, Step: 10 * time.Millisecond, PrefillTokensPerSecond: 1000}
	change := func(f func(*Load)) func(*Table) {
		return func(table *Table) {
			load := baseline
			f(&load)
			table.ApplyLoad(start, "worse", load)
		}
	}
	wait := func(c CostTerms) float64 { return c.Wait }
	prefill := func(c CostTerms) float64 { return c.Prefill }
	decode := func(c CostTerms) float64 { return c.Decode }
	link := func(c CostTerms) float64 { return c.Link }
	for name, sign := range map[string]struct {
		apply func(*Table)
		term  func(CostTerms) float64
	}{
		"waiting":      {change(func(l *Load) { l.Waiting = 2 }), wait},
		"slots held":   {change(func(l *Load) { l.Running = 4 }), wait},
		"slow start":   {func(table *Table) { table.SetWeight("worse", 0.5) }, wait},
		"new prompt":   {func(table *Table) { table.RecordDispatch("worse", 500) }, wait},
		"slow step":    {change(func(l *Load) { l.Step *= 2 }), decode},
		"slow prefill": {change(func(l *Load) { l.PrefillTokensPerSecond /= 2 }), prefill},
		"evicted":      {func(table *Table) { table.ApplyCacheEvent(start, "worse", 1, true) }, prefill},
		"far":          {func(table *Table) { table.SetLatency("worse", time.Millisecond) }, link},
	} {
		table := newTestTable(t, "usual", "worse")
		for _, id := range []string{"usual", "worse"} {
			table.ApplyLoad(start, id, baseline)
			table.ApplyCacheEvent(start, id, 1, false)
		}
		sign.apply(table)
		req := Request{PromptTokens: 100, OutputTokens: 100, Blocks: []uint64{1, 2}}
		views := table.Explain(start, req, 1).Replicas
		require.Greater(t, sign.term(views[1].Terms), sign.term(views[0].Terms), name)
		require.Greater(t, views[1].Terms.Total(), views[0].Terms.Total(), name)
	}
}
