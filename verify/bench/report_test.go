package bench_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/verify/bench"
)

// Guards against a report that drops results, loads external resources or does not escape names.
func TestReport(t *testing.T) {
	tb := bench.Table{Title: "by <policy>", Header: []string{"policy", "p50", "p99", "evictions", "note"}}
	tb.Add("naive", 10.0, 40.0, 9000, "x")
	tb.Add("ours", 8.0, 12.0, 100, "y")
	var buf bytes.Buffer
	r := &bench.Result{Bench: "b", Tables: []bench.Table{tb}, Checks: []bench.Check{bench.AtMost("c", 2, 1, "ms")}}
	assert.NilError(t, bench.WriteReport(&buf, []*bench.Result{r}))
	out := buf.String()
	assert.Equal(t, strings.Count(out, "<svg"), 2, "p50 and p99 in one plot, evictions in another")
	assert.Equal(t, strings.Count(out, "<polyline"), 3)
	assert.Assert(t, strings.Contains(out, "missed") && strings.Contains(out, "by &lt;policy&gt;"))
	assert.Assert(t, !strings.Contains(out, "http:") && !strings.Contains(out, "https:") && !strings.Contains(out, "<script"))
}
