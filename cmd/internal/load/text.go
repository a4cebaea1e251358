package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// WriteText writes a table with one line for each phase and rank, and the checks.
func (r *Result) WriteText(out io.Writer) error {
	var w strings.Builder
	fmt.Fprintf(&w, "%-14s %-8s %8s %8s %9s %9s %9s %9s %9s\n",
		"phase", "rank", "requests", "in time", "tokens/s", "first p50", "first p95", "token p95", "total p95")
	for _, p := range r.Phases {
		writePhase(&w, &p)
	}
	if c := r.Checks; c != nil {
		fmt.Fprintf(&w, "checks: %+v\n", *c)
	}
	_, err := io.WriteString(out, w.String())
	return trace.Wrap(err)
}

func writePhase(w *strings.Builder, p *PhaseResult) {
	s := &p.Summary
	writeGroup(w, p.Name, "all", &s.All)
	for _, rank := range slices.Sorted(maps.Keys(s.Ranks)) {
		g := s.Ranks[rank]
		writeGroup(w, p.Name, rank, &g)
	}
	if s.BoundTokensPerSecond > 0 {
		fmt.Fprintf(w, "%-14s bound %.0f tokens/s, goodput %.1f %% of it, Jain %.3f\n",
			p.Name, s.BoundTokensPerSecond, 100*s.All.GoodputTokensPerSecond/s.BoundTokensPerSecond, s.Jain)
	}
}

func writeGroup(w *strings.Builder, phase, rank string, g *Group) {
	fmt.Fprintf(w, "%-14s %-8s %8d %8d %9.1f %9s %9s %9s %9s\n", phase, rank, g.Requests, g.InTime, g.GoodputTokensPerSecond,
		formatMicros(g.FirstToken.P50), formatMicros(g.FirstToken.P95), formatMicros(g.BetweenTokens.P95), formatMicros(g.Total.P95))
}

// formatMicros formats a number of microseconds as a duration.
func formatMicros(n int64) string {
	return time.Duration(n * int64(time.Microsecond)).Round(100 * time.Microsecond).String()
}
