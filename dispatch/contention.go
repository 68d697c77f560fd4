package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/contention"
	"github.com/chicorystand/chicorystand/executor"
	"github.com/chicorystand/chicorystand/submission"
)

// maxExpectedLatency is the share of its target up to which a task that serves
// may be expected to rise because of a task that is placed beside it. It leaves
// room for the error of what was learnt.
const maxExpectedLatency = 0.7

// learnContention takes in the latencies of one list.
func (o *Owner) learnContention(running []executor.Run) {
	usage := make(map[string]float64)
	for i := range running {
		if t := o.find(running[i].Task); t != nil && t.step().Fills {
			usage[t.step().Image] += float64(running[i].Load) / 1000
		}
	}
	fillers := make([]contention.Filler, 0, len(usage))
	for image, processors := range usage {
		if processors > 0 {
			fillers = append(fillers, contention.Filler{Image: image, Processors: processors})
		}
	}
	for i := range running {
		t := o.find(running[i].Task)
		if t == nil || !t.step().Serves() || running[i].Percent < 100 {
			continue
		}
		o.contention.Observe(contention.Sample{Image: t.step().Image, Latency: time.Duration(running[i].Load) * time.Millisecond,
			Target: t.step().LatencyTarget, Fillers: fillers})
	}
}

// fillers returns the requested processors of the tasks that fill on a node, by image.
func (n *node) fillers() map[string]float64 {
	out := make(map[string]float64)
	for t := range n.tasks {
		if t.step().Fills {
			out[t.step().Image] += float64(t.step().Request.CPU) / 1000
		}
	}
	return out
}

// harms reports whether a task of the step would raise the latency of a task
// that serves too far, its own included.
func (o *Owner) harms(step *submission.Step, n *node) bool {
	if !step.Fills && !step.Serves() {
		return false
	}
	usage := n.fillers()
	if step.Fills {
		usage[step.Image] += float64(step.Request.CPU) / 1000
	}
	if len(usage) == 0 {
		return false
	}
	fillers := make([]contention.Filler, 0, len(usage))
	for image, processors := range usage {
		fillers = append(fillers, contention.Filler{Image: image, Processors: processors})
	}
	if step.Serves() && o.contention.Expected(step.Image, step.LatencyTarget, fillers) > maxExpectedLatency {
		return true
	}
	for t := range n.tasks {
		if s := t.step(); s.Serves() && o.contention.Expected(s.Image, s.LatencyTarget, fillers) > maxExpectedLatency {
			return true
		}
	}
	return false
}
