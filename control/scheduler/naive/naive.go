// Package naive is a reference implementation of the scheduler that scans all VMs, without
// indexes or learning. Tests compare its results, benchmarks its cost and policy.
package naive

import (
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/control/scheduler/scoring"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Score returns the score of a VM for the request, computed from the VM without the indexes.
func Score(t *tables.Tables, s scoring.Request, v *tables.VM) float64 {
	free := v.Free()
	g := tables.Group{
		Zone: v.Zone, Service: v.Service, Load: tables.LoadBucket(v.ExpectedLoad()), Pressure: tables.PressureBucket(v.Pressure),
		CapacityBin: tables.CPUBin(v.Capacity.CPU), Accelerators: uint8(min(max(free.Accelerators, 0), tables.MaxAccelerators)),
	}
	return scoring.Group(t, s, &g) + scoring.Row(s, &g, tables.CPUBin(free.CPU))
}

// Best returns the feasible VM with the highest score, or nil.
func Best(t *tables.Tables, r feasibility.Request, s scoring.Request, now time.Duration) *tables.VM {
	return bestOrIgnoreRackLimit(t, t.SortedVMs(), r, s, now)
}

func bestOrIgnoreRackLimit(t *tables.Tables, vms []*tables.VM, r feasibility.Request, s scoring.Request, now time.Duration) *tables.VM {
	if v := best(t, vms, r, s, now); v != nil || r.IgnoreRackLimit {
		return v
	}
	r.IgnoreRackLimit = true
	return best(t, vms, r, s, now)
}

func best(t *tables.Tables, vms []*tables.VM, r feasibility.Request, s scoring.Request, now time.Duration) *tables.VM {
	var out *tables.VM
	for _, v := range vms {
		if feasibility.Filter(t, r, v, now) != tables.Placed {
			continue
		}
		if out == nil || Score(t, s, v) > Score(t, s, out) {
			out = v
		}
	}
	return out
}

// Reserved returns the reservations of a VM summed over all tasks.
func Reserved(t *tables.Tables, v *tables.VM) task.Resources {
	sum := v.ServiceReserved
	for _, tk := range t.Tasks {
		if tk.Record.VM == v.ID && tables.OccupiesVM(tk.Record.State) {
			sum = sum.Add(tk.Reserved)
		}
	}
	return sum
}

// FirstFit places tasks in the order of submission on the first VM, by id, that fits the
// declared size.
type FirstFit struct{}

// Tick returns assignments and rejections. Like Scheduler.Tick it does not apply them to the tables.
func (FirstFit) Tick(t *tables.Tables, now time.Duration) []scheduler.Decision {
	t.TakeReports()
	vms := t.SortedVMs()
	planned := make(map[string]task.Resources)
	var decisions []scheduler.Decision
	for _, tk := range bySubmission(t) {
		if e, ok := firstFit(t, vms, planned, tk); ok {
			decisions = append(decisions, e)
		}
	}
	return decisions
}

func bySubmission(t *tables.Tables) []*tables.Task {
	var pending []*tables.Task
	for id := range t.Pending {
		pending = append(pending, t.Tasks[id])
	}
	sort.Slice(pending, func(i, j int) bool {
		a, b := pending[i], pending[j]
		if a.Submitted != b.Submitted {
			return a.Submitted < b.Submitted
		}
		return a.Record.Spec.ID < b.Record.Spec.ID
	})
	return pending
}

func firstFit(t *tables.Tables, vms []*tables.VM, planned map[string]task.Resources, tk *tables.Task) (scheduler.Decision, bool) {
	spec := &tk.Record.Spec
	need := spec.Declared
	if kind, detail := feasibility.Infeasible(t, tk, t.Customer(spec.Customer)); kind != errkind.None {
		return scheduler.Decision{Kind: scheduler.Reject, Task: spec.ID, Reason: kind, Detail: detail}, true
	}
	for _, v := range vms {
		if !v.Connected || v.Draining || v.Evacuated || (spec.Zone != "" && spec.Zone != v.Zone) || !need.Fits(v.Free().Sub(planned[v.ID])) {
			continue
		}
		planned[v.ID] = planned[v.ID].Add(need)
		return scheduler.Decision{Kind: scheduler.Assign, Task: spec.ID, VM: v.ID, Reservation: need}, true
	}
	return scheduler.Decision{}, false
}

// Scan places tasks in the order of submission on the VM with the highest score, found by a
// linear scan. It chooses VMs like the scheduler, without the indexes.
type Scan struct{ Config scheduler.Config }

// Tick returns assignments. Like Scheduler.Tick it does not apply them to the tables.
func (n Scan) Tick(t *tables.Tables, now time.Duration) []scheduler.Decision {
	t.TakeReports()
	vms := t.SortedVMs()
	var decisions []scheduler.Decision
	for _, tk := range bySubmission(t) {
		r := n.Config.FeasibilityRequest(t, tk, tk.Record.Spec.Declared)
		if feasibility.CheckQuota(t.Customer(tk.Record.Spec.Customer), r.Need) != tables.Placed {
			continue
		}
		v := bestOrIgnoreRackLimit(t, vms, r, scheduler.ScoringRequest(r, n.Config.TailWeight), now)
		if v == nil {
			continue
		}
		t.Reserve(v, tk, r.Need)
		defer t.Unreserve(v, tk, r.Need)
		decisions = append(decisions, scheduler.Decision{Kind: scheduler.Assign, Task: tk.Record.Spec.ID, VM: v.ID, Reservation: r.Need})
	}
	return decisions
}
