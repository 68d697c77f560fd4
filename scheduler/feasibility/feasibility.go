// Package feasibility decides whether a task may run on a VM.
package feasibility

import (
	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/scheduler/tables"
	"github.com/chicorystand/chicorystand/task"
)

// Filter returns errkind.None when the task with the given reservation may be
// placed on the VM now, or the first reason against it.
func Filter(tk *tables.Task, reservation task.Resources, v *tables.VM) errkind.Kind {
	switch {
	case !v.Connected:
		return errkind.NotReady
	case v.Draining:
		return errkind.Draining
	case tk.Record.Spec.Zone != "" && tk.Record.Spec.Zone != v.Zone:
		return errkind.Infeasible
	case !reservation.Fits(v.Free()):
		return errkind.CapacityExceeded
	}
	return errkind.None
}

// Quota returns errkind.QuotaExceeded when the reservation would exceed the customer's limits.
func Quota(c *tables.Customer, reservation task.Resources) errkind.Kind {
	used := c.Used.Add(reservation)
	l := c.Limit
	if exceeds(used.CPU, l.CPUMilli) || exceeds(used.Memory, l.MemoryMiB) || exceeds(used.Accelerators, l.Accelerators) {
		return errkind.QuotaExceeded
	}
	return errkind.None
}

func exceeds(used, limit int64) bool { return limit > 0 && used > limit }
