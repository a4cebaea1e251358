package report

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"masticbank.example/cmd/internal/load"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// legendSpace is the part of the X axis that is left free for the legend.
	legendSpace = 0.12
)

// palette tells ranks apart, also for readers who do not see all colours.
var palette = []color.Color{
	color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
}

var markColor = color.RGBA{R: 0xaa, G: 0xaa, B: 0xaa, A: 0xff}

// figure is one plot over the time of a run.
type figure struct {
	title string
	unit  string
	lines []line
	// marks are the starts of phases and the faults, in seconds.
	marks []float64
	// level is drawn as a horizontal line when above 0.
	level     float64
	levelName string
}

// line is one line of a figure; values below 0 are left out.
type line struct {
	name   string
	values []float64
}

// missing is the value of a second without one.
const missing = -1

// figures returns the plots of one result.
func figures(r *load.Result) []figure {
	return []figure{
		{
			title: "Goodput by rank", unit: "tokens a second", marks: marks(r),
			lines: byRank(r, func(p load.Point) float64 { return float64(p.GoodTokens) }),
			level: r.Whole.BoundTokensPerSecond, levelName: "bound",
		},
		{
			title: "First token, p95 by second of arrival", unit: "ms", marks: marks(r),
			lines: byRank(r, firstToken),
		},
		{
			title: "Requests by second of arrival", unit: "requests a second", marks: marks(r),
			lines: byOutcome(r),
		},
	}
}

func marks(r *load.Result) []float64 {
	var out []float64
	start := 0.0
	for _, p := range r.Phases {
		out = append(out, start)
		start += p.Seconds
	}
	for _, f := range r.Faults {
		out = append(out, f.AtSeconds)
	}
	return out
}

// firstToken returns the time to the first token in milliseconds.
func firstToken(p load.Point) float64 {
	if p.FirstTokenP95 == 0 {
		return missing
	}
	return millis(p.FirstTokenP95)
}

// byRank returns one line for each rank that has a value above 0.
func byRank(r *load.Result, value func(load.Point) float64) []line {
	var out []line
	for _, s := range r.Series {
		l := line{name: s.Rank, values: values(s.Points, value)}
		if highestOf(l.values) > 0 {
			out = append(out, l)
		}
	}
	return out
}

func byOutcome(r *load.Result) []line {
	if len(r.Series) == 0 {
		return nil
	}
	all := r.Series[0].Points
	return []line{
		{"arrived", values(all, func(p load.Point) float64 { return float64(p.Arrived) })},
		{"completed", values(all, func(p load.Point) float64 { return float64(p.Completed) })},
		{"refused", values(all, func(p load.Point) float64 { return float64(p.Refused) })},
		{"lost", values(all, func(p load.Point) float64 { return float64(p.Lost) })},
	}
}

func values(points []load.Point, value func(load.Point) float64) []float64 {
	out := make([]float64, 0, len(points))
	for _, p := range points {
		out = append(out, value(p))
	}
	return out
}

// image draws the figure as a PNG in a data URL.
func (f figure) image() (template.URL, error) {
	p := plot.New()
	p.Title.Text = f.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = f.unit
	p.Y.Min = 0
	p.Legend.Top = true
	highest, length := f.level, 0
	for i, l := range f.lines {
		drawn, err := plotter.NewLine(points(l.values))
		if err != nil {
			return "", trace.Wrap(err)
		}
		drawn.Color = palette[i%len(palette)]
		drawn.Width = lineWidth
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
		highest = max(highest, highestOf(l.values))
		length = max(length, len(l.values))
	}
	p.X.Max = float64(length) * (1 + legendSpace)
	if err := f.addMarks(p, highest); err != nil {
		return "", trace.Wrap(err)
	}
	return encode(p)
}

// addMarks draws the vertical marks and the level.
func (f figure) addMarks(p *plot.Plot, highest float64) error {
	for _, at := range f.marks {
		mark, err := dashed(plotter.XYs{{X: at, Y: 0}, {X: at, Y: highest}})
		if err != nil {
			return err
		}
		p.Add(mark)
	}
	if f.level <= 0 || len(f.lines) == 0 {
		return nil
	}
	end := float64(len(f.lines[0].values))
	level, err := dashed(plotter.XYs{{X: 0, Y: f.level}, {X: end, Y: f.level}})
	if err != nil {
		return err
	}
	p.Add(level)
	p.Legend.Add(f.levelName, level)
	return nil
}

func dashed(xys plotter.XYs) (*plotter.Line, error) {
	l, err := plotter.NewLine(xys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.Color = markColor
	l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	return l, nil
}

func points(values []float64) plotter.XYs {
	var out plotter.XYs
	for i, v := range values {
		if v >= 0 {
			out = append(out, plotter.XY{X: float64(i), Y: v})
		}
	}
	return out
}

func highestOf(values []float64) float64 {
	highest := 0.0
	for _, v := range values {
		highest = max(highest, v)
	}
	return highest
}

func encode(p *plot.Plot) (template.URL, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return "", trace.Wrap(err)
	}
	var png bytes.Buffer
	if _, err := writer.WriteTo(&png); err != nil {
		return "", trace.Wrap(err)
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes())), nil
}
