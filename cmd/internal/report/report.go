// Package report turns results of load runs into an HTML page with plots and
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

// FileName is the name of the page that Write makes.
const FileName = "report.html"

//go:embed report.tmpl
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"ms":      millis,
	"ofBound": ofBound,
	"inTime":  inTime,
	"outcome": func(g load.Group, o string) int { return g.Outcomes[load.Outcome(o)] },
	"times":   times,
}).Parse(pageText))

// pageData is the content of the page.
type pageData struct {
	Results     []resultData
	Comparisons []Comparison
}

type resultData struct {
	*load.Result
	Images []template.URL
	Tables []table
}

// table shows the groups of one summary.
type table struct {
	Title string
	Rows  []tableRow
}

type tableRow struct {
	Name string
	load.Group
}

// Write writes the page and one JSON file for each result into dir, which is
// created when missing. All results but the first are compared with it.
func Write(dir string, results ...*load.Result) error {
	if len(results) == 0 {
		return trace.BadParameter("no results to report")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	var data pageData
	for i, r := range results {
		shown, err := show(r)
		if err != nil {
			return trace.Wrap(err)
		}
		data.Results = append(data.Results, shown)
		if i > 0 {
			data.Comparisons = append(data.Comparisons, Compare(results[0], r))
		}
		name := fmt.Sprintf("%d-%s.json", i+1, fileSafe(r.Name))
		if err := r.WriteFile(filepath.Join(dir, name)); err != nil {
			return trace.Wrap(err)
		}
	}
	return writePage(filepath.Join(dir, FileName), data)
}

// fileSafe replaces what does not belong in a file name.
func fileSafe(name string) string {
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
	if err := page.Execute(file, data); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(file.Close())
}

func show(r *load.Result) (resultData, error) {
	out := resultData{Result: r}
	for _, f := range figures(r) {
		image, err := f.image()
		if err != nil {
			return out, trace.Wrap(err, "drawing %q", f.title)
		}
		out.Images = append(out.Images, image)
	}
	out.Tables = append(out.Tables,
		tableOf("By rank", r.Whole.Ranks), tableOf("By workspace", r.Whole.Workspaces),
		tableOf("By flow", r.Whole.Flows))
	for _, p := range r.Phases {
		out.Tables = append(out.Tables,
			tableOf("Phase "+p.Name+", by rank", p.Summary.Ranks),
			tableOf("Phase "+p.Name+", by flow", p.Summary.Flows))
	}
	return out, nil
}

func tableOf(title string, groups map[string]load.Group) table {
	t := table{Title: title}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		t.Rows = append(t.Rows, tableRow{Name: name, Group: groups[name]})
	}
	return t
}

// times shows a distribution in milliseconds as p50 / p95 / p99.
func times(d metrics.Distribution) string {
	if d.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f / %.0f / %.0f", millis(d.P50), millis(d.P95), millis(d.P99))
}
