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
	// legendSpace is the free space for the legend, as a fraction of the length of
	// the X axis.
	legendSpace = 0.12
)

// palette holds the line colours. They can be distinguished with common kinds of
// colour blindness.
var palette = []color.Color{
	color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
}

var markerColor = color.RGBA{R: 0xaa, G: 0xaa, B: 0xaa, A: 0xff}

// chart is a plot over the duration of a run.
type chart struct {
	title string
	unit  string
	lines []line
	// markers are the times of phase starts and faults in seconds.
	markers []float64
	// referenceLevel is drawn as a horizontal line if it is greater than 0.
	referenceLevel float64
	referenceName  string
}

// line is one line of a chart, with one value per second. Negative values are not
// drawn.
type line struct {
	name   string
	values []float64
}

// noValue marks a second without a value.
const noValue = -1

// charts returns the charts of one result.
func charts(r *load.Result) []chart {
	return []chart{
		{
			title: "Goodput by rank", unit: "tokens per second", markers: phaseAndFaultTimes(r),
			lines:          linesByRank(r, func(p load.Point) float64 { return float64(p.GoodTokens) }),
			referenceLevel: r.Whole.BoundTokensPerSecond, referenceName: "bound",
		},
		{
			title: "First token, p95 by second of arrival", unit: "ms", markers: phaseAndFaultTimes(r),
			lines: linesByRank(r, firstTokenMillis),
		},
		{
			title: "Requests by second of arrival", unit: "requests per second", markers: phaseAndFaultTimes(r),
			lines: linesByOutcome(r),
		},
	}
}

func phaseAndFaultTimes(r *load.Result) []float64 {
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

// firstTokenMillis returns the p95 time to first token in milliseconds.
func firstTokenMillis(p load.Point) float64 {
	if p.FirstTokenP95 == 0 {
		return noValue
	}
	return millis(p.FirstTokenP95)
}

// linesByRank returns one line for each rank that has a value greater than 0.
func linesByRank(r *load.Result, value func(load.Point) float64) []line {
	var out []line
	for _, s := range r.Series {
		l := line{name: s.Rank, values: values(s.Points, value)}
		if maxOf(l.values) > 0 {
			out = append(out, l)
		}
	}
	return out
}

func linesByOutcome(r *load.Result) []line {
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

// render draws the chart and returns it as a PNG data URL.
func (c chart) render() (template.URL, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	highest, length := c.referenceLevel, 0
	for i, l := range c.lines {
		drawn, err := plotter.NewLine(plotPoints(l.values))
		if err != nil {
			return "", trace.Wrap(err)
		}
		drawn.Color = palette[i%len(palette)]
		drawn.Width = lineWidth
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
		highest = max(highest, maxOf(l.values))
		length = max(length, len(l.values))
	}
	p.X.Max = float64(length) * (1 + legendSpace)
	if err := c.addMarkers(p, highest); err != nil {
		return "", trace.Wrap(err)
	}
	return encodePNG(p)
}

// addMarkers draws the vertical markers and the reference level.
func (c chart) addMarkers(p *plot.Plot, highest float64) error {
	for _, at := range c.markers {
		marker, err := dashedLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: highest}})
		if err != nil {
			return err
		}
		p.Add(marker)
	}
	if c.referenceLevel <= 0 || len(c.lines) == 0 {
		return nil
	}
	end := float64(len(c.lines[0].values))
	reference, err := dashedLine(plotter.XYs{{X: 0, Y: c.referenceLevel}, {X: end, Y: c.referenceLevel}})
	if err != nil {
		return err
	}
	p.Add(reference)
	p.Legend.Add(c.referenceName, reference)
	return nil
}

func dashedLine(xys plotter.XYs) (*plotter.Line, error) {
	l, err := plotter.NewLine(xys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.Color = markerColor
	l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	return l, nil
}

func plotPoints(values []float64) plotter.XYs {
	var out plotter.XYs
	for i, v := range values {
		if v >= 0 {
			out = append(out, plotter.XY{X: float64(i), Y: v})
		}
	}
	return out
}

func maxOf(values []float64) float64 {
	highest := 0.0
	for _, v := range values {
		highest = max(highest, v)
	}
	return highest
}

func encodePNG(p *plot.Plot) (template.URL, error) {
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
