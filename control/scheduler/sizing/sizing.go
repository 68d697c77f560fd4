// Package sizing learns the resource use and run time of job classes from delayed usage
// reports, and derives reservations from them.
package sizing

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Parameters of the estimates.
const (
	// memoryQuantile is the quantile of the learnt memory use that a reservation covers, and
	// memoryMargin the factor on top of it: use of memory beyond the reservations ends tasks.
	memoryQuantile = 0.99
	memoryMargin   = 1.15
	// Use exceeds a reservation when it is above it by these factors. Memory cannot be shared;
	// processors can be for a while.
	memoryExcess = 1.02
	cpuExcess    = 1.15
	// Processors are shared when tasks use more than they reserved, so their quantile is lower. It
	// and the margin rise with the tail weight, up to 0.48 and 5%.
	cpuQuantileBase  = 0.38
	cpuQuantileRange = 0.1
	cpuMarginRange   = 0.05
	// weightGrowth is the ratio of the weights of consecutive samples; the effective window is 200 samples.
	weightGrowth = 1 + 1.0/200
	// maxWeight is the weight above which all weights are scaled down.
	maxWeight = 1e6
	// refreshSamples is the number of new samples after which the quantiles are recomputed.
	refreshSamples = 16
	// ratioScale converts ratios to integers so that 1/64 to 1024 fall into the buckets.
	ratioScale = 1024
	// minSamples and minTasks are required before the learnt size replaces the declared one.
	minSamples = 8
	minTasks   = 2
	// keepDeclaredAbove keeps the declared size when the use is at most 15% below it.
	keepDeclaredAbove = 0.85
	// maxGrowth and minShrink bound the learnt size relative to the declared one, so that wrong
	// reports cannot reserve a whole VM or nothing.
	maxGrowth = 4
	minShrink = 0.125
	// runTimeWeight is the weight of a new sample in the moving averages of run times.
	runTimeWeight = 0.2
)

// ReservationExcess reports that a task uses more than its reservation.
type ReservationExcess struct {
	Task *tables.Task
	// Need is the reservation that would cover the use.
	Need task.Resources
	// Overflow is true when the VM's free capacity does not cover the increase.
	Overflow bool
}

// Learn records one report and returns the tasks that exceed their reservations. A measurement
// is used only for the attempt that ran when it was taken.
func Learn(t *tables.Tables, r tables.Report) []ReservationExcess {
	v, ok := t.VMs[r.VM]
	if !ok {
		return nil
	}
	var grown []ReservationExcess
	for _, u := range r.Usage {
		tk, ok := t.Tasks[u.Task]
		if !ok || tk.Record.VM != r.VM || tk.Record.State != task.Running || tk.Started > r.At-r.Lag {
			continue
		}
		if !plausible(u.Used, v.Capacity) {
			continue
		}
		use := fullSpeedUsage(u)
		s := t.Profile(tk.Job())
		addSample(s, tk, use)
		if g, ok := reservationExcess(tk, use, v); ok {
			grown = append(grown, g)
		}
	}
	return grown
}

// plausible reports whether the measurement is present and possible on the VM.
func plausible(use, capacity task.Resources) bool {
	return use.CPU >= 0 && use.Memory >= 0 && use.CPU+use.Memory > 0 && use.Fits(capacity)
}

// fullSpeedUsage estimates the use at full speed of a task that the guard throttled.
func fullSpeedUsage(u tables.TaskUsage) task.Resources {
	use := u.Used
	if u.Fraction > 0 && u.Fraction < 1 {
		use.CPU = int64(float64(use.CPU) / u.Fraction)
	}
	return use
}

func addSample(s *tables.UsageProfile, tk *tables.Task, use task.Resources) {
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
		s.CPURatio[bucket(use.CPU*ratioScale/d.CPU)] += s.Weight
		s.MemoryRatio[bucket(use.Memory*ratioScale/d.Memory)] += s.Weight
	}
	s.Weight *= weightGrowth
}

func rescale(s *tables.UsageProfile) {
	for _, h := range []*tables.UsageHistogram{&s.CPU, &s.Memory, &s.CPURatio, &s.MemoryRatio} {
		for i := range h {
			h[i] /= s.Weight
		}
	}
	s.Weight = 1
}

// bucketsPerOctave is the number of buckets per doubling of an amount.
const bucketsPerOctave = 8

// bucket returns the bucket of an amount. Amounts up to 16 share the first one.
func bucket(amount int64) int {
	if amount <= 16 {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(amount)/16)), tables.UsageBuckets-1)
}

