package demand

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func BenchmarkShares(b *testing.B) {
	for _, instances := range []int{9, 32, 128} {
		for _, workspaces := range []int{0, 8, 32} {
			b.Run(fmt.Sprintf("instances=%d/workspaces=%d", instances, workspaces), func(b *testing.B) {
				pool, live, digests := benchmarkScenario(instances, workspaces)
				b.ReportAllocs()
				for b.Loop() {
					_ = Shares(pool, live, digests, live[0], digests[0].Pools[0])
				}
			})
		}
	}
}

func benchmarkScenario(instances, workspaces int) (Pool, []string, []Digest) {
	pool := Pool{Name: testPool, Capacity: 40 * instances, MinShares: []float64{0.5, 0.2, 0.05}}
	rng := rand.New(rand.NewPCG(2, 20261204))
	var live []string
	var digests []Digest
	for i := range instances {
		id := fmt.Sprintf("m%04d", i)
		live = append(live, id)
		var loads []Load
		for w := range workspaces + 5 {
			loads = append(loads, Load{
				Workspace: fmt.Sprintf("workspace-%d", w), Rank: rng.IntN(3),
				Queued: rng.IntN(20), InFlight: rng.IntN(5), Weight: WeightUnit,
			})
		}
		digests = append(digests, Digest{Instance: id, Sequence: 1, Pools: []PoolDemand{Summarize(testPool, 3, loads, workspaces)}})
	}
	return pool, live, digests
}
