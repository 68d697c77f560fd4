// Package compare compares two sets of benchmark runs of the same days and seeds.
package compare

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Run identifies a benchmark run: a day of a site with the seed of its random choices.
type Run struct {
	Site, Day string
	Seed      int64
}

// Result holds the figures of a run by name, for example its net value and the share of each class.
type Result struct {
	Run     Run
	Figures map[string]float64
}

// Difference is the paired difference of one figure between two sets of runs.
type Difference struct {
	Site   string `json:"site"`
	Figure string `json:"figure"`
	// Pairs is the number of runs that both sets have.
	Pairs int `json:"pairs"`
	// Base and Trial are the means over the pairs, Mean is that of the differences.
	Base  float64 `json:"base"`
	Trial float64 `json:"trial"`
	Mean  float64 `json:"mean"`
	// Margin is half of the 95% confidence interval of Mean, 0 for a single pair, which has none.
	Margin float64 `json:"margin"`
}

// Significant reports whether the confidence interval excludes zero.
func (d *Difference) Significant() bool { return d.Pairs > 1 && math.Abs(d.Mean) > d.Margin }

const confidence = 0.95

type figureKey struct{ site, figure string }

type pairedValues struct{ base, trial, difference []float64 }

// Paired returns the differences by site and figure, ordered by both. Several results of one run
// count with their mean.
func Paired(base, trial []Result) []Difference {
	before, after := byRun(base), byRun(trial)
	values := make(map[figureKey]*pairedValues)
	for run, b := range before {
		t, ok := after[run]
		if !ok {
			continue
		}
		for figure, x := range b {
			y, ok := t[figure]
			if !ok {
				continue
			}
			k := figureKey{run.Site, figure}
			if values[k] == nil {
				values[k] = new(pairedValues)
			}
			v := values[k]
			v.base, v.trial, v.difference = append(v.base, x), append(v.trial, y), append(v.difference, y-x)
		}
	}
	out := make([]Difference, 0, len(values))
	for k, v := range values {
		out = append(out, Difference{Site: k.site, Figure: k.figure, Pairs: len(v.base), Base: stat.Mean(v.base, nil),
			Trial: stat.Mean(v.trial, nil), Mean: stat.Mean(v.difference, nil), Margin: margin(v.difference)})
	}
	slices.SortFunc(out, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Figure, b.Figure))
	})
	return out
}

// byRun returns the mean figures of each run.
func byRun(results []Result) map[Run]map[string]float64 {
	samples := make(map[Run]map[string][]float64)
	for _, r := range results {
		if samples[r.Run] == nil {
			samples[r.Run] = make(map[string][]float64)
		}
		for figure, x := range r.Figures {
			samples[r.Run][figure] = append(samples[r.Run][figure], x)
		}
	}
	means := make(map[Run]map[string]float64, len(samples))
	for run, figures := range samples {
		means[run] = make(map[string]float64, len(figures))
		for figure, x := range figures {
			means[run][figure] = stat.Mean(x, nil)
		}
	}
	return means
}

// margin returns half of the confidence interval of the mean of x by Student's t distribution.
func margin(x []float64) float64 {
	if len(x) < 2 {
		return 0
	}
	n := float64(len(x))
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
	return t * stat.StdDev(x, nil) / math.Sqrt(n)
}