// quantile returns the q-quantile of the samples, interpolated within its bucket: rounding up
// to the bucket's upper bound would reserve up to 9% too much.
func quantile(h *tables.UsageHistogram, q float64) int64 {
	var total, seen float64
	for _, n := range h {
		total += float64(n)
	}
	for b, n := range h {
		if seen+float64(n) >= q*total && n > 0 {
			part := (q*total - seen) / float64(n)
			return int64(math.Ceil(16 * math.Exp2((float64(b)+part)/bucketsPerOctave)))
		}
		seen += float64(n)
	}
	return 0
}

// Reservation returns the amount to reserve for the task: the learnt use with a margin, or the
// declared amount while there are too few samples, or when the learnt amount fits no VM.
func Reservation(t *tables.Tables, tk *tables.Task, tailWeight float64) task.Resources {
	need := tk.Record.Spec.Declared
	s, ok := t.Profiles[tk.Job()]
	if !ok || s.Samples < minSamples || len(s.Tasks) < minTasks {
		return need
	}
	if s.EstimatedAt == 0 || s.Samples-s.EstimatedAt >= refreshSamples {
		s.EstimatedAt = s.Samples
		cpuQuantile := cpuQuantileBase + cpuQuantileRange*tailWeight
		s.Estimate = tables.UsageEstimate{
			Amount:      task.Resources{CPU: quantile(&s.CPU, cpuQuantile), Memory: quantile(&s.Memory, memoryQuantile)},
			CPURatio:    float64(quantile(&s.CPURatio, cpuQuantile)) / ratioScale,
			MemoryRatio: float64(quantile(&s.MemoryRatio, memoryQuantile)) / ratioScale,
		}
	}
	learnt := need
	learnt.CPU = withMargin(need.CPU, minEstimate(s.Estimate.Amount.CPU, s.Estimate.CPURatio, need.CPU), 1+cpuMarginRange*tailWeight)
	learnt.Memory = withMargin(need.Memory, minEstimate(s.Estimate.Amount.Memory, s.Estimate.MemoryRatio, need.Memory), memoryMargin)
	if fits, known := t.FitsEmptyVM(tk.Record.Spec.Zone, learnt); known && !fits {
		return need
	}
	return learnt
}

// minEstimate returns the smaller of two estimates that both cover the use: in some job
// classes the use is a constant multiple of the declared size, in others it is unrelated.
func minEstimate(amount int64, ratio float64, declared int64) int64 {
	if ratio == 0 {
		return amount
	}
	return min(amount, int64(math.Ceil(ratio*float64(declared))))
}

func withMargin(declared, use int64, margin float64) int64 {
	if declared == 0 {
		return int64(float64(use) * margin)
	}
	if float64(use) >= keepDeclaredAbove*float64(declared) && float64(use) <= margin*float64(declared) {
		return declared
	}
	low, high := minShrink*float64(declared), maxGrowth*float64(declared)
	return int64(math.Ceil(min(max(float64(use)*margin, low), high)))
}

// reservationExcess compares the use with the reservation.
func reservationExcess(tk *tables.Task, use task.Resources, v *tables.VM) (ReservationExcess, bool) {
	if float64(use.Memory) <= float64(tk.Reserved.Memory)*memoryExcess && float64(use.CPU) <= float64(tk.Reserved.CPU)*cpuExcess {
		return ReservationExcess{}, false
	}
	need := tk.Reserved
	need.CPU = max(need.CPU, use.CPU)
	need.Memory = max(need.Memory, use.Memory)
	extra := need.Sub(tk.Reserved)
	return ReservationExcess{Task: tk, Need: need, Overflow: !extra.Fits(v.Free())}, true
}

// LearnRunTime records the run time of a successful attempt.
func LearnRunTime(t *tables.Tables, e tables.AttemptEnd) {
	if !e.OK || e.Elapsed <= 0 {
		return
	}
	s := t.Profile(e.Job)
	s.RunTime = time.Duration(movingAverage(float64(s.RunTime), float64(e.Elapsed)))
	if e.DeclaredRemaining > 0 {
		s.RunRatio = movingAverage(s.RunRatio, float64(e.Elapsed)/float64(e.DeclaredRemaining))
	}
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + runTimeWeight*(sample-old)
}

// Remaining estimates the run time that the task needs from its last checkpoint to its end.
// It returns 0 for a task without a declared run time.
func Remaining(t *tables.Tables, tk *tables.Task) time.Duration {
	declared := tk.Record.Spec.Duration
	if declared == 0 {
		return 0
	}
	left := max(declared-tk.Record.Progress, 0)
	if s, ok := t.Profiles[tk.Job()]; ok && s.RunRatio > 0 {
		return time.Duration(float64(left) * s.RunRatio)
	}
	return left
}
