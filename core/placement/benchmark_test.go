package placement

import (
	"fmt"
	"testing"
)

// overlappingRanges holds layer ranges in eighths of a model, as held by three kinds of
// accelerators.
var overlappingRanges = [][2]int{{0, 3}, {4, 7}, {0, 1}, {2, 3}, {4, 5}, {6, 7}, {0, 2}, {3, 5}, {2, 5}}

// benchmarkInput returns engines in 15 zones for models with 80 layers.
func benchmarkInput(models, engines int) Input {
	in := Input{Epoch: 1, MaxLoads: max(2, engines/120)}
	for m := range models {
		name := fmt.Sprint("m", m)
		in.Models = append(in.Models, Model{Name: name, Version: "1", Layers: 80, Demand: engines / models / 2})
	}
	for i := range engines {
		kind := i / models % len(overlappingRanges)
		r := overlappingRanges[kind]
		in.Engines = append(in.Engines, Engine{
			ID: fmt.Sprintf("e%05d", i), Zone: fmt.Sprint("z", i%15), Accelerator: fmt.Sprint("k", kind%6), Live: true, Units: 8,
			Held: Assignment{in.Models[i%models].Name, "1", r[0] * 10, r[1]*10 + 9},
		})
	}
	return in
}

func BenchmarkStep(b *testing.B) {
	removeRange := func(in *Input) {
		for i := range in.Engines {
			if e := &in.Engines[i]; e.Held.Model == "m0" && e.Held.First >= 40 {
				e.Live = false
			}
		}
	}
	cases := []struct {
		name   string
		change func(*Input)
	}{
		{"quiet", func(*Input) {}},
		{"lost_range", removeRange},
		{"new_version", func(in *Input) { in.Models[0].Version = "2" }},
		{"overload", func(in *Input) {
			for i := range in.Models {
				in.Models[i].Demand *= 100
			}
		}},
	}
	for _, size := range []struct{ models, engines int }{{1, 40}, {5, 12000}} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("engines=%d/%s", size.engines, c.name), func(b *testing.B) {
				in := benchmarkInput(size.models, size.engines)
				c.change(&in)
				b.ReportAllocs()
				orders := 0
				for b.Loop() {
					p := New(DefaultMargins())
					orders = len(p.Step(in).Orders)
				}
				b.ReportMetric(float64(orders), "orders/op")
			})
		}
	}
}
