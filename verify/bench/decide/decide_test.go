package decide_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/verify/bench/decide"
)

// Guards against a load that the scheduler can't keep up with: a growing queue would distort
// the measured cost per start.
func TestLoadIsSteady(t *testing.T) {
	size := decide.LongTerm.Scaled(43)
	f, err := decide.Measure(t.Context(), size, scheduler.New(scheduler.Config{TailWeight: 0.5, Seed: 1}), 1, 30*time.Second)
	assert.NilError(t, err)
	want := size.StartsPerSecond * 30
	assert.Assert(t, float64(f.Starts) > 0.8*want && float64(f.Starts) < 1.2*want, "%d starts, %f expected", f.Starts, want)
	assert.Assert(t, f.Urgent.TotalCount() > 0)
}
