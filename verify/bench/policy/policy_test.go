package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/scheduler/naive"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

// Guards against a model that loses or invents work, commits a VM beyond its capacity, or
// differs between two runs of one seed.
func TestModelConservesWork(t *testing.T) {
	dep, err := devenv.Load("belfry-lane")
	assert.NilError(t, err)
	var useful [2]float64
	for i := range useful {
		r := build(dep, policyName(0.8), 7, 60*time.Millisecond)
		r.simulate(5 * time.Minute)
		useful[i] = r.useful
		assert.Assert(t, r.useful > 0 && r.useful <= r.submitted, "useful %f of %f", r.useful, r.submitted)
		placed := 0
		for _, m := range r.ms {
			placed += len(m.jobs)
			assert.Equal(t, m.v.Reserved, naive.Reserved(r.t, m.v))
			assert.Assert(t, m.v.Reserved.Fits(m.v.Capacity))
		}
		assert.Equal(t, placed+len(r.t.Pending), len(r.jobs))
	}
	assert.Equal(t, useful[0], useful[1])
}

// Guards against a policy that sees the present: a report must describe the state one lag earlier.
func TestReportsLag(t *testing.T) {
	dep, err := devenv.Load("laternenwerk")
	assert.NilError(t, err)
	r := build(dep, firstFit, 1, 60*time.Millisecond)
	r.simulate(reportLag - step)
	assert.Assert(t, len(r.reports) > 0)
	for _, d := range r.reports {
		assert.Equal(t, d.at, d.r.At)
		assert.Equal(t, d.r.Lag, reportLag)
		assert.Assert(t, d.at > r.now-step, "a report was held back beyond its lag")
	}
	for _, v := range r.t.VMs {
		assert.Equal(t, v.Tail, 0.0, "a tail arrived before its lag")
	}
}
