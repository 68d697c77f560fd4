package scheduler

import (
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/eviction"
	"github.com/chicorystand/chicorystand/control/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/control/scheduler/queue"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// preempt evicts batch tasks, or holds a VM, for an urgent or starving task that found no place.
func (k *pass) preempt(tk *tables.Task, need task.Resources, reason tables.Reason) {
	spec := &tk.Record.Spec
	if !spec.Urgent && k.now-tk.Submitted < queue.StarvationAge {
		return
	}
	if _, ok := k.holds[spec.ID]; ok || reason.Kind() != errkind.CapacityExceeded || k.preemptionSearches >= maxPreemptionSearches {
		return
	}
	k.preemptionSearches++
	var best *tables.VM
	var victims []*tables.Task
	var minLoss time.Duration
	for _, v := range k.preemptionCandidates(tk, need) {
		if list, loss := eviction.Victims(k.t, v, need, k.now); len(list) > 0 && (best == nil || loss < minLoss) {
			best, victims, minLoss = v, list, loss
		}
	}
	if best == nil {
		return
	}
	until := k.now + holdTime
	drain := !spec.Urgent && k.drains[spec.ID] < drainsBeforeEviction
	if drain || !k.evict(victims, errkind.CapacityExceeded, "preempted by task "+spec.ID) {
		if len(k.holds) >= max(1, len(k.t.VMs)/vmsPerHold) {
			return
		}
		until = k.now + drainTime
		k.drains[spec.ID]++
	}
	best.HeldFor = spec.ID
	k.holds[spec.ID] = hold{best.ID, until}
}

// preemptionCandidates returns VMs that could hold the amount when empty, at most one per
// group: one from the group's highest bin of free processors.
func (k *pass) preemptionCandidates(tk *tables.Task, need task.Resources) []*tables.VM {
	var out []*tables.VM
	groups := k.t.Groups()
	if len(groups) == 0 {
		return nil
	}
	start := k.rng.IntN(len(groups))
	for i := range groups {
		if len(out) >= preemptionVMs {
			break
		}
		if v := k.preemptionCandidate(groups[(start+i)%len(groups)], tk, need); v != nil {
			out = append(out, v)
		}
	}
	return out
}

func (k *pass) preemptionCandidate(g *tables.Group, tk *tables.Task, need task.Resources) *tables.VM {
	for row := tables.Bins - 1; row >= 0; row-- {
		for cols := g.Columns(uint8(row), 0); cols != 0; {
			var col uint8
			col, cols = tables.PopLowestBit(cols)
			for _, v := range g.Cell(uint8(row), col) {
				if need.Fits(v.Capacity.Sub(v.ServiceReserved)) && feasibility.Available(tk, v, k.now) == tables.Placed {
					return v
				}
			}
		}
	}
	return nil
}
