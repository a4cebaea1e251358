package neighbor

import (
	"fmt"
	"testing"
)

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 100, 1900} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := fleet(n, min(n, fleetZones))
			chooser := NewChooser(DefaultLimits())
			b.ReportAllocs()
			for b.Loop() {
				chooser.Choose(all[0], all)
			}
		})
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{40, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			replicas := make([]string, n)
			for i := range replicas {
				replicas[i] = fmt.Sprintf("replica-%05d", i)
			}
			for b.Loop() {
				Subset("masticbank-00001", replicas, 256)
			}
		})
	}
}
