// Package sizing learns the real use and run time of job classes from lagging usage
// reports, and derives reservations from them.
package sizing

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Rules of learning.
const (
	// memoryQuantile is the part of the learnt use that a reservation covers, and margin is
	// added to it. Memory beyond the reservations ends tasks.
	memoryQuantile = 0.99
	margin         = 1.15
	// Processors are shared when tasks use more than they reserved. The quantile and the
	// margin rise with the tail weight up to 0.48 and 5%.
	cpuQuantileBase  = 0.38
	cpuQuantileRange = 0.1
	cpuMarginRange   = 0.05
	// growth is the weight of a sample over that of the one before; the effective window is 200 samples.
	growth = 1 + 1.0/200
	// maxWeight is where weights are scaled down again.
	maxWeight = 1e6
	// relearn is the number of samples after which the quantiles are computed again.
	relearn = 16
	// ratioUnit makes ratios from 1/64 to 1024 fall into the classes.
	ratioUnit = 1024
	// minSamples and minTasks must be reached before a learnt size replaces the declared one.
	minSamples = 8
	minTasks   = 2
	// keepAbove leaves the declared size in force when the use is within 15% below it.
	keepAbove = 0.85
	// maxGrowth and minShrink bound a learnt size by the declared one, so that wrong
	// reports cannot reserve a whole VM or nothing.
	maxGrowth = 4
	minShrink = 0.125
	// runWeight is the weight of a new run time.
	runWeight = 0.2
)

// Grow reports that a task uses more than its reservation.
type Grow struct {
	Task *tables.Task
	// Need is the reservation that would cover the use.
	Need task.Resources
	// Overflow is true when the VM cannot hold it.
	Overflow bool
}

// Learn takes one report into account and returns the tasks that outgrew their reservations.
// A measurement is used only for the attempt that ran when it was taken.
func Learn(t *tables.Tables, r tables.Report) []Grow {
	v, ok := t.VMs[r.VM]
	if !ok {
		return nil
	}
	var grown []Grow
	for _, u := range r.Uses {
		tk, ok := t.Tasks[u.Task]
		if !ok || tk.Record.VM != r.VM || tk.Record.State != task.Running || tk.Started > r.At-r.Lag {
			continue
		}
		if !plausible(u.Use, v.Capacity) {
			continue
		}
		use := unthrottled(u)
		s := t.Size(tk.Job())
		observe(s, tk, use)
		if g, ok := outgrown(tk, use, v); ok {
			grown = append(grown, g)
		}
	}
	return grown
}

// plausible rejects missing measurements and those that no task on the VM can have.
func plausible(use, capacity task.Resources) bool {
	return use.CPU >= 0 && use.Memory >= 0 && use.CPU+use.Memory > 0 && use.Fits(capacity)
}

// unthrottled estimates the use at full speed of a task that the guard slowed down.
func unthrottled(u tables.Use) task.Resources {
	use := u.Use
	if u.Fraction > 0 && u.Fraction < 1 {
		use.CPU = int64(float64(use.CPU) / u.Fraction)
	}
	return use
}

func observe(s *tables.Size, tk *tables.Task, use task.Resources) {
	if s.Tasks == nil {
		s.Tasks = make(map[string]struct{}, minTasks)
		s.Weight = 1
	}
	if len(s.Tasks) < minTasks {
		s.Tasks[tk.Record.Spec.ID] = struct{}{}
	}
	if s.Weight > maxWeight {
		rescale(s)
	}
	s.Samples++
	s.CPU[bucket(use.CPU)] += s.Weight
	s.Memory[bucket(use.Memory)] += s.Weight
	if d := tk.Record.Spec.Declared; d.CPU > 0 && d.Memory > 0 {
		s.CPURatio[bucket(use.CPU*ratioUnit/d.CPU)] += s.Weight
		s.MemoryRatio[bucket(use.Memory*ratioUnit/d.Memory)] += s.Weight
	}
	s.Weight *= growth
}

func rescale(s *tables.Size) {
	for _, h := range []*tables.Uses{&s.CPU, &s.Memory, &s.CPURatio, &s.MemoryRatio} {
		for i := range h {
			h[i] /= s.Weight
		}
	}
	s.Weight = 1
}

// perOctave is the number of classes in each doubling of an amount.
const perOctave = 8

// bucket returns the class of an amount, from 16 upwards.
func bucket(amount int64) int {
	if amount <= 16 {
		return 0
	}
	return min(int(perOctave*math.Log2(float64(amount)/16)), tables.SizeBuckets-1)
}

