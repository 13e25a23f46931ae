package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

// palette holds colours that remain distinguishable in print.
var palette = []color.Color{
	color.RGBA{31, 119, 180, 255},
	color.RGBA{214, 39, 40, 255},
	color.RGBA{44, 160, 44, 255},
	color.RGBA{148, 103, 189, 255},
	color.RGBA{255, 127, 14, 255},
	color.RGBA{23, 190, 207, 255},
	color.RGBA{140, 86, 75, 255},
	color.RGBA{127, 127, 127, 255},
	color.RGBA{188, 189, 34, 255},
	color.RGBA{227, 119, 194, 255},
}

// reportPage is the data of the report's template.
type reportPage struct {
	Sections []reportSection
	Table    string
}

// reportSection is the data of one verdict in the report.
type reportSection struct {
	Verdict
	Line  string
	Text  string
	Plots []template.HTML
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>Experiments</title>
<style>body{font:15px sans-serif;max-width:64em;margin:2em auto}svg{max-width:100%;height:auto}pre{background:#f4f4f2;padding:1em;overflow:auto}
.bad{color:#a00}</style><h1>Experiments</h1>
{{range .Sections}}<h2>{{.Experiment}}: {{.Program}}, seed {{.Seed}}</h2><p>{{.About}}</p>
<p{{if not .Passed}} class="bad"{{end}}>{{.Line}}</p>{{if not .IsValid}}<p class="bad">The machine was too busy (p99 {{printf "%.0f" .LatenessMs}} ms late): this run does not count.</p>{{end}}
<pre>{{.Text}}</pre>{{if .Events}}<ul>{{range .Events}}<li>{{printf "%.1f" .AtSeconds}} s: {{.Description}}</li>{{end}}</ul>{{end}}
{{range .Plots}}{{.}}{{end}}{{end}}<h2>All figures</h2><pre>{{.Table}}</pre>`))

// WriteReport writes a self-contained HTML page about the verdicts of a folder. It returns the page's file name.
func WriteReport(dir string) (file string, err error) {
	verdicts, err := LoadVerdicts(dir)
	if err != nil {
		return "", err
	}
	page := reportPage{Table: FormatTable(verdicts)}
	for i := range verdicts {
		section, err := newReportSection(&verdicts[i])
		if err != nil {
			return "", err
		}
		page.Sections = append(page.Sections, section)
	}
	var html bytes.Buffer
	if err := reportTemplate.Execute(&html, page); err != nil {
		return "", fmt.Errorf("writing the report: %w", err)
	}
	file = filepath.Join(dir, "report.html")
	if err := os.WriteFile(file, html.Bytes(), 0o644); err != nil {
		return "", fmt.Errorf("writing the report: %w", err)
	}
	return file, nil
}

// newReportSection returns the section of a verdict with its plots.
func newReportSection(v *Verdict) (reportSection, error) {
	section := reportSection{Verdict: *v, Line: v.String(), Text: v.Text()}
	for _, p := range []linePlot{
		{"latency from due to response", "ms", map[string][]float64{"p50": v.Series.P50, "p99": v.Series.P99}},
		{"completed within the latency objective", "share of priority weight", map[string][]float64{"within objective": v.Series.ObjectiveShare}},
		{"executions by cache", "a second", byServer(v.Servers, v.Series.Executions)},
		{"utilization by cache", "share", byServer(v.Servers, v.Series.Utilization)},
		{"executions at the origin", "a second", map[string][]float64{"origin": v.Series.OriginExecutions}},
	} {
		svg, err := p.draw(v.Events)
		if err != nil {
			return section, fmt.Errorf("drawing %s: %w", p.title, err)
		}
		section.Plots = append(section.Plots, svg)
	}
	return section, nil
}

// byServer maps the names of servers to their series.
func byServer(names []string, series [][]float64) map[string][]float64 {
	named := map[string][]float64{}
	for i, s := range series {
		named[names[i]] = s
	}
	return named
}

// linePlot is a plot of one or more series over the seconds of a run.
type linePlot struct {
	title, unit string
	lines       map[string][]float64 // by name
}

// draw returns the plot as SVG, with a vertical line at each event.
func (p *linePlot) draw(events []VerdictEvent) (template.HTML, error) {
	canvas := plot.New()
	canvas.Title.Text, canvas.X.Label.Text, canvas.Y.Label.Text, canvas.Y.Min = p.title, "s", p.unit, 0
	canvas.Legend.Top = true
	maxValue, err := p.addLines(canvas)
	if err != nil {
		return "", err
	}
	for _, e := range events {
		eventLine, err := plotter.NewLine(plotter.XYs{{X: e.AtSeconds, Y: 0}, {X: e.AtSeconds, Y: maxValue}})
		if err != nil {
			return "", err
		}
		eventLine.Color, eventLine.Dashes = color.Gray{160}, []vg.Length{2, 3}
		canvas.Add(eventLine)
	}
	svgWriter, err := canvas.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := svgWriter.WriteTo(&svg); err != nil {
		return "", err
	}
	if start := bytes.Index(svg.Bytes(), []byte("<svg")); start > 0 {
		svg.Next(start) // skips the XML header, which must not stand inside an HTML page
	}
	return template.HTML(svg.String()), nil
}

// addLines adds the series and returns the greatest value. The legend is left out if there are more series than colours.
func (p *linePlot) addLines(canvas *plot.Plot) (maxValue float64, err error) {
	for i, name := range slices.Sorted(maps.Keys(p.lines)) {
		var points plotter.XYs
		for second, value := range p.lines[name] {
			points = append(points, plotter.XY{X: float64(second) + 0.5, Y: value})
			maxValue = max(maxValue, value)
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return 0, err
		}
		line.Color = palette[i%len(palette)]
		canvas.Add(line)
		if len(p.lines) <= len(palette) {
			canvas.Legend.Add(name, line)
		}
	}
	return maxValue, nil
}
