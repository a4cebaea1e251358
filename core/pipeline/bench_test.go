package pipeline_test

import (
	"fmt"
	"testing"

	"masticbank.example/core/pipeline"
)

// fleetOf returns zones of 13 replicas that together hold all 80 layers.
func fleetOf(replicas int) *pipeline.Fleet {
	m := model(80)
	f := pipeline.NewFleet(m)
	var list []pipeline.Replica
	const perZone = 13
	for i := range replicas {
		at := i % perZone
		from, to := at*80/perZone, (at+1)*80/perZone
		list = append(list, replica(fmt.Sprintf("r%05d", i), fmt.Sprintf("z%d", i/perZone), "large", from, to))
	}
	f.SetReplicas(start, list)
	return f
}

// BenchmarkChoose measures choosing a path and reserving it.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{39, 104, 1001} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fleetOf(n)
			d := pipeline.Demand{Prompt: 760, Output: 174}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := f.Choose(start, d, pipeline.Constraint{})
				if !ok {
					b.Fatal("no path")
				}
				f.Reserve(start, c.Path, d)
				f.Release(c.Path, d)
			}
		})
	}
}
