package bench

import (
	"html/template"
	"io"
	"strconv"
	"strings"
)

// Pixel positions of a plot's axes. They must agree with reportTemplate.
const (
	plotMargin = 48
	plotRight  = 500
	plotTop    = 16
	plotBottom = 208
)

var colours = []string{"#1f5fa8", "#b5501c", "#2f7d4f", "#7a3b8f", "#8a7a12", "#555555"}

// series is one numeric column of a table.
type series struct {
	name   string
	values []float64
}

// point is a position in a plot, in pixels.
type point struct{ X, Y float64 }

type plotLine struct {
	Name, Colour string
	Points       string
	Marks        []point
	LegendY      int
}

type plot struct {
	Title, Max string
	Labels     []plotLabel
	Lines      []plotLine
}

type plotLabel struct {
	X    float64
	Text string
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>chicorystand measurements</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}th:first-child,td:first-child{text-align:left}.missed{color:#b00;font-weight:bold}svg text{font:11px sans-serif}</style></head><body>
<h1>Measurements</h1>
{{range .}}<h2>{{.Result.Bench}} (seed {{.Result.Seed}})</h2>
{{if .Result.Checks}}<table><tr><th>check</th><th>value</th><th>unit</th><th>bound</th><th>result</th></tr>
{{range .Result.Checks}}<tr><td>{{.Name}}</td><td>{{printf "%.4g" .Value}}</td><td>{{.Unit}}</td><td>{{.Op}} {{printf "%.4g" .Bound}}</td><td>{{if .OK}}ok{{else}}<span class="missed">missed</span>{{end}}</td></tr>
{{end}}</table>{{end}}
{{range .Tables}}<h3>{{.Table.Title}}</h3>
{{range .Plots}}<svg width="640" height="240" role="img" aria-label="{{.Title}}"><line x1="48" y1="208" x2="500" y2="208" stroke="#888"/><line x1="48" y1="16" x2="48" y2="208" stroke="#888"/>
<text x="4" y="20">{{.Max}}</text><text x="30" y="212">0</text>{{range .Labels}}<text x="{{.X}}" y="226" text-anchor="middle">{{.Text}}</text>{{end}}
{{range .Lines}}{{$c := .Colour}}<polyline points="{{.Points}}" fill="none" stroke="{{$c}}" stroke-width="2"/>{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="3" fill="{{$c}}"/>{{end}}<text x="510" y="{{.LegendY}}" fill="{{$c}}">{{.Name}}</text>
{{end}}</svg>
{{end}}<table><tr>{{range .Table.Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Table.Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}{{end}}</body></html>
`))

type reportTable struct {
	Table Table
	Plots []plot
}

type reportResult struct {
	Result *Result
	Tables []reportTable
}

// WriteReport writes results as one self-contained HTML page. The numeric columns
// of each table are plotted over its first column; columns whose maxima differ by
// more than maxScaleRatio are drawn in separate plots.
func WriteReport(w io.Writer, results []*Result) error {
	var out []reportResult
	for _, r := range results {
		rr := reportResult{Result: r}
		for _, t := range r.Tables {
			rr.Tables = append(rr.Tables, reportTable{t, groupPlots(t)})
		}
		out = append(out, rr)
	}
	return reportTemplate.Execute(w, out)
}

// maxScaleRatio is the largest ratio between the maxima of two columns in one plot.
const maxScaleRatio = 20

func groupPlots(t Table) []plot {
	var groups [][]series
	for _, s := range numericColumns(t) {
		placed := false
		for i, g := range groups {
			a, b := maxValue(g[0].values), maxValue(s.values)
			if len(g) < len(colours) && a > 0 && b > 0 && a/b <= maxScaleRatio && b/a <= maxScaleRatio {
				groups[i], placed = append(g, s), true
				break
			}
		}
		if !placed {
			groups = append(groups, []series{s})
		}
	}
	var out []plot
	for _, g := range groups {
		out = append(out, newPlot(t, g))
	}
	return out
}

// numericColumns returns the columns after the first whose cells are all non-negative
// finite numbers, or none if the table has fewer than two rows.
func numericColumns(t Table) []series {
	var out []series
	for c := 1; c < len(t.Header) && len(t.Rows) > 1; c++ {
		s := series{name: t.Header[c]}
		for _, row := range t.Rows {
			if c >= len(row) {
				break
			}
			v, err := strconv.ParseFloat(row[c], 64)
			if err != nil || v != v || v < 0 || v > 1e300 {
				break
			}
			s.values = append(s.values, v)
		}
		if len(s.values) == len(t.Rows) {
			out = append(out, s)
		}
	}
	return out
}

func maxValue(values []float64) float64 {
	m := 0.0
	for _, v := range values {
		m = max(m, v)
	}
	return m
}

// maxAxisLabels is the largest number of labels below a plot.
const maxAxisLabels = 8

func newPlot(t Table, group []series) plot {
	top := 0.0
	for _, s := range group {
		top = max(top, maxValue(s.values))
	}
	p := plot{Title: t.Title, Max: strconv.FormatFloat(top, 'g', 4, 64)}
	const width, height = plotRight - plotMargin, plotBottom - plotTop
	x := func(i int) float64 { return plotMargin + float64(width)*(float64(i)+0.5)/float64(len(t.Rows)) }
	for i, row := range t.Rows {
		if every := (len(t.Rows) + maxAxisLabels - 1) / maxAxisLabels; i%every == 0 && len(row) > 0 {
			p.Labels = append(p.Labels, plotLabel{x(i), row[0]})
		}
	}
	for n, s := range group {
		line := plotLine{Name: s.name, Colour: colours[n], LegendY: 30 + 18*n}
		var points []string
		for i, v := range s.values {
			y := float64(plotBottom)
			if top > 0 {
				y -= float64(height) * v / top
			}
			line.Marks = append(line.Marks, point{x(i), y})
			points = append(points, strconv.FormatFloat(x(i), 'f', 1, 64)+","+strconv.FormatFloat(y, 'f', 1, 64))
		}
		line.Points = strings.Join(points, " ")
		p.Lines = append(p.Lines, line)
	}
	return p
}
