package report

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"masticbank.example/cmd/internal/load"
)

// Comparison lists the metrics of two results side by side.
type Comparison struct {
	A    string
	B    string
	Rows []Row
}

// Row holds the values of one metric in both results.
type Row struct {
	// Scope is the phase, with the rank if there is one, that the metric is
	// computed for.
	Scope  string
	Metric string
	Unit   string
	A      float64
	B      float64
}

// Change returns the relative change from A to B; it is NaN if A is 0.
func (r Row) Change() float64 {
	if r.A == 0 {
		return math.NaN()
	}
	return r.B/r.A - 1
}

// ChangeText returns the change in percent, or "-" if it is undefined.
func (r Row) ChangeText() string {
	change := r.Change()
	if math.IsNaN(change) {
		return "-"
	}
	return fmt.Sprintf("%+.1f %%", 100*change)
}

// Compare returns the metrics of two runs of the same scenario: goodput, fairness,
// and latencies and outcomes by rank, for the whole run and for each phase that
// both have.
func Compare(a, b *load.Result) Comparison {
	c := Comparison{A: a.Name, B: b.Name}
	c.addSummary("whole", a.Whole, b.Whole)
	for _, p := range a.Phases {
		i := slices.IndexFunc(b.Phases, func(q load.PhaseResult) bool { return q.Name == p.Name })
		if i >= 0 {
			c.addSummary(p.Name, p.Summary, b.Phases[i].Summary)
		}
	}
	return c
}

func (c *Comparison) addSummary(scope string, a, b load.Summary) {
	c.add(scope, "goodput", "tokens/s", a.All.GoodputTokensPerSecond, b.All.GoodputTokensPerSecond)
	c.add(scope, "goodput of bound", "%", percentOfBound(a), percentOfBound(b))
	c.add(scope, "Jain's index", "", a.Jain, b.Jain)
	for _, rank := range slices.Sorted(maps.Keys(a.Ranks)) {
		c.addGroup(scope+" / "+rank, a.Ranks[rank], b.Ranks[rank])
	}
}

func (c *Comparison) addGroup(scope string, a, b load.Group) {
	c.add(scope, "requests", "", float64(a.Requests), float64(b.Requests))
	c.add(scope, "in time", "%", percentInTime(a), percentInTime(b))
	c.add(scope, "wrong or partial", "", float64(incorrectResponses(a)), float64(incorrectResponses(b)))
	c.add(scope, "first token p50", "ms", millis(a.FirstToken.P50), millis(b.FirstToken.P50))
	c.add(scope, "first token p95", "ms", millis(a.FirstToken.P95), millis(b.FirstToken.P95))
	c.add(scope, "between tokens p95", "ms", millis(a.BetweenTokens.P95), millis(b.BetweenTokens.P95))
	c.add(scope, "total p95", "ms", millis(a.Total.P95), millis(b.Total.P95))
}

func (c *Comparison) add(scope, metric, unit string, a, b float64) {
	c.Rows = append(c.Rows, Row{Scope: scope, Metric: metric, Unit: unit, A: a, B: b})
}

// WriteText writes the comparison as a table.
func (c Comparison) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "scope\tmetric\tA: %s\tB: %s\tunit\tchange\n", c.A, c.B)
	for _, r := range c.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\t%s\t%s\n", r.Scope, r.Metric, r.A, r.B, r.Unit, r.ChangeText())
	}
	return table.Flush()
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// percentOfBound returns the goodput as a percentage of the throughput bound; 0 if
// the bound is unknown.
func percentOfBound(s load.Summary) float64 {
	if s.BoundTokensPerSecond == 0 {
		return 0
	}
	return 100 * s.All.GoodputTokensPerSecond / s.BoundTokensPerSecond
}

// percentInTime returns the percentage of requests that completed within their
// deadline.
func percentInTime(g load.Group) float64 {
	if g.Requests == 0 {
		return 0
	}
	return 100 * float64(g.InTime) / float64(g.Requests)
}

func incorrectResponses(g load.Group) int {
	return g.Outcomes[load.Wrong] + g.Outcomes[load.Partial]
}
