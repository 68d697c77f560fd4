package shard

import (
	"context"
	"sort"

	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// interferenceChangePercent is the smallest change of a learnt interference that is sent to an agent.
const interferenceChangePercent = 10

// interferencePPM returns the learnt interference of a job class with the VM's service in millionths.
// It is at least 1, to be distinguishable from "not known".
func (o *Owner) interferencePPM(v *tables.VM, class string) uint32 {
	if v.Service == "" {
		return 0
	}
	return uint32(max(o.tables.Interference(v.Service, class, tables.LoadBucket(v.Load))*wire.PartsPerMillion, 1))
}

// recordSentInterference records the interference of a job class that was sent to the agent.
func (l *agentLink) recordSentInterference(class string, ppm uint32) uint32 {
	if l.sentInterference == nil {
		l.sentInterference = make(map[string]uint32)
	}
	l.sentInterference[class] = ppm
	return ppm
}

// changedInterference returns the interference of the VM's batch job classes that differs by more
// than interferenceChangePercent from what its agent was last sent.
func (o *Owner) changedInterference(v *tables.VM) []wire.ClassInterference {
	l, ok := o.agents[v.ID]
	if !ok || v.Service == "" {
		return nil
	}
	var out []wire.ClassInterference
	seen := make(map[string]bool)
	for id := range v.Tasks {
		tk := o.tables.Tasks[id]
		class := tk.Record.Spec.JobClass
		if tk.Record.Spec.Class != task.Batch || seen[class] {
			continue
		}
		seen[class] = true
		ppm, sent := o.interferencePPM(v, class), l.sentInterference[class]
		if diff := max(ppm, sent) - min(ppm, sent); uint64(diff)*100 > uint64(sent)*interferenceChangePercent {
			out = append(out, wire.ClassInterference{JobClass: class, InterferencePPM: l.recordSentInterference(class, ppm)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].JobClass < out[j].JobClass })
	return out
}

// resize raises the reservation of a running task that uses more than it has reserved. The agent
// admits or refuses the change; the task record is updated only after the agent has accepted it.
func (o *Owner) resize(ctx context.Context, tk *tables.Task, e scheduler.Decision) {
	l, ok := o.agents[e.VM]
	v, known := o.tables.VMs[e.VM]
	if !ok || !known || tk.Record.State != task.Running || tk.Record.VM != e.VM || o.resizing[e.Task] ||
		!e.Reservation.Sub(tk.Reserved).Fits(v.Free()) {
		return
	}
	o.resizing[e.Task] = true
	attempt := tk.Record.Attempt
	msg := &wire.ResizeTask{Epoch: o.cfg.Epoch, ID: e.Task, Attempt: attempt, Reserved: e.Reservation}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := l.caller.Call(callCtx, msg)
		o.post(ctx, func() {
			delete(o.resizing, e.Task)
			if err == nil && o.isCurrent(tk, e.VM, attempt) {
				o.tables.Update(tk, func(t *tables.Task) { t.Reserved, t.Record.Reserved = e.Reservation, e.Reservation })
				o.markDirty(tk, false, nil)
			}
		})
	}()
}
