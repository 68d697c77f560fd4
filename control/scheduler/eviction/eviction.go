// Package eviction chooses which tasks to move when room or relief is needed.
package eviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Terms of the loss.
const (
	// restart is the run time lost by any eviction: checkpoint, transfer and start.
	restart = 10 * time.Second
	// suffered is added for each eviction so far, so that no task is moved for ever.
	suffered = time.Minute
	// atRisk is added when the deadline is close.
	atRisk = 5 * time.Minute
	// riskSlack is the multiple of the remaining run time that counts as close.
	riskSlack = 1.5
)

// Loss returns what the eviction of a batch task costs, as run time.
func Loss(t *tables.Tables, tk *tables.Task, now time.Duration) time.Duration {
	spec := &tk.Record.Spec
	done := tk.RunningProgress
	if done == 0 && tk.Started > 0 {
		done = tk.Record.Progress + now - tk.Started
	}
	loss := restart + max(done-tk.Record.Progress, 0) + time.Duration(tk.Record.Evictions)*suffered
	if spec.Deadline > 0 {
		left := tk.Submitted + spec.Deadline - now
		if left > 0 && float64(left) < riskSlack*float64(sizing.Remaining(t, tk)+restart) {
			loss += atRisk
		}
	}
	return loss
}

// Movable reports whether a task may be evicted: a running batch task that is not urgent.
func Movable(tk *tables.Task) bool {
	s := &tk.Record.Spec
	return s.Class == task.Batch && !s.Urgent && (tk.Record.State == task.Running || tk.Record.State == task.Suspended)
}

// Victims returns the tasks to move from the VM so that need fits, and their loss. It
// returns none when the VM cannot make room or already has it.
func Victims(t *tables.Tables, v *tables.VM, need task.Resources, now time.Duration) ([]*tables.Task, time.Duration) {
	type candidate struct {
		tk   *tables.Task
		loss time.Duration
	}
	var list []candidate
	for id := range v.Tasks {
		if tk := t.Tasks[id]; Movable(tk) {
			list = append(list, candidate{tk, Loss(t, tk, now)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.tk.Record.Spec.ID, b.tk.Record.Spec.ID))
	})
	free := v.Free()
	var out []*tables.Task
	var loss time.Duration
	for _, c := range list {
		if need.Fits(free) {
			break
		}
		if !helps(c.tk.Reserved, need.Sub(free)) {
			continue
		}
		free = free.Add(c.tk.Reserved)
		loss += c.loss
		out = append(out, c.tk)
	}
	if !need.Fits(free) {
		return nil, 0
	}
	return prune(out, need, free, loss, func(tk *tables.Task) time.Duration { return Loss(t, tk, now) })
}

// prune drops victims that later ones made unnecessary, the most costly first.
func prune(list []*tables.Task, need, free task.Resources, loss time.Duration, cost func(*tables.Task) time.Duration) ([]*tables.Task, time.Duration) {
	for i := len(list) - 1; i >= 0; i-- {
		if without := free.Sub(list[i].Reserved); need.Fits(without) {
			free = without
			loss -= cost(list[i])
			list = slices.Delete(list, i, i+1)
		}
	}
	return list, loss
}

// helps reports whether an amount reduces a lack.
func helps(amount, lack task.Resources) bool {
	return amount.CPU > 0 && lack.CPU > 0 || amount.Memory > 0 && lack.Memory > 0 ||
		amount.Accelerators > 0 && lack.Accelerators > 0
}

// Relief returns the movable task whose move takes the most pressure off the VM's service
// for its loss, or nil.
func Relief(t *tables.Tables, v *tables.VM, now time.Duration) *tables.Task {
	var best *tables.Task
	bestValue := 0.0
	load := tables.LoadBucket(v.ExpectedLoad())
	for id := range v.Tasks {
		tk := t.Tasks[id]
		if !Movable(tk) {
			continue
		}
		harm := t.Harm(v.Service, tk.Record.Spec.JobClass, load) * float64(tk.Reserved.CPU) / 1000
		value := harm / Loss(t, tk, now).Seconds()
		if value > bestValue || (best != nil && value == bestValue && id < best.Record.Spec.ID) {
			best, bestValue = tk, value
		}
	}
	return best
}

// Budget limits the evictions of each minute.
type Budget struct {
	window time.Duration
	used   int
}

// Limits of a minute: a part of the running tasks, and at least a few.
const (
	budgetShare = 0.02
	budgetMin   = 2
)

// Take reports whether n more evictions are within the budget and counts them. running
// is the number of running tasks.
func (b *Budget) Take(n, running int, now time.Duration) bool {
	if minute := now / time.Minute; minute != b.window {
		b.window, b.used = minute, 0
	}
	if b.used+n > max(budgetMin, int(budgetShare*float64(running))) {
		return false
	}
	b.used += n
	return true
}
