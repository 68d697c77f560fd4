package compare

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func result(day string, seed int64, worth float64) Result {
	return Result{Run: Run{Site: "s", Day: day, Seed: seed}, Figures: map[string]float64{"worth": worth}}
}

// Days differ far more from each other than two builds do. Only the differences of the same day and
// seed show a small gain, and runs that one side lacks must not count.
func TestDifferencesArePairedByDayAndSeed(t *testing.T) {
	base := []Result{result("a", 1, 0.2), result("a", 2, 0.5), result("b", 1, 0.9), result("b", 9, 0.1)}
	trial := []Result{result("b", 1, 0.92), result("a", 1, 0.21), result("a", 2, 0.51), result("c", 1, 0)}
	d := Paired(base, trial)
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].Pairs, 3)
	assert.Assert(t, math.Abs(d[0].Mean-0.04/3) < 1e-9, "%v", d[0].Mean)
	// The standard error is 0.00333; the quantile of Student's t with 2 degrees of freedom is 4.303.
	assert.Assert(t, math.Abs(d[0].Margin-0.01434) < 1e-4, "%v", d[0].Margin)
	assert.Assert(t, !d[0].Significant())
}

// A build played twice against itself is one run with two results, not two pairs.
func TestRepeatedResultsCountOnce(t *testing.T) {
	d := Paired([]Result{result("a", 1, 0.4), result("a", 1, 0.6)}, []Result{result("a", 1, 0.7)})
	assert.Equal(t, d[0].Pairs, 1)
	assert.Assert(t, math.Abs(d[0].Mean-0.2) < 1e-9)
	assert.Assert(t, !d[0].Significant(), "one pair was taken for a result")
}
