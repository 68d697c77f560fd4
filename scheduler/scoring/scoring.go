// Package scoring ranks the VMs on which a task may run.
package scoring

import (
	"github.com/chicorystand/chicorystand/scheduler/tables"
	"github.com/chicorystand/chicorystand/task"
)

// Score returns a value for placing a reservation on the VM; higher is better.
// It prefers VMs that keep the largest share of processors free, which leaves
// headroom for their services.
func Score(reservation task.Resources, v *tables.VM) float64 {
	if v.Capacity.CPU == 0 {
		return 0
	}
	free := v.Free().Sub(reservation)
	return float64(free.CPU) / float64(v.Capacity.CPU)
}
