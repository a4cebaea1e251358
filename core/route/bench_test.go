package route

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// benchTable returns a table of 40 layers with n replicas whose ranges are
// thirds, quarters and ranges that overlap these. It has three accelerator
// types, the slowest taking four times as long as the fastest, and load
// reports, observations and cached blocks.
func benchTable(b *testing.B, n int, p policy) (*Table, Request) {
	ranges := []Range{
		{0, 13},
		{14, 26},
		{27, 39},
		{0, 9},
		{10, 19},
		{20, 29},
		{30, 39},
		{10, 26},
		{14, 29},
		{0, 19},
		{20, 39},
	}
	table := NewTable(40, PolicyCost)
	table.policy = p
	req := Request{PromptTokens: 1500, OutputTokens: 200}
	for i := range uint64(100) {
		req.Blocks = append(req.Blocks, i+1)
	}
	for i := range n {
		id := fmt.Sprintf("replica-%d", i)
		held := ranges[i%len(ranges)]
		accelerator := i % 3
		if err := table.Upsert(Replica{ID: id, First: held.First, Last: held.Last, Accelerator: fmt.Sprint(accelerator)}); err != nil {
			b.Fatal(err)
		}
		table.SetLatency(id, time.Duration(250+i)*time.Microsecond)
		step := time.Duration((held.Last-held.First+1)<<accelerator*250+i) * time.Microsecond
		table.ApplyLoad(start, id, Load{Running: i % 16, Slots: 16, Step: step, PrefillTokensPerSecond: 8000})
		table.RecordSteps(id, 0, 1, step+time.Millisecond)
		for _, block := range req.Blocks[:i*7%len(req.Blocks)] {
			table.ApplyCacheEvent(start, id, block, false)
		}
	}
	return table, req
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 80, 160, 256, 512} {
		for limit, want := range map[int]Outcome{64: Chosen, 1: AllAtLimit} {
			b.Run(fmt.Sprintf("%v/replicas=%d", want, n), func(b *testing.B) {
				table, req := benchTable(b, n, newPolicy(PolicyCost))
				for id := range table.replicas {
					table.SetLimit(id, limit)
					table.RecordDispatch(id, 0)
				}
				b.ReportAllocs()
				i := uint64(0)
				for b.Loop() {
					i++
					if d := table.Choose(start, req, i); d.Outcome != want {
						b.Fatal(d.Outcome)
					}
				}
			})
		}
	}
}

// BenchmarkMemory reports the bytes held per replica and per cache hint.
func BenchmarkMemory(b *testing.B) {
	const n, hints = 256, maxCacheHints
	for b.Loop() {
		empty := heapBytes()
		table, _ := benchTable(b, n, newPolicy(PolicyCost))
		table.cache = newCacheIndex(hints)
		filled := heapBytes()
		for i := range uint64(hints) {
			table.ApplyCacheEvent(start, fmt.Sprintf("replica-%d", i%n), i, false)
		}
		b.ReportMetric(float64(filled-empty)/n, "B/replica")
		b.ReportMetric(float64(heapBytes()-filled)/hints, "B/hint")
		runtime.KeepAlive(table)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkCacheEvent(b *testing.B) {
	table, _ := benchTable(b, 256, newPolicy(PolicyCost))
	b.ReportAllocs()
	block := uint64(0)
	for b.Loop() {
		block++
		table.ApplyCacheEvent(start.Add(time.Duration(block)), "replica-7", block, false)
	}
}

// BenchmarkSameView lets nine instances choose between two load reports, each
// knowing only its own dispatches. It reports the expected time of the requests
// with all dispatches known, and the largest number of requests on one replica,
// both as means over the runs.
func BenchmarkSameView(b *testing.B) {
	policies := map[string]policy{
		"cost": newPolicy(PolicyCost), "cheapest": costPolicy{}, "random": newPolicy(PolicyRandom),
		"round_robin": newPolicy(PolicyRoundRobin), "least_in_flight": newPolicy(PolicyLeastInFlight),
	}
	for name, p := range policies {
		for _, each := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("%s/each=%d", name, each), func(b *testing.B) {
				benchSameView(b, p, each)
			})
		}
	}
}

func benchSameView(b *testing.B, p policy, each int) {
	var median, high, most, runs float64
	for b.Loop() {
		times, top := placeBetweenReports(b, p, each, uint64(runs))
		runs++
		median += times[len(times)/2]
		high += times[len(times)*95/100]
		most += float64(top)
	}
	b.ReportMetric(median/runs, "p50-s")
	b.ReportMetric(high/runs, "p95-s")
	b.ReportMetric(most/runs, "most")
}

// placeBetweenReports returns the sorted expected times, in seconds, and the
// largest number of requests on one replica.
func placeBetweenReports(b *testing.B, p policy, each int, seed uint64) (times []float64, most int) {
	const instances = 9
	truth, req := benchTable(b, 40, p)
	var paths []Path
	for instance := range instances {
		table, _ := benchTable(b, 40, p)
		table.SetInstances(instances)
		random := rand.New(rand.NewPCG(seed, uint64(instance)))
		for i := range table.roundRobinTurns {
			table.roundRobinTurns[i] = random.Uint64N(40)
		}
		table.choiceRate = choiceRate{count: float64(each), updatedAt: start.UnixNano()}
		for range each {
			path := table.Choose(start, req, random.Uint64()).Path
			paths = append(paths, path)
			for _, stage := range path.Stages {
				table.RecordDispatch(stage.ReplicaID, req.PromptTokens)
				truth.RecordDispatch(stage.ReplicaID, req.PromptTokens)
			}
		}
	}
	truth.beginChoice(start.UnixNano(), &req)
	for _, c := range paths {
		total := 0.0
		for _, stage := range c.Stages {
			r := truth.replicas[stage.ReplicaID]
			total += truth.costTerms(start.UnixNano(), &req, r, truth.cachedFraction(r)).Total()
			most = max(most, r.inFlight)
		}
		times = append(times, total)
	}
	slices.Sort(times)
	return times, most
}

// BenchmarkLone reports the mean expected time, relative to the lowest, of a
// request without others in flight.
func BenchmarkLone(b *testing.B) {
	table, req := benchTable(b, 40, newPolicy(PolicyCost))
	sum, runs := 0.0, uint64(0)
	for b.Loop() {
		runs++
		sum += table.Choose(start, req, runs).Path.Expected.Seconds() / table.lowestCost[0]
	}
	b.ReportMetric(sum/float64(runs), "to-lowest")
}
