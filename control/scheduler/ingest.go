package scheduler

import (
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/eviction"
	"github.com/chicorystand/chicorystand/control/scheduler/interference"
	"github.com/chicorystand/chicorystand/control/scheduler/quarantine"
	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// learn updates the estimates from the reports since the last pass and evicts where they require it.
func (k *pass) learn() {
	reports, ended := k.t.TakeReports()
	for _, e := range ended {
		sizing.LearnRunTime(k.t, e)
		if quarantine.RecordEnd(k.t, e, k.now) {
			k.decisions = append(k.decisions, Decision{Kind: Quarantine, VM: e.VM, Task: e.Task, Reason: errkind.NotReady})
		}
	}
	for _, r := range reports {
		interference.Learn(k.t, r)
		for _, g := range sizing.Learn(k.t, r) {
			k.reservationExceeded(g)
		}
		k.countSlowReports(r)
	}
	for _, r := range reports {
		k.relieveService(r.VM)
	}
}

// reservationExceeded reports the excess, and evicts tasks when the VM's free memory does not cover it.
func (k *pass) reservationExceeded(g sizing.ReservationExcess) {
	e := Decision{Kind: ReservationExceeded, Task: g.Task.Record.Spec.ID, VM: g.Task.Record.VM, Reservation: g.Need}
	if g.Overflow {
		e.Reason = errkind.CapacityExceeded
	}
	k.decisions = append(k.decisions, e)
	v := k.t.VMs[g.Task.Record.VM]
	extra := task.Resources{Memory: g.Need.Memory - g.Task.Reserved.Memory}
	if !g.Overflow || extra.Fits(v.Free()) {
		return
	}
	victims, _ := eviction.Victims(k.t, v, extra, k.now)
	k.evict(victims, errkind.CapacityExceeded, "memory beyond the reservations")
}

// countSlowReports counts consecutive reports of a tail above reliefTail.
func (k *pass) countSlowReports(r tables.Report) {
	switch {
	case r.Tail > reliefTail:
		k.slowReports[r.VM]++
	default:
		delete(k.slowReports, r.VM)
	}
}

// pruneSlowReports drops disconnected VMs, so that they do not count towards a fleet-wide slowdown.
func (k *pass) pruneSlowReports() {
	for id := range k.slowReports {
		if v, ok := k.t.VMs[id]; !ok || !v.Connected {
			delete(k.slowReports, id)
		}
	}
}

// relieveService evicts the task that relieves the service most for its loss, when the guard
// could not bring the service's tail below target.
func (k *pass) relieveService(vm string) {
	v, ok := k.t.VMs[vm]
	if !ok || k.slowReports[vm] < reliefReports || float64(len(k.slowReports)) > max(fleetSlowdownShare*float64(len(k.t.VMs)), 1) {
		return
	}
	if v.Pressure <= k.cfg.PressureLimits(k.t).On(v.Service, v.Load) {
		return
	}
	if tk := eviction.ReliefVictim(k.t, v, k.now); tk != nil && k.evict([]*tables.Task{tk}, errkind.SlotsFull, "service above its latency target") {
		delete(k.slowReports, vm)
	}
}

// evict appends the evictions when they are within the budget, and reports whether it did.
func (k *pass) evict(victims []*tables.Task, reason errkind.Kind, detail string) bool {
	if len(victims) == 0 {
		return false
	}
	for _, tk := range victims {
		if k.evicting[tk.Record.Spec.ID] {
			return false
		}
	}
	if !k.budget.Take(len(victims), len(k.t.Tasks)-len(k.t.Pending), k.now) {
		return false
	}
	for _, tk := range victims {
		k.evicting[tk.Record.Spec.ID] = true
		k.decisions = append(k.decisions, Decision{Kind: Evict, Task: tk.Record.Spec.ID, VM: tk.Record.VM, Reason: reason, Detail: detail})
	}
	return true
}

func (k *pass) expireHolds() {
	for id, h := range k.holds {
		tk, ok := k.t.Tasks[id]
		if k.now >= h.until || !ok || tk.Record.State != task.Pending {
			k.release(id, h)
		}
		if !ok || tk.Record.State != task.Pending {
			delete(k.drains, id)
		}
	}
}

func (k *pass) release(id string, h hold) {
	if v, ok := k.t.VMs[h.vm]; ok && v.HeldFor == id {
		v.HeldFor = ""
	}
	delete(k.holds, id)
}
