// Package interference learns how much a job class slows a service down, by load.
package interference

import (
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// Rules of learning.
const (
	// rate is the step of the normalised least-mean-squares update. It falls with the
	// evidence, down to minRate, so that noise averages out and drift is still followed.
	rate     = 0.15
	minRate  = 0.01
	halfRate = 500.0
	// baseScale gives the tail without batch tasks a larger step than a class has: it is
	// common to all VMs of the service.
	baseScale = 3.0
	// directRate is the weight of a report from a VM without batch tasks.
	directRate = 0.05
	// maxHarm bounds the effect of one processor.
	maxHarm = 2.0
	// maxError bounds the effect of one report, so that a wave from elsewhere is not
	// attributed to what happens to run beside the service.
	maxError = 0.5
)

// unknownBase is assumed before a report without batch tasks was seen.
const unknownBase = 0.7

// Learn attributes the tail of one report to the job classes that were on the VM when it
// was measured, one lag before the report.
func Learn(t *tables.Tables, r tables.Report) {
	v, ok := t.VMs[r.VM]
	if !ok || v.Service == "" || r.Tail <= 0 {
		return
	}
	load := tables.LoadBucket(r.Load)
	base := baseOf(t, v.Service, r.Load)
	ratios := measured(t, r)
	type term struct {
		s   *tables.Slowdown
		cpu float64
	}
	var terms []term
	norm, expected := baseScale*baseScale, 0.0
	v.MixAt(r.At-r.Lag, func(class string, milli int64) {
		if milli <= 0 {
			return
		}
		key := tables.Pair{Service: v.Service, JobClass: class, Load: load}
		x := term{pair(t, key, t.Harm(v.Service, class, load)), float64(milli) / 1000}
		if ratio, ok := ratios[class]; ok {
			x.cpu *= ratio
		}
		terms = append(terms, x)
		norm += x.cpu * x.cpu
		expected += x.s.Harm * x.cpu
	})
	if len(terms) == 0 {
		base.Harm += directRate * (r.Tail - base.Harm)
		return
	}
	err := min(max(r.Tail/base.Harm-1-expected, -maxError), maxError)
	base.Harm *= 1 + step(base)*err*baseScale*baseScale/norm
	base.Weight++
	for _, x := range terms {
		x.s.Harm = min(max(x.s.Harm+step(x.s)*err*x.cpu/norm, 0), maxHarm)
		x.s.Weight += x.cpu
	}
}

func step(s *tables.Slowdown) float64 { return max(rate/(1+s.Weight/halfRate), minRate) }

// baseOf returns the tail without batch tasks. A class of load that is new starts from the
// nearest one that is known.
func baseOf(t *tables.Tables, service string, load float64) *tables.Slowdown {
	b := tables.BaseBucket(load)
	initial, ok := t.Base(service, b)
	if !ok {
		initial = unknownBase
	}
	return pair(t, tables.BasePair(service, b), initial)
}

// measured returns real over reserved processors by job class, as far as the report tells.
// Throttled and idle tasks do less harm than their reservations suggest.
func measured(t *tables.Tables, r tables.Report) map[string]float64 {
	used, reserved := make(map[string]int64), make(map[string]int64)
	for _, u := range r.Uses {
		tk, ok := t.Tasks[u.Task]
		if !ok || tk.Record.VM != r.VM || tk.Reserved.CPU == 0 || tk.Started > r.At-r.Lag {
			continue
		}
		used[tk.Record.Spec.JobClass] += u.Use.CPU
		reserved[tk.Record.Spec.JobClass] += tk.Reserved.CPU
	}
	ratios := make(map[string]float64, len(used))
	for class, cpu := range reserved {
		ratios[class] = float64(used[class]) / float64(cpu)
	}
	return ratios
}

func pair(t *tables.Tables, key tables.Pair, initial float64) *tables.Slowdown {
	s, ok := t.Pairs[key]
	if !ok {
		s = &tables.Slowdown{Harm: initial}
		t.Pairs[key] = s
	}
	return s
}
