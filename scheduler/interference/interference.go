// Package interference learns how much a job class slows a service down, by load.
package interference

import (
	"github.com/chicorystand/chicorystand/scheduler/tables"
)

// Rules of learning.
const (
	// rate is the step of the normalised least-mean-squares update.
	rate = 0.15
	// baseRate is the weight of a report in the tail without batch tasks.
	baseRate = 0.05
	// maxHarm bounds the effect of one processor.
	maxHarm = 2.0
	// minNorm keeps the update small when hardly any batch task was on the VM.
	minNorm = 1.0
	// maxError bounds the effect of one report, so that a wave from elsewhere is not
	// attributed to what happens to run beside the service.
	maxError = 0.5
)

// BaseClass is the pair that holds the tail without batch tasks, as a fraction of the target.
const BaseClass = ""

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
	base := pair(t, tables.Pair{Service: v.Service, JobClass: BaseClass, Load: load}, unknownBase)
	type term struct {
		s   *tables.Slowdown
		cpu float64
	}
	var terms []term
	norm, expected := minNorm, 0.0
	v.MixAt(r.At-r.Lag, func(class string, milli int64) {
		if milli <= 0 {
			return
		}
		key := tables.Pair{Service: v.Service, JobClass: class, Load: load}
		x := term{pair(t, key, t.Harm(v.Service, class, load)), float64(milli) / 1000}
		terms = append(terms, x)
		norm += x.cpu * x.cpu
		expected += x.s.Harm * x.cpu
	})
	if len(terms) == 0 {
		base.Harm += baseRate * (r.Tail - base.Harm)
		base.Weight++
		return
	}
	err := min(max(r.Tail/base.Harm-1-expected, -maxError), maxError)
	base.Harm += baseRate * 0.1 * err * base.Harm
	for _, x := range terms {
		x.s.Harm = min(max(x.s.Harm+rate*err*x.cpu/norm, 0), maxHarm)
		x.s.Weight += x.cpu
	}
}

func pair(t *tables.Tables, key tables.Pair, initial float64) *tables.Slowdown {
	s, ok := t.Pairs[key]
	if !ok {
		s = &tables.Slowdown{Harm: initial}
		t.Pairs[key] = s
	}
	return s
}
