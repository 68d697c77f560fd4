// Package interference learns how much each job class slows down a service at a given load.
package interference

import (
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// Parameters of the estimator.
const (
	// initialRate is the step size of the normalised least-mean-squares update. It falls with the
	// weight of the estimate, by half at halvingWeight and down to minRate, so that noise averages
	// out and drift is still followed.
	initialRate   = 0.15
	minRate       = 0.01
	halvingWeight = 500.0
	// baselineScale gives the baseline a larger step than a job class, since it is common to all
	// VMs of the service.
	baselineScale = 3.0
	// baselineRate is the weight of a report from a VM without batch tasks in the baseline.
	baselineRate = 0.05
	// maxPerCPU bounds the relative slowdown per processor.
	maxPerCPU = 2.0
	// maxError bounds the error taken from one report, so that a slowdown from another cause is
	// not attributed to the batch tasks that happen to run on the VM.
	maxError = 0.5
)

// initialBaseline is the baseline assumed for a service without reports, as a fraction of its target.
const initialBaseline = 0.7

// Learn updates the estimates from one report. It attributes the tail to the job classes that
// were on the VM when it was measured, one lag before the report.
func Learn(t *tables.Tables, r tables.Report) {
	v, ok := t.VMs[r.VM]
	if !ok || v.Service == "" || r.Tail <= 0 {
		return
	}
	load := tables.LoadBucket(r.Load)
	base := baselineOf(t, v.Service, r.Load)
	ratios := usageRatios(t, r)
	type term struct {
		s   *tables.Slowdown
		cpu float64
	}
	var terms []term
	norm, expected := baselineScale*baselineScale, 0.0
	v.BatchCPUAt(r.At-r.Lag, func(class string, milli int64) {
		if milli <= 0 {
			return
		}
		key := tables.SlowdownKey{Service: v.Service, JobClass: class, Load: load}
		x := term{slowdown(t, key, t.Interference(v.Service, class, load)), float64(milli) / 1000}
		if ratio, ok := ratios[class]; ok {
			x.cpu *= ratio
		}
		terms = append(terms, x)
		norm += x.cpu * x.cpu
		expected += x.s.PerCPU * x.cpu
	})
	if len(terms) == 0 {
		base.PerCPU += baselineRate * (r.Tail - base.PerCPU)
		return
	}
	err := min(max(r.Tail/base.PerCPU-1-expected, -maxError), maxError)
	base.PerCPU *= 1 + learningRate(base)*err*baselineScale*baselineScale/norm
	base.Weight++
	for _, x := range terms {
		x.s.PerCPU = min(max(x.s.PerCPU+learningRate(x.s)*err*x.cpu/norm, 0), maxPerCPU)
		x.s.Weight += x.cpu
	}
}

func learningRate(s *tables.Slowdown) float64 {
	return max(initialRate/(1+s.Weight/halvingWeight), minRate)
}

// baselineOf returns the service's tail without batch tasks. A new load bucket starts from the
// nearest known one.
func baselineOf(t *tables.Tables, service string, load float64) *tables.Slowdown {
	b := tables.BaselineBucket(load)
	initial, ok := t.Baseline(service, b)
	if !ok {
		initial = initialBaseline
	}
	return slowdown(t, tables.BaselineKey(service, b), initial)
}

// usageRatios returns measured over reserved processors by job class, for the tasks in the
// report. Throttled and idle tasks interfere less than their reservations suggest.
func usageRatios(t *tables.Tables, r tables.Report) map[string]float64 {
	used, reserved := make(map[string]int64), make(map[string]int64)
	for _, u := range r.Usage {
		tk, ok := t.Tasks[u.Task]
		if !ok || tk.Record.VM != r.VM || tk.Reserved.CPU == 0 || tk.Started > r.At-r.Lag {
			continue
		}
		used[tk.Record.Spec.JobClass] += u.Used.CPU
		reserved[tk.Record.Spec.JobClass] += tk.Reserved.CPU
	}
	ratios := make(map[string]float64, len(used))
	for class, cpu := range reserved {
		ratios[class] = float64(used[class]) / float64(cpu)
	}
	return ratios
}

func slowdown(t *tables.Tables, key tables.SlowdownKey, initial float64) *tables.Slowdown {
	s, ok := t.Slowdowns[key]
	if !ok {
		s = &tables.Slowdown{PerCPU: initial}
		t.Slowdowns[key] = s
	}
	return s
}
