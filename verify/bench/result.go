// Package bench defines the results of benchmarks, checks against bounds and the output formats.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Check compares a measured value with a stated bound.
type Check struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Op is "<=" or ">=".
	Op    string  `json:"op"`
	Bound float64 `json:"bound"`
}

// AtMost returns a check that value does not exceed bound.
func AtMost(name string, value, bound float64, unit string) Check {
	return Check{Name: name, Value: value, Unit: unit, Op: "<=", Bound: bound}
}

// AtLeast returns a check that value reaches bound.
func AtLeast(name string, value, bound float64, unit string) Check {
	return Check{Name: name, Value: value, Unit: unit, Op: ">=", Bound: bound}
}

// OK reports whether the bound is met.
func (c Check) OK() bool {
	if c.Op == ">=" {
		return c.Value >= c.Bound
	}
	return c.Value <= c.Bound
}

// Table is a printed table of figures.
type Table struct {
	Title  string     `json:"title"`
	Header []string   `json:"header"`
	Rows   [][]string `json:"rows"`
}

// Add appends a row; values are formatted with fmt.Sprint, floats with 4 significant digits.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		if f, ok := v.(float64); ok {
			row[i] = fmt.Sprintf("%.4g", f)
			continue
		}
		row[i] = fmt.Sprint(v)
	}
	t.Rows = append(t.Rows, row)
}

// Result is the outcome of one benchmark.
type Result struct {
	Bench  string  `json:"bench"`
	Seed   uint64  `json:"seed"`
	Tables []Table `json:"tables"`
	Checks []Check `json:"checks"`
}

// Missed returns the checks whose bound is not met.
func (r *Result) Missed() []Check {
	var out []Check
	for _, c := range r.Checks {
		if !c.OK() {
			out = append(out, c)
		}
	}
	return out
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the tables and checks as text.
func (r *Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, table := range r.Tables {
		_, _ = fmt.Fprintf(t, "%s\n%s\n", table.Title, strings.Join(table.Header, "\t"))
		for _, row := range table.Rows {
			_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		_, _ = fmt.Fprintln(t)
	}
	for _, c := range r.Checks {
		state := "ok"
		if !c.OK() {
			state = "MISSED"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g %s\t(bound %s %.4g)\n", state, c.Name, c.Value, c.Unit, c.Op, c.Bound)
	}
	return t.Flush()
}
