package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// newBackloggedPool returns a full pool with waiting steps of two tasks each, 250 to a submission.
func newBackloggedPool(executors, steps int) *largePool {
	p := newLargePool(executors)
	for i := range 4 * executors {
		p.add(fmt.Sprintf("%016x", 2_000_000+i), submission.Step{Count: 4, Request: task.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Minute})
	}
	for range 5 {
		p.pass()
	}
	const stepsPerJob, needs = 250, 40
	for n := 0; n < steps; n += stepsPerJob {
		s := testSubmission()
		s.ID = fmt.Sprintf("%016x", 3_000_000+n)
		for i := range min(stepsPerJob, steps-n) {
			s.Steps = append(s.Steps, submission.Step{Count: 2, Request: task.Resources{CPU: 3000 + 100*int64(n/stepsPerJob%needs), Memory: 1000},
				Estimate: time.Second, BestEffort: i%3 == 0, Image: fmt.Sprintf("f%d", n/stepsPerJob%bestEffortImages)})
		}
		if err := p.owner.Add(s, nil, p.now); err != nil {
			panic(err)
		}
	}
	return p
}

// BenchmarkPassWithBacklog measures scheduling passes of a full pool beside a backlog, while runs end and others take their room. It reports the
// longest pass and the one that 99 of 100 do not exceed.
func BenchmarkPassWithBacklog(b *testing.B) {
	for _, executors := range []int{300, 604, 1200} {
		for _, steps := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d/%d", executors, steps), func(b *testing.B) {
				p := newBackloggedPool(executors, steps)
				p.now += 3 * time.Second
				var passes []time.Duration
				for i := 0; b.Loop(); i++ {
					p.now += 50 * time.Millisecond
					p.report(i % executors)
					p.owner.placementChanged = true
					began := time.Now()
					p.pass()
					passes = append(passes, time.Since(began))
				}
				slices.Sort(passes)
				b.ReportMetric(float64(passes[len(passes)*99/100].Microseconds())/1000, "p99-ms")
				b.ReportMetric(float64(passes[len(passes)-1].Microseconds())/1000, "max-ms")
			})
		}
	}
}