// quantile returns the amount below which the part q of the samples lies, interpolated
// within its class: a whole class more would reserve up to 9% for nothing.
func quantile(h *tables.Uses, q float64) int64 {
	var total, seen float64
	for _, n := range h {
		total += float64(n)
	}
	for b, n := range h {
		if seen+float64(n) >= q*total && n > 0 {
			part := (q*total - seen) / float64(n)
			return int64(math.Ceil(16 * math.Exp2((float64(b)+part)/perOctave)))
		}
		seen += float64(n)
	}
	return 0
}

// Reservation returns the amount to reserve for the task: the learnt use with a margin,
// or the declared amount while too little is known. It never exceeds what the largest VM
// offers when the declared amount does not.
func Reservation(t *tables.Tables, tk *tables.Task, tailWeight float64) task.Resources {
	need := tk.Record.Spec.Declared
	s, ok := t.Sizes[tk.Job()]
	if !ok || s.Samples < minSamples || len(s.Tasks) < minTasks {
		return need
	}
	if s.LearntAt == 0 || s.Samples-s.LearntAt >= relearn {
		s.LearntAt = s.Samples
		cpuQuantile := cpuQuantileBase + cpuQuantileRange*tailWeight
		s.Learnt = tables.LearntSize{
			Amount:      task.Resources{CPU: quantile(&s.CPU, cpuQuantile), Memory: quantile(&s.Memory, memoryQuantile)},
			CPURatio:    float64(quantile(&s.CPURatio, cpuQuantile)) / ratioUnit,
			MemoryRatio: float64(quantile(&s.MemoryRatio, memoryQuantile)) / ratioUnit,
		}
	}
	learnt := need
	learnt.CPU = clamp(need.CPU, tighter(s.Learnt.Amount.CPU, s.Learnt.CPURatio, need.CPU), 1+cpuMarginRange*tailWeight)
	learnt.Memory = clamp(need.Memory, tighter(s.Learnt.Amount.Memory, s.Learnt.MemoryRatio, need.Memory), margin)
	if fits, known := t.EverFits(tk.Record.Spec.Zone, learnt); known && !fits {
		return need
	}
	return learnt
}

// tighter returns the smaller of two estimates that both cover the use: declared sizes
// follow real ones by a constant factor in some job classes and not at all in others.
func tighter(amount int64, ratio float64, declared int64) int64 {
	if ratio == 0 {
		return amount
	}
	return min(amount, int64(math.Ceil(ratio*float64(declared))))
}

func clamp(declared, use int64, margin float64) int64 {
	if declared == 0 {
		return int64(float64(use) * margin)
	}
	if float64(use) >= keepAbove*float64(declared) && float64(use) <= margin*float64(declared) {
		return declared
	}
	low, high := minShrink*float64(declared), maxGrowth*float64(declared)
	return int64(math.Ceil(min(max(float64(use)*margin, low), high)))
}

// outgrown compares the use with the reservation. Processors may be shared for a while,
// memory may not, so memory counts from the first MiB above the margin.
func outgrown(tk *tables.Task, use task.Resources, v *tables.VM) (Grow, bool) {
	if float64(use.Memory) <= float64(tk.Reserved.Memory)*1.02 && float64(use.CPU) <= float64(tk.Reserved.CPU)*margin {
		return Grow{}, false
	}
	need := tk.Reserved
	need.CPU = max(need.CPU, use.CPU)
	need.Memory = max(need.Memory, use.Memory)
	extra := need.Sub(tk.Reserved)
	return Grow{Task: tk, Need: need, Overflow: !extra.Fits(v.Free())}, true
}

// Finish learns the run time of a successful attempt.
func Finish(t *tables.Tables, e tables.Ended) {
	if !e.OK || e.Run <= 0 {
		return
	}
	s := t.Size(e.Job)
	s.RunTime = time.Duration(mix(float64(s.RunTime), float64(e.Run)))
	if e.Declared > 0 {
		s.RunRatio = mix(s.RunRatio, float64(e.Run)/float64(e.Declared))
	}
}

func mix(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + runWeight*(sample-old)
}

// Remaining estimates the run time that the task still needs from its last checkpoint.
// It returns 0 for a task without a declared or learnt run time.
func Remaining(t *tables.Tables, tk *tables.Task) time.Duration {
	declared := tk.Record.Spec.Duration
	if declared == 0 {
		return 0
	}
	left := max(declared-tk.Record.Progress, 0)
	if s, ok := t.Sizes[tk.Job()]; ok && s.RunRatio > 0 {
		return time.Duration(float64(left) * s.RunRatio)
	}
	return left
}
