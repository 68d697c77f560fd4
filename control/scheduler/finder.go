package scheduler

import (
	"github.com/chicorystand/chicorystand/control/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/control/scheduler/scoring"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// vmSearch is one search for the best VM for a task.
type vmSearch struct {
	*pass
	request        feasibility.Request
	scoreRequest   scoring.Request
	minRow, minCol uint8

	best     *tables.VM
	score    float64
	refusals [tables.NumReasons]int
}

func (f *vmSearch) searchGroup(g *tables.Group) {
	switch {
	case f.request.Task.Record.Spec.Zone != "" && f.request.Task.Record.Spec.Zone != g.Zone:
		f.refusals[tables.ZoneMismatch] += g.Size
		return
	case int64(g.Accelerators) < min(f.request.Need.Accelerators, tables.MaxAccelerators):
		f.refusals[tables.InsufficientAccelerators] += g.Size
		return
	}
	if f.exceedsPressureLimit(g) {
		f.refusals[tables.InterferenceLimit] += g.Size
		return
	}
	rows := g.Rows(f.minRow)
	if rows == 0 {
		f.refusals[tables.InsufficientCPU] += g.Size
		return
	}
	base := scoring.Group(f.t, f.scoreRequest, g)
	for rows != 0 {
		var row uint8
		row, rows = tables.PopLowestBit(rows)
		if score := base + scoring.Row(f.scoreRequest, g, row); f.best == nil || score > f.score {
			if v := f.searchRow(g, row); v != nil {
				f.best, f.score = v, score
			}
		}
	}
}

// exceedsPressureLimit reports whether the task would exceed the pressure limit on every VM of the group.
func (f *vmSearch) exceedsPressureLimit(g *tables.Group) bool {
	edge := tables.PressureEdge(g.Pressure)
	if g.Service == "" || edge == 0 || f.scoreRequest.Class != task.Batch {
		return false
	}
	limit := f.request.PressureLimits.Max(g.Service, g.Load)
	if edge <= limit/2 {
		return false
	}
	added := f.request.Interference.On(g.Service, g.Load) * float64(f.request.Need.CPU) / 1000
	return added > feasibility.NegligibleInterference && edge+added > limit
}

// searchRow returns a feasible VM of the row. It starts at a random VM of each cell, so that
// tasks are spread over VMs of equal score.
func (f *vmSearch) searchRow(g *tables.Group, row uint8) *tables.VM {
	cols := g.Columns(row, f.minCol)
	if cols == 0 {
		f.refusals[tables.InsufficientMemory]++
	}
	for cols != 0 {
		var col uint8
		col, cols = tables.PopLowestBit(cols)
		cell := g.Cell(row, col)
		start := f.rng.IntN(len(cell))
		for i := range cell {
			v := cell[(start+i)%len(cell)]
			reason := feasibility.Filter(f.t, f.request, v, f.now)
			if reason == tables.Placed {
				return v
			}
			f.refusals[reason]++
		}
	}
	return nil
}

// reason returns the refusal to report: that of the VMs that came closest to being feasible.
func (f *vmSearch) reason() tables.Reason {
	for _, r := range []tables.Reason{tables.RackLimit, tables.InterferenceLimit, tables.VMHeld, tables.Quarantined, tables.InsufficientMemory,
		tables.InsufficientCPU, tables.InsufficientAccelerators, tables.VMDraining, tables.ZoneEvacuated, tables.NoVM, tables.ZoneMismatch} {
		if f.refusals[r] > 0 {
			return r
		}
	}
	return tables.NoVM
}
