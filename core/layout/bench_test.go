package layout_test

import (
	"fmt"
	"testing"

	"masticbank.example/core/layout"
)

// BenchmarkPlan measures planning a layout that needs no change, and one after the loss of a
// replica.
func BenchmarkPlan(b *testing.B) {
	for _, zones := range []int{3, 8, 80} {
		m := model()
		var replicas []layout.Replica
		for z := range zones {
			replicas = append(replicas, zone(fmt.Sprintf("z%02d", z), map[string]int{"h100": 1, "a100s": 1, "l4": 5, "t4": 7})...)
		}
		converge(b, m, replicas)
		for name, list := range map[string][]layout.Replica{"stable": replicas, "loss": without(replicas, replicas[3].ID)} {
			b.Run(fmt.Sprintf("%s-%d", name, len(list)), func(b *testing.B) {
				for b.Loop() {
					work := append([]layout.Replica(nil), list...)
					layout.Plan(m, work, always)
				}
			})
		}
	}
}
