package backlog

import (
	"math"
	"time"
)

const (
	// steps is the number of points in time at which runs can end in a profile, firstStep the first one after now. The time
	// from one to the next grows by stepGrowth.
	steps      = 72
	firstStep  = 100 * time.Millisecond
	stepGrowth = 1.14
)

// stepTimes are the points in time of a profile.
var stepTimes = func() (t [steps]time.Duration) {
	at := float64(firstStep)
	for i := 1; i < steps; i++ {
		t[i] = time.Duration(at)
		at *= stepGrowth
	}
	return t
}()

// stepAt returns the last point in time that is not after t.
func stepAt(t time.Duration) int {
	if t < firstStep {
		return 0
	}
	i := 1 + int(math.Log(float64(t)/float64(firstStep))/math.Log(stepGrowth))
	return min(i, steps-1)
}

// profile is how many processors, in thousandths, become free at each point in time.
type profile [steps]int64

// reach returns when the processors that are free and become free have done the work, and one is free. kept processors
// are not available.
func (p *profile) reach(work float64, kept int64) time.Duration {
	available := -kept
	left := work * 1000
	for i := range steps {
		available += p[i]
		if available <= 0 {
			continue
		}
		needed := left / float64(available)
		if i == steps-1 || needed <= (stepTimes[i+1]-stepTimes[i]).Seconds() {
			return min(MaxDelay, stepTimes[i]+seconds(needed))
		}
		left -= float64(available) * (stepTimes[i+1] - stepTimes[i]).Seconds()
	}
	return MaxDelay
}

// capacity is what the work of one priority can get.
type capacity struct {
	// cpu is the total without permanent runs, free the largest free part of an executor that no task of smallestTask or more
	// can use, both in thousandths of a processor.
	cpu, free int64
	// expected and least are when capacity becomes free. In expected, processors that higher priorities use stay theirs; in
	// least, all runs end as early as they can.
	expected, least profile
}

func capacityOf(in *Input, k viewKey, smallestTask int64) *capacity {
	c := new(capacity)
	early := earliestEnd(in, k)
	for i := range in.Nodes {
		n := &in.Nodes[i]
		if n.Service != k.service {
			continue
		}
		free := n.CPU
		c.cpu += n.CPU
		for j := range n.Runs {
			free -= c.countRun(&n.Runs[j], k, early)
		}
		// Best-effort runs may use more than the capacity. The lower bound counts their ends as gains all the same.
		c.expected[0] += free
		c.least[0] += max(0, free)
		if n.Open && free < smallestTask {
			c.free = max(c.free, free)
		}
	}
	return c
}

// countRun enters the end of a run and returns what it holds until then.
func (c *capacity) countRun(r *Run, k viewKey, early float64) int64 {
	held := r.CPU
	if k.bestEffort {
		held = r.IdleCPU
	}
	if !k.bestEffort && r.Preemptible && r.Priority > k.priority {
		return 0
	}
	if r.Permanent {
		c.cpu -= held
		return held
	}
	accuracy, share := r.Accuracy, early
	if accuracy == 0 {
		accuracy, share = 1, leastShare
	}
	remaining := float64(r.Remaining) * accuracy
	if r.Priority >= k.priority {
		c.expected[stepAt(time.Duration(remaining))] += held
	}
	c.least[stepAt(time.Duration(remaining*share))] += held
	return held
}

// earliestEnd returns the least share of their expected remaining time after which the runs of a pool end.
func earliestEnd(in *Input, k viewKey) float64 {
	runs := 0
	for i := range in.Nodes {
		if in.Nodes[i].Service == k.service {
			runs += len(in.Nodes[i].Runs)
		}
	}
	return reduction(float64(max(1, runs)))
}
