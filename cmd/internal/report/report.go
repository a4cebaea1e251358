// Package report renders the results of load runs as an HTML page with plots, and
// compares two results.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"unicode"

	"github.com/gravitational/trace"

	"masticbank.example/cmd/internal/load"
	"masticbank.example/node/metrics"
)

// FileName is the name of the HTML page that Write creates.
const FileName = "report.html"

//go:embed report.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"ms":      millis,
	"ofBound": percentOfBound,
	"inTime":  percentInTime,
	"outcome": func(g load.Group, o string) int { return g.Outcomes[load.Outcome(o)] },
	"times":   formatPercentiles,
}).Parse(pageSource))

// pageData is the template data of the page.
type pageData struct {
	Results     []resultData
	Comparisons []Comparison
}

type resultData struct {
	*load.Result
	Images []template.URL
	Tables []table
}

// table lists the groups of one summary.
type table struct {
	Title string
	Rows  []tableRow
}

type tableRow struct {
	Name string
	load.Group
}

// Write creates dir if necessary, and writes into it the page and one JSON file for
// each result. Each further result is compared with the first one.
func Write(dir string, results ...*load.Result) error {
	if len(results) == 0 {
		return trace.BadParameter("no results to report")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	var data pageData
	for i, r := range results {
		resultPage, err := newResultData(r)
		if err != nil {
			return trace.Wrap(err)
		}
		data.Results = append(data.Results, resultPage)
		if i > 0 {
			data.Comparisons = append(data.Comparisons, Compare(results[0], r))
		}
		name := fmt.Sprintf("%d-%s.json", i+1, sanitizeFileName(r.Name))
		if err := r.WriteFile(filepath.Join(dir, name)); err != nil {
			return trace.Wrap(err)
		}
	}
	return writePage(filepath.Join(dir, FileName), data)
}

// sanitizeFileName replaces characters that are unsafe in file names by
// underscores.
func sanitizeFileName(name string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsLetter(r) || unicode.IsDigit(r) || r == '.' || r == '-' {
			return r
		}
		return '_'
	}, name)
}

func writePage(path string, data pageData) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := pageTemplate.Execute(file, data); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(file.Close())
}

func newResultData(r *load.Result) (resultData, error) {
	out := resultData{Result: r}
	for _, c := range charts(r) {
		image, err := c.render()
		if err != nil {
			return out, trace.Wrap(err, "rendering chart %q", c.title)
		}
		out.Images = append(out.Images, image)
	}
	out.Tables = append(out.Tables,
		newTable("By rank", r.Whole.Ranks), newTable("By workspace", r.Whole.Workspaces),
		newTable("By flow", r.Whole.Flows))
	for _, p := range r.Phases {
		out.Tables = append(out.Tables,
			newTable("Phase "+p.Name+", by rank", p.Summary.Ranks),
			newTable("Phase "+p.Name+", by flow", p.Summary.Flows))
	}
	return out, nil
}

func newTable(title string, groups map[string]load.Group) table {
	t := table{Title: title}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		t.Rows = append(t.Rows, tableRow{Name: name, Group: groups[name]})
	}
	return t
}

// formatPercentiles formats p50 / p95 / p99 of a distribution in milliseconds.
func formatPercentiles(d metrics.Distribution) string {
	if d.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f / %.0f / %.0f", millis(d.P50), millis(d.P95), millis(d.P99))
}
