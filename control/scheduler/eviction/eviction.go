// Package eviction selects the scheduler's tasks that may be evicted to make room or to
// relieve a service, and computes their loss. Package control/eviction makes the choice.
package eviction

import (
	"time"

	"github.com/chicorystand/chicorystand/control/eviction"
	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Terms of the loss, as run time.
const (
	// restartLoss is the run time that every eviction loses: checkpoint, transfer and start.
	restartLoss = 10 * time.Second
	// perEvictionLoss is added for each earlier eviction, so that no task is evicted again and again.
	perEvictionLoss = time.Minute
	// deadlineLoss is added when the deadline is at risk.
	deadlineLoss = 5 * time.Minute
	// deadlineSlack is the multiple of the remaining run time below which a deadline is at risk.
	deadlineSlack = 1.5
)

// Loss returns the cost of evicting a batch task, as run time.
func Loss(t *tables.Tables, tk *tables.Task, now time.Duration) time.Duration {
	spec := &tk.Record.Spec
	done := tk.RunningProgress
	if done == 0 && tk.Started > 0 {
		done = tk.Record.Progress + now - tk.Started
	}
	loss := restartLoss + max(done-tk.Record.Progress, 0) + time.Duration(tk.Record.Evictions)*perEvictionLoss
	if spec.Deadline > 0 {
		left := tk.Submitted + spec.Deadline - now
		if left > 0 && float64(left) < deadlineSlack*float64(sizing.Remaining(t, tk)+restartLoss) {
			loss += deadlineLoss
		}
	}
	return loss
}

// Evictable reports whether a task may be evicted: a running batch task that is not urgent.
func Evictable(tk *tables.Task) bool {
	s := &tk.Record.Spec
	return s.Class == task.Batch && !s.Urgent && (tk.Record.State == task.Running || tk.Record.State == task.Suspended)
}

// Victims returns the tasks to evict from the VM so that need fits, and their loss. It returns
// none when evictions cannot make enough room or when need fits already.
func Victims(t *tables.Tables, v *tables.VM, need task.Resources, now time.Duration) ([]*tables.Task, time.Duration) {
	var tasks []*tables.Task
	var candidates []eviction.Candidate
	for id := range v.Tasks {
		if tk := t.Tasks[id]; Evictable(tk) {
			tasks = append(tasks, tk)
			candidates = append(candidates, eviction.Candidate{ID: tk.Record.Spec.ID, Reserved: tk.Reserved, Loss: Loss(t, tk, now)})
		}
	}
	chosen, loss, _ := eviction.Choose(candidates, need, v.Free())
	var out []*tables.Task
	for _, i := range chosen {
		out = append(out, tasks[i])
	}
	return out, loss
}

// ReliefVictim returns the evictable task with the highest ratio of effect on the VM's service
// to loss, or nil.
func ReliefVictim(t *tables.Tables, v *tables.VM, now time.Duration) *tables.Task {
	var best *tables.Task
	bestValue := 0.0
	load := tables.LoadBucket(v.ExpectedLoad())
	for id := range v.Tasks {
		tk := t.Tasks[id]
		if !Evictable(tk) {
			continue
		}
		relief := t.Interference(v.Service, tk.Record.Spec.JobClass, load) * float64(tk.Reserved.CPU) / 1000
		value := relief / Loss(t, tk, now).Seconds()
		if value > bestValue || (best != nil && value == bestValue && id < best.Record.Spec.ID) {
			best, bestValue = tk, value
		}
	}
	return best
}

// Budget limits the evictions per minute.
type Budget struct {
	window time.Duration
	used   int
}

// Evictions per minute: a share of the running tasks, and at least minEvictions.
const (
	evictionShare = 0.02
	minEvictions  = 2
)

// Take reports whether n more evictions are within the budget, and counts them if so.
// running is the number of running tasks.
func (b *Budget) Take(n, running int, now time.Duration) bool {
	if minute := now / time.Minute; minute != b.window {
		b.window, b.used = minute, 0
	}
	if b.used+n > max(minEvictions, int(evictionShare*float64(running))) {
		return false
	}
	b.used += n
	return true
}
