package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/scheduler/naive"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

// Guards against a model that loses or duplicates work, overcommits a VM, or gives different
// results for two runs with the same seed.
func TestModelConservesWork(t *testing.T) {
	dep, err := devenv.Load("belfry-lane")
	assert.NilError(t, err)
	var useful [2]float64
	for i := range useful {
		r := build(dep, policyName(0.8), 7, 60*time.Millisecond)
		r.simulate(5 * time.Minute)
		useful[i] = r.usefulWork
		assert.Assert(t, r.usefulWork > 0 && r.usefulWork <= r.submittedWork, "useful %f of %f", r.usefulWork, r.submittedWork)
		placed := 0
		for _, m := range r.machines {
			placed += len(m.jobs)
			assert.Equal(t, m.vm.Reserved, naive.Reserved(r.tables, m.vm))
			assert.Assert(t, m.vm.Reserved.Fits(m.vm.Capacity))
		}
		assert.Equal(t, placed+len(r.tables.Pending), len(r.jobs))
	}
	assert.Equal(t, useful[0], useful[1])
}

// Guards against a policy that sees the current state: a report must arrive one lag after its
// measurement.
func TestReportsLag(t *testing.T) {
	dep, err := devenv.Load("laternenwerk")
	assert.NilError(t, err)
	r := build(dep, firstFit, 1, 60*time.Millisecond)
	r.simulate(reportLag - step)
	assert.Assert(t, len(r.reports) > 0)
	for _, d := range r.reports {
		assert.Equal(t, d.at, d.report.At)
		assert.Equal(t, d.report.Lag, reportLag)
		assert.Assert(t, d.at > r.now-step, "a report was delayed beyond its lag")
	}
	for _, v := range r.tables.VMs {
		assert.Equal(t, v.Tail, 0.0, "a tail latency arrived before its lag had passed")
	}
}
