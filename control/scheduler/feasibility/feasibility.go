// Package feasibility decides whether a task may run on a VM.
package feasibility

import (
	"fmt"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Request is a task with the reservation that it needs.
type Request struct {
	Task *tables.Task
	Need task.Resources
	// PressureLimits holds the pressure on a service above which batch tasks are refused.
	PressureLimits *tables.PressureLimits
	// Interference holds the learnt interference of the task's job class.
	Interference *tables.InterferenceCache
	// IgnoreRackLimit lifts the limit on tasks of one job per rack.
	IgnoreRackLimit bool
}

// Filter returns tables.Placed when the request may be placed on the VM now, or the
// first reason against it.
func Filter(t *tables.Tables, r Request, v *tables.VM, now time.Duration) tables.Reason {
	if reason := Available(r.Task, v, now); reason != tables.Placed {
		return reason
	}
	free := v.Free()
	switch {
	case r.Need.CPU > free.CPU:
		return tables.InsufficientCPU
	case r.Need.Memory > free.Memory:
		return tables.InsufficientMemory
	case r.Need.Accelerators > free.Accelerators:
		return tables.InsufficientAccelerators
	case !r.IgnoreRackLimit && exceedsRackLimit(t, r.Task.Job(), v):
		return tables.RackLimit
	case exceedsPressureLimit(r, v):
		return tables.InterferenceLimit
	}
	return tables.Placed
}

// Available returns tables.Placed when the VM admits the task now, regardless of free
// capacity, or the first reason against it.
func Available(tk *tables.Task, v *tables.VM, now time.Duration) tables.Reason {
	spec := &tk.Record.Spec
	switch {
	case spec.Zone != "" && spec.Zone != v.Zone:
		return tables.ZoneMismatch
	case !v.Connected:
		return tables.NoVM
	case v.Draining:
		return tables.VMDraining
	case v.Evacuated:
		return tables.ZoneEvacuated
	case now < v.Health.NotBefore || v.Health.ProbeTask != "":
		return tables.Quarantined
	case v.HeldFor != "" && v.HeldFor != spec.ID:
		return tables.VMHeld
	}
	return tables.Placed
}

// Limits on the tasks of one job per rack.
const (
	// rackMinTasks is the number of tasks of one job that are always admitted on a rack.
	rackMinTasks = 2
	// rackMaxSkew bounds the tasks on a rack to this multiple of an even distribution.
	rackMaxSkew = 2
)

// exceedsRackLimit reports whether the rack already has its share of the job's tasks. Callers
// ignore the limit when it is the only obstacle: losing a rack costs a job at most its
// progress since the last checkpoint, while not starting costs all of it.
func exceedsRackLimit(t *tables.Tables, job tables.JobKey, v *tables.VM) bool {
	if v.Rack == "" {
		return false
	}
	onRack, total, racks := t.OnRack(job, v.Rack)
	return onRack >= rackMinTasks && onRack*racks >= rackMaxSkew*(total+1)
}

// exceedsPressureLimit reports whether a batch task would raise the pressure on the VM's service
// above the limit. A VM at or below half of the limit admits a task of any effect, so
// that a task that exceeds the limit by itself does not wait for an empty VM.
func exceedsPressureLimit(r Request, v *tables.VM) bool {
	if v.Service == "" || r.Task.Record.Spec.Class != task.Batch {
		return false
	}
	limit := r.PressureLimits.On(v.Service, v.ExpectedLoad())
	if v.Pressure <= limit/2 {
		return false
	}
	added := r.Interference.On(v.Service, tables.LoadBucket(v.ExpectedLoad())) * float64(r.Need.CPU) / 1000
	return added > NegligibleInterference && v.Pressure+added > limit
}

// NegligibleInterference is the effect up to which a task is placed at any pressure: refusing such
// tasks on the VM of an interfering one costs throughput and does not help the service.
const NegligibleInterference = 0.02

// CheckQuota returns tables.OverQuota when the reservation would exceed the customer's limits,
// else tables.Placed.
func CheckQuota(c *tables.Customer, reservation task.Resources) tables.Reason {
	used := c.Used.Add(reservation)
	l := c.Limit
	if exceeds(used.CPU, l.CPUMilli) || exceeds(used.Memory, l.MemoryMiB) || exceeds(used.Accelerators, l.Accelerators) {
		return tables.OverQuota
	}
	return tables.Placed
}

func exceeds(used, limit int64) bool { return limit > 0 && used > limit }

// Infeasible returns why a task of the declared size can never run, or errkind.None when it can.
func Infeasible(t *tables.Tables, tk *tables.Task, c *tables.Customer) (errkind.Kind, string) {
	spec := &tk.Record.Spec
	if ExceedsPlan(tk, c) {
		return errkind.Infeasible, fmt.Sprintf("%s exceed the limits of plan %q", describe(spec.Declared), c.Limit.Plan)
	}
	if fits, known := t.FitsEmptyVM(spec.Zone, spec.Declared); known && !fits {
		return errkind.Infeasible, describe(spec.Declared) + " exceed the capacity of every VM"
	}
	return errkind.None, ""
}

// ExceedsPlan reports whether the declared size alone exceeds the customer's plan.
func ExceedsPlan(tk *tables.Task, c *tables.Customer) bool {
	return CheckQuota(&tables.Customer{Limit: c.Limit}, tk.Record.Spec.Declared) != tables.Placed
}

func describe(r task.Resources) string {
	return fmt.Sprintf("the declared %d milli-processors, %d MiB and %d accelerators", r.CPU, r.Memory, r.Accelerators)
}
