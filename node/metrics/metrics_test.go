package metrics

import (
	"context"
	"encoding/json"
	"expvar"
	"flag"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/execution"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// referenceHistogram is a reference implementation of a histogram that keeps all values
// by slice.
type referenceHistogram [][]int64

func (r referenceHistogram) window() []int64 {
	return slices.Concat(r[max(0, len(r)-sliceCount):]...)
}

func checkDistribution(t require.TestingT, values []int64, got Distribution) {
	require.Equal(t, int64(len(values)), got.Count)
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	for p, value := range map[float64]int64{50: got.P50, 90: got.P90, 95: got.P95, 99: got.P99, 100: got.Max} {
		rank := max(int(math.Round(p/100*float64(len(values)))), 1)
		exact := float64(values[rank-1])
		require.InDelta(t, exact, value, 0.01*exact+1, "p%v", p)
	}
}

// Both distributions of a histogram agree within 1 % with those of referenceHistogram.
func TestHistogramAgainstSortedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, all := newSlidingHistogram(), referenceHistogram{nil}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 {
				h.rotate()
				all = append(all, nil)
				continue
			}
			micros := rapid.Int64Range(minMicros, maxMicros).Draw(t, "us")
			h.record(time.Duration(micros) * time.Microsecond)
			all[len(all)-1] = append(all[len(all)-1], micros)
		}
		got := h.percentiles(newHistogram())
		checkDistribution(t, all.window(), got.Window)
		checkDistribution(t, slices.Concat(all...), got.Cumulative)
	})
}

// For random sequences of requests, the number of series of workspaces is limited,
// nothing recorded is lost, and the most used workspace has its own series.
func TestWorkspacesAreBounded(t *testing.T) {
	const limit = 3
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{MaxWorkspaces: limit})
		finished := 0
		record := func(name string, n int) {
			for range n {
				q := r.NewRequest(0, name)
				q.Observe(Total, time.Second)
				q.Finish(Completed, execution.Ran)
			}
			finished += n
		}
		for range rapid.IntRange(0, 30).Draw(t, "actions") {
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "workspace"))
			record(name, rapid.IntRange(1, 20).Draw(t, "requests"))
			if rapid.Bool().Draw(t, "rotate") {
				r.Rotate()
			}
		}
		record("top", 1000)
		r.Rotate()
		record("top", 1)
		s := r.Snapshot()
		require.LessOrEqual(t, len(s.Workspaces), limit)
		require.Equal(t, uint64(1), s.Workspaces["top"].Outcomes["completed"]["ran"]%1000)
		require.Equal(t, finished, total(s))
	})
}

// total returns the number of finished requests of all workspaces, or -1 if it differs
// from the number of recorded durations.
func total(s Snapshot) int {
	counted, durations := 0, 0
	for _, w := range append(slices.Collect(mapValues(s.Workspaces)), s.Other) {
		counted += int(w.Outcomes["completed"]["ran"])
		durations += int(w.Total.Cumulative.Count)
	}
	if counted != durations {
		return -1
	}
	return counted
}

func mapValues(m map[string]Series) func(func(Series) bool) {
	return func(yield func(Series) bool) {
		for _, v := range m {
			if !yield(v) {
				return
			}
		}
	}
}

// Folding series during concurrent requests loses no recorded value.
func TestConcurrentUse(t *testing.T) {
	const workers, each = 8, 400
	r := New(Options{MaxWorkspaces: 2, Ranks: []string{"urgent"}})
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for i := range each {
				q := r.NewRequest(worker%2, fmt.Sprint((worker+i/50)%6))
				if i%25 == 0 {
					r.Rotate()
				}
				q.Observe(Total, time.Millisecond)
				q.Finish(Completed, execution.Ran)
				r.Add(Attempts, 1)
				r.CountRefusal(fmt.Sprint(i))
			}
		})
	}
	group.Wait()
	s := r.Snapshot()
	require.Equal(t, workers*each, total(s))
	require.Equal(t, uint64(workers*each), s.Counters["attempts"])
	require.LessOrEqual(t, len(s.Refusals), maxReasons)
	require.Contains(t, s.Ranks, "urgent")
	require.Contains(t, s.Ranks, "1")
}

func TestRunRotatesWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Ranks: []string{"urgent"}})
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		r.NewRequest(0, "w").Observe(FirstToken, 1500*time.Microsecond)
		time.Sleep(2*slicePeriod + 1)
		require.Equal(t, int64(1), r.Snapshot().Ranks["urgent"].FirstToken.Window.Count)
		time.Sleep(slicePeriod)
		first := r.Snapshot().Ranks["urgent"].FirstToken
		require.Zero(t, first.Window.Count)
		require.Equal(t, int64(1), first.Cumulative.Count)
		stop()
	})
}

func TestPublishOnce(t *testing.T) {
	r := New(Options{})
	r.Set(ConfigRevision, 7)
	require.NoError(t, r.Publish("masticbank-test"))
	require.ErrorIs(t, r.Publish("masticbank-test"), ErrPublished)
	var s Snapshot
	require.NoError(t, json.Unmarshal([]byte(expvar.Get("masticbank-test").String()), &s))
	require.Equal(t, int64(7), s.Gauges["config_revision"])
}
