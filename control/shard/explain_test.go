package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against explanations that count VMs under the wrong reason or reveal another customer's task.
func TestExplainCountsVMsByReason(t *testing.T) {
	o := NewOwner(Config{Shard: "z-0", Clock: &clock.Fake{}})
	size := task.Resources{CPU: 1000, Memory: 1000}
	for _, v := range []tables.VM{{ID: "small", Connected: true}, {ID: "leaving", Connected: true, Draining: true}, {ID: "gone"}} {
		v.Zone, v.Capacity = "z", size
		o.tables.PutVM(&v)
	}
	spec := task.Spec{ID: "t", Customer: "a", JobClass: "j", Declared: task.Resources{CPU: 2000, Memory: 10}}
	o.tables.Put(&tables.Task{Record: task.Record{Spec: spec, State: task.Pending}})
	r, err := o.Explain("a", "t")
	assert.NilError(t, err)
	assert.Equal(t, r.VMs, 3)
	assert.DeepEqual(t, r.Reasons, []wire.ReasonCount{{Reason: "no_vm", Count: 1}, {Reason: "draining", Count: 1}, {Reason: "cpu", Count: 1}})
	_, err = o.Explain("b", "t")
	assert.Equal(t, errkind.Of(err), errkind.NotFound)
}
