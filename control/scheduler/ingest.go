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

// ingest runs the learning systems over the reports since the last tick.
func (k *tick) ingest() {
	reports, ended := k.t.TakeReports()
	for _, e := range ended {
		sizing.Finish(k.t, e)
		if quarantine.Learn(k.t, e, k.now) {
			k.effects = append(k.effects, Effect{Kind: Quarantine, VM: e.VM, Task: e.Task, Reason: errkind.NotReady})
		}
	}
	for _, r := range reports {
		interference.Learn(k.t, r)
		for _, g := range sizing.Learn(k.t, r) {
			k.grow(g)
		}
		k.heat(r)
	}
	for _, r := range reports {
		k.relieve(r.VM)
	}
}

// grow reports growth, and moves tasks when the VM's memory is not enough for it.
func (k *tick) grow(g sizing.Grow) {
	e := Effect{Kind: Grow, Task: g.Task.Record.Spec.ID, VM: g.Task.Record.VM, Reservation: g.Need}
	if g.Overflow {
		e.Reason = errkind.CapacityExceeded
	}
	k.effects = append(k.effects, e)
	v := k.t.VMs[g.Task.Record.VM]
	extra := task.Resources{Memory: g.Need.Memory - g.Task.Reserved.Memory}
	if !g.Overflow || extra.Fits(v.Free()) {
		return
	}
	victims, _ := eviction.Victims(k.t, v, extra, k.now)
	k.evict(victims, errkind.CapacityExceeded, "memory beyond the reservations")
}

// heat counts consecutive reports of a tail above target.
func (k *tick) heat(r tables.Report) {
	switch {
	case r.Tail > hotTail:
		k.hot[r.VM]++
	default:
		delete(k.hot, r.VM)
	}
}

// forgetHot drops VMs that left while hot, so that they do not count as part of a wave.
func (k *tick) forgetHot() {
	for id := range k.hot {
		if v, ok := k.t.VMs[id]; !ok || !v.Connected {
			delete(k.hot, id)
		}
	}
}

// relieve moves the most harmful task off a VM that the guard could not bring below target.
func (k *tick) relieve(vm string) {
	v, ok := k.t.VMs[vm]
	if !ok || k.hot[vm] < hotReports || float64(len(k.hot)) > max(waveShare*float64(len(k.t.VMs)), 1) {
		return
	}
	if v.Pressure <= k.cfg.Limits(k.t).On(v.Service, v.Load) {
		return
	}
	if tk := eviction.Relief(k.t, v, k.now); tk != nil && k.evict([]*tables.Task{tk}, errkind.SlotsFull, "service above its latency target") {
		delete(k.hot, vm)
	}
}

// evict appends the evictions when they are within the budget.
func (k *tick) evict(victims []*tables.Task, reason errkind.Kind, detail string) bool {
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
		k.effects = append(k.effects, Effect{Kind: Evict, Task: tk.Record.Spec.ID, VM: tk.Record.VM, Reason: reason, Detail: detail})
	}
	return true
}

func (k *tick) expireHolds() {
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

func (k *tick) release(id string, h hold) {
	if v, ok := k.t.VMs[h.vm]; ok && v.HeldFor == id {
		v.HeldFor = ""
	}
	delete(k.holds, id)
}
