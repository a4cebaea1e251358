package layout_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/layout"
)

// TestLayersOutsideTheModelDoNotEndThePlan guards against a panic by an index outside the model's
// layers: every leader that read such an entry would end, one after the other. No assignment may
// lie outside the model either.
func TestLayersOutsideTheModelDoNotEndThePlan(t *testing.T) {
	outside := []struct {
		name     string
		from, to int
	}{
		{"one layer more", 0, 81},
		{"last layers and more", 70, 90},
		{"beyond the last layer", 80, 81},
		{"far beyond", 1000, 1010},
		{"up to the largest number", 0, math.MaxInt},
		{"the largest numbers", math.MaxInt - 1, math.MaxInt},
		{"negative", -10, 5},
		{"only negative", -10, -5},
		{"backwards", 50, 20},
	}
	m := model()
	fleets := map[string][]layout.Replica{
		"one pipeline":      zone("quito", map[string]int{"h100": 1, "l4": 8}),
		"several pipelines": zone("quito", map[string]int{"h100": 4, "l4": 24}),
	}
	for name, replicas := range fleets {
		apply(replicas, layout.Plan(m, replicas, always))
		for _, o := range outside {
			for _, pending := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/pending=%t", name, o.name, pending), func(t *testing.T) {
					for _, count := range []int{1, len(replicas)} {
						odd := slices.Clone(replicas)
						for i := range count {
							setRange(&odd[i], o.from, o.to, pending)
						}
						for _, a := range layout.Plan(m, slices.Clone(odd), always) {
							require.GreaterOrEqual(t, a.From, 0)
							require.Greater(t, a.To, a.From)
							require.LessOrEqual(t, a.To, m.Layers)
						}
					}
				})
			}
		}
	}
}

func setRange(r *layout.Replica, from, to int, pending bool) {
	if pending {
		r.PendingFrom, r.PendingTo = from, to
		return
	}
	r.From, r.To = from, to
}
