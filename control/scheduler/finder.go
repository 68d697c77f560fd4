package scheduler

import (
	"github.com/chicorystand/chicorystand/control/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/control/scheduler/scoring"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// finder is one search.
type finder struct {
	*tick
	r        feasibility.Request
	s        scoring.Request
	low, col uint8

	best    *tables.VM
	score   float64
	refused [tables.NumReasons]int
}

func (f *finder) group(g *tables.Group) {
	switch {
	case f.r.Task.Record.Spec.Zone != "" && f.r.Task.Record.Spec.Zone != g.Zone:
		f.refused[tables.WrongZone] += g.Size
		return
	case int64(g.Accelerators) < min(f.r.Need.Accelerators, tables.MaxAccelerators):
		f.refused[tables.NoAccelerators] += g.Size
		return
	}
	if f.harmful(g) {
		f.refused[tables.TooHarmful] += g.Size
		return
	}
	rows := g.Rows(f.low)
	if rows == 0 {
		f.refused[tables.NoCPU] += g.Size
		return
	}
	base := scoring.Group(f.t, f.s, g)
	for rows != 0 {
		var row uint8
		row, rows = tables.Next(rows)
		if score := base + scoring.Row(f.s, g, row); f.best == nil || score > f.score {
			if v := f.row(g, row); v != nil {
				f.best, f.score = v, score
			}
		}
	}
}

// harmful reports whether every VM of the group is refused for its pressure.
func (f *finder) harmful(g *tables.Group) bool {
	edge := tables.PressureEdge(g.Pressure)
	if g.Service == "" || edge == 0 || f.s.Class != task.Batch {
		return false
	}
	limit := f.r.Limits.Highest(g.Service, g.Load)
	if edge <= limit/2 {
		return false
	}
	own := f.r.Harms.On(g.Service, g.Load) * float64(f.r.Need.CPU) / 1000
	return own > feasibility.Negligible && edge+own > limit
}

// row returns a feasible VM of the row. The first VM looked at in each cell is random, so
// that equal VMs share the work.
func (f *finder) row(g *tables.Group, row uint8) *tables.VM {
	cols := g.Columns(row, f.col)
	if cols == 0 {
		f.refused[tables.NoMemory]++
	}
	for cols != 0 {
		var col uint8
		col, cols = tables.Next(cols)
		cell := g.Cell(row, col)
		start := f.rng.IntN(len(cell))
		for i := range cell {
			v := cell[(start+i)%len(cell)]
			reason := feasibility.Filter(f.t, f.r, v, f.now)
			if reason == tables.Placed {
				return v
			}
			f.refused[reason]++
		}
	}
	return nil
}

// reason returns the refusal to report: that of the VMs that came closest to taking the task.
func (f *finder) reason() tables.Reason {
	for _, r := range []tables.Reason{tables.RackFull, tables.TooHarmful, tables.RoomHeld, tables.Quarantined, tables.NoMemory,
		tables.NoCPU, tables.NoAccelerators, tables.VMDraining, tables.NoVM, tables.WrongZone} {
		if f.refused[r] > 0 {
			return r
		}
	}
	return tables.NoVM
}
