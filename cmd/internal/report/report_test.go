package report

import (
	"bytes"
	"encoding/base64"
	"image"
	"image/color"
	"image/png"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/cmd/internal/load"
	"masticbank.example/node/metrics"
)

func newTestResult(name string, p95 int64) *load.Result {
	group := load.Group{
		Requests: 10, InTime: 8, GoodputTokensPerSecond: 40,
		Outcomes:   map[load.Outcome]int{load.Completed: 8, load.Wrong: 2},
		FirstToken: metrics.Distribution{Count: 8, P50: 1000, P95: p95, P99: p95},
	}
	summary := load.Summary{
		All: group, Ranks: map[string]load.Group{"urgent": group},
		BoundTokensPerSecond: 80, Jain: 0.9,
	}
	return &load.Result{
		Name: name, Started: time.Unix(0, 0).UTC(), Seconds: 2, Interrupted: true, Whole: summary,
		Phases: []load.PhaseResult{{Name: "steady", Seconds: 2, Summary: summary}},
		Series: []load.Series{{Rank: "all", Points: []load.Point{
			{Arrived: 10, GoodTokens: 80, FirstTokenP95: 900},
			{Arrived: 5, GoodTokens: 40, FirstTokenP95: 500},
			{Arrived: 2, GoodTokens: 10, FirstTokenP95: 200},
		}}},
		Faults: []load.FaultResult{{Name: "one", AtSeconds: 1, RecoverySeconds: -1}},
		Checks: &load.Checks{Violations: 3},
	}
}

// The page contains every result with its plots and defects, and the JSON files
// contain the complete results.
func TestWrite(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	first, second := newTestResult("before <b>", 2000), newTestResult("after/all", 1000)
	require.NoError(t, Write(dir, first, second))
	data, err := os.ReadFile(filepath.Join(dir, FileName))
	require.NoError(t, err)
	text := string(data)
	require.NotContains(t, text, "before <b>")
	for _, want := range []string{
		"before &lt;b&gt;", "The run was ended early", "3 steps out of order", "not seen",
		`class="bad">2</td>`, "after/all compared with", "-50.0 %",
	} {
		require.Contains(t, text, want)
	}
	images := regexp.MustCompile(`data:image/png;base64,([^"]+)"`).FindAllStringSubmatch(text, -1)
	require.Len(t, images, 2*len(charts(first)))
	for _, encoded := range images {
		raw, err := base64.StdEncoding.DecodeString(strings.ReplaceAll(encoded[1], "&#43;", "+"))
		require.NoError(t, err)
		drawn, err := png.Decode(bytes.NewReader(raw))
		require.NoError(t, err)
		require.True(t, hasColor(drawn, palette[0]), "the first line is drawn")
	}
	read, err := load.ReadFile(filepath.Join(dir, "2-after_all.json"))
	require.NoError(t, err)
	require.Equal(t, second, read)
}

// hasColor searches the part of the plot area that is left of the legend and
// contains no text.
func hasColor(m image.Image, want color.Color) bool {
	size := m.Bounds()
	r, g, b, _ := want.RGBA()
	for y := size.Dy() / 6; y < size.Dy()*3/4; y++ {
		for x := size.Dx() / 6; x < size.Dx()/2; x++ {
			if xr, xg, xb, _ := m.At(x, y).RGBA(); xr == r && xg == g && xb == b {
				return true
			}
		}
	}
	return false
}

func TestCompare(t *testing.T) {
	c := Compare(newTestResult("a", 2000), newTestResult("b", 3000))
	var text bytes.Buffer
	require.NoError(t, c.WriteText(&text))
	require.Regexp(t, `steady / urgent +first token p95 +2 +3 +ms +\+50.0 %`, text.String())
	require.Regexp(t, `whole +goodput of bound +50 +50 +% +\+0.0 %`, text.String())
}
