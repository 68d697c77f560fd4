package vmagent

import (
	"fmt"
	"time"

	"github.com/chicorystand/chicorystand/executor"
)

const (
	// paceDownAt is the share of its latency target from which a task that serves is protected.
	paceDownAt = 0.85
	// paceUpBelow is the share of the target below which the others are let go.
	paceUpBelow = 0.55
	// paceUpAfter is how long all latencies must be low before the pace is raised a step.
	paceUpAfter = 1500 * time.Millisecond
	// loadWindow is the time that a reported latency covers.
	loadWindow = 500 * time.Millisecond
)

// paceSteps are the shares at which tasks that fill work, in percent.
var paceSteps = []int{100, 50, 20, 0}

// paceChange is an order to a run.
type paceChange struct {
	runKey
	percent int
	cause   string
}

// pacer holds tasks that fill back while a task that serves misses its latency
// target on the same executor. It reacts to the latency that the executor
// reports, which covers the last half second.
type pacer struct {
	step      int
	changedAt time.Duration
	lowSince  time.Duration
	// percents are the shares that were confirmed. Another run works at 100, unless
	// a process before this one has started it.
	percents map[runKey]int
}

func newPacer() pacer { return pacer{percents: make(map[runKey]int)} }

// next returns the changes of pace that follow from a list of runs.
func (p *pacer) next(running []executor.Run, known map[runKey]runInfo, now, delay time.Duration) []paceChange {
	worst, cause := 0.0, ""
	fillers := 0
	present := make(map[runKey]struct{}, len(running))
	for i := range running {
		r := &running[i]
		k := runKey{r.Task, r.Number}
		present[k] = struct{}{}
		info := known[k]
		if info.fills {
			fillers++
		}
		if info.target <= 0 {
			continue
		}
		if share := float64(r.Load) / float64(info.target.Milliseconds()); share > worst {
			worst, cause = share, fmt.Sprintf("%s at %d of %d ms", r.Task, r.Load, info.target.Milliseconds())
		}
	}
	for k := range p.percents {
		if _, ok := present[k]; !ok {
			delete(p.percents, k)
		}
	}
	if fillers == 0 {
		p.step, p.lowSince = 0, 0
		return nil
	}
	p.adjust(worst, now, delay)
	return p.changes(running, known, cause)
}

// adjust moves the pace by one step when the latencies ask for it.
func (p *pacer) adjust(worst float64, now, delay time.Duration) {
	if worst >= paceUpBelow {
		p.lowSince = 0
	} else if p.lowSince == 0 {
		p.lowSince = now
	}
	settled := now-p.changedAt >= delay+loadWindow
	switch {
	case worst >= paceDownAt && settled && p.step < len(paceSteps)-1:
		p.step++
		if worst >= 1 {
			p.step = len(paceSteps) - 1
		}
		p.changedAt = now
	case p.step > 0 && p.lowSince != 0 && now-p.lowSince >= paceUpAfter && settled:
		p.step--
		p.changedAt, p.lowSince = now, now
	}
}

func (p *pacer) changes(running []executor.Run, known map[runKey]runInfo, cause string) []paceChange {
	var out []paceChange
	want := paceSteps[p.step]
	for i := range running {
		k := runKey{running[i].Task, running[i].Number}
		if !known[k].fills {
			continue
		}
		have, ok := p.percents[k]
		if !ok && !known[k].adopted {
			have, ok = 100, true
		}
		if !ok || have != want {
			out = append(out, paceChange{k, want, cause})
		}
	}
	return out
}

// sent takes note of the answer to a change.
func (p *pacer) sent(c paceChange, ok bool) {
	if ok {
		p.percents[c.runKey] = c.percent
	}
}
