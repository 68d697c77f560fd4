package shard

import (
	"context"
	"sort"

	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// harmChangePercent is the smallest change of a learnt effect that is sent to an agent.
const harmChangePercent = 10

// harmPPM returns the learnt effect of a job class on the VM's service in
// millionths, at least 1 so that it differs from "not known".
func (o *Owner) harmPPM(v *tables.VM, class string) uint32 {
	if v.Service == "" {
		return 0
	}
	return uint32(max(o.tables.Interference(v.Service, class, tables.LoadBucket(v.Load))*wire.PartsPerMillion, 1))
}

// learnt notes that the agent is sent the effect of a class.
func (l *agentLink) learnt(class string, ppm uint32) uint32 {
	if l.harms == nil {
		l.harms = make(map[string]uint32)
	}
	l.harms[class] = ppm
	return ppm
}

// changedHarms returns the effects of the job classes on the VM that differ from
// what its agent was last sent.
func (o *Owner) changedHarms(v *tables.VM) []wire.ClassHarm {
	l, ok := o.agents[v.ID]
	if !ok || v.Service == "" {
		return nil
	}
	var out []wire.ClassHarm
	seen := make(map[string]bool)
	for id := range v.Tasks {
		tk := o.tables.Tasks[id]
		class := tk.Record.Spec.JobClass
		if tk.Record.Spec.Class != task.Batch || seen[class] {
			continue
		}
		seen[class] = true
		ppm, sent := o.harmPPM(v, class), l.harms[class]
		if diff := max(ppm, sent) - min(ppm, sent); uint64(diff)*100 > uint64(sent)*harmChangePercent {
			out = append(out, wire.ClassHarm{JobClass: class, HarmPPM: l.learnt(class, ppm)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].JobClass < out[j].JobClass })
	return out
}

// grow raises the reservation of a running task that uses more than it has. The
// agent's ledger decides; the records follow its consent.
func (o *Owner) grow(ctx context.Context, tk *tables.Task, e scheduler.Decision) {
	l, ok := o.agents[e.VM]
	v, known := o.tables.VMs[e.VM]
	if !ok || !known || tk.Record.State != task.Running || tk.Record.VM != e.VM || o.growing[e.Task] ||
		!e.Reservation.Sub(tk.Reserved).Fits(v.Free()) {
		return
	}
	o.growing[e.Task] = true
	attempt := tk.Record.Attempt
	msg := &wire.ResizeTask{Epoch: o.cfg.Epoch, ID: e.Task, Attempt: attempt, Reserved: e.Reservation}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := l.caller.Call(callCtx, msg)
		o.post(ctx, func() {
			delete(o.growing, e.Task)
			if err == nil && o.current(tk, e.VM, attempt) {
				o.tables.Update(tk, func(t *tables.Task) { t.Reserved, t.Record.Reserved = e.Reservation, e.Reservation })
				o.markDirty(tk, false, nil)
			}
		})
	}()
}
