package relocation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/relocation"
)

const cost = 700 * time.Millisecond

func run(utilization float64, change func(*relocation.Run)) relocation.Run {
	r := relocation.Run{Utilization: utilization, Remaining: 5 * time.Second, Age: 2 * time.Second}
	if change != nil {
		change(&r)
	}
	return r
}

// Guards against moving runs that lose more than they free, that do not interfere, or that move again and again, and
// against moving more than needed.
func TestChoose(t *testing.T) {
	light, heavy := run(0.05, nil), run(0.3, nil)
	for name, c := range map[string]struct {
		runs   []relocation.Run
		excess float64
		want   []int
	}{
		"most interfering first":        {[]relocation.Run{light, heavy}, 0.1, []int{1}},
		"as many as needed":             {[]relocation.Run{light, heavy}, 0.32, []int{1, 0}},
		"at most two":                   {[]relocation.Run{light, light, heavy}, 0.5, []int{2, 0}},
		"does not interfere":            {[]relocation.Run{run(0.005, nil)}, 0.1, nil},
		"nearly done":                   {[]relocation.Run{run(0.3, func(r *relocation.Run) { r.Remaining = 2*cost - 1 })}, 0.1, nil},
		"has just begun":                {[]relocation.Run{run(0.3, func(r *relocation.Run) { r.Age = cost - 1 })}, 0.1, nil},
		"moved often":                   {[]relocation.Run{run(0.3, func(r *relocation.Run) { r.Moves = relocation.MaxMoves })}, 0.1, nil},
		"the others when one must stay": {[]relocation.Run{run(0.3, func(r *relocation.Run) { r.Age = 0 }), light}, 0.1, []int{1}},
		"no excess":                     {[]relocation.Run{heavy}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			got := relocation.Choose(c.runs, c.excess, cost)
			assert.Assert(t, len(got) == len(c.want))
			for i := range got {
				assert.Equal(t, got[i], c.want[i])
			}
		})
	}
}
