package dispatch

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/relocation"
)

const (
	// relocationDelay is how long a latency-critical task has been over its target before best-effort runs beside it move:
	// the time between two reports, so that two of them agree.
	relocationDelay = 350 * time.Millisecond
	// relocationInterval is the time until the effect of a move on an executor is reported.
	relocationInterval = 700 * time.Millisecond
	// slackFactor is the multiple of its remaining path that a step has until its soft deadline while it can wait for an executor
	// with more margin. The part above 1 is for estimates that are too short, and for the starts that are left.
	slackFactor = 1.25
)

// latencyBound returns the highest latency, as a share of the target, to which a best-effort task of the step may raise a
// latency-critical one. A step with slack leaves room for changes of load, since it can wait.
func (o *Owner) latencyBound(w *waitingStep, now time.Duration) float64 {
	step := &w.job.sub.Steps[w.key.step]
	if !o.bounds.Features.PoolPlan || !step.BestEffort || step.LongRunning {
		// A long-running step has no deadline, and would wait for ever.
		return placement.MaxExpectedLatency
	}
	key := w.orderingKey()
	if float64(key.SoftDeadline-now) > slackFactor*float64(key.RemainingPath) {
		return placement.RelaxedExpectedLatency
	}
	return placement.MaxExpectedLatency
}

// relocateRuns moves best-effort runs with checkpoints off a node on which they keep a latency-critical task over its
// target.
func (o *Owner) relocateRuns(n *node, now time.Duration) {
	if !o.bounds.Features.PoolPlan || o.bounds.Restore == 0 || n.overByOwnLoad || n.overTargetFor(now) < relocationDelay || now-n.relocatedAt < relocationInterval {
		return
	}
	cost := moveCost + o.bounds.Restore
	var runs []relocation.Run
	var tasks []*taskEntry
	for t := range n.tasks {
		if !t.relocatable() || !o.hasBetterNode(t, math.Inf(1), now) {
			continue
		}
		runs = append(runs, relocation.Run{Utilization: o.addedUtilization(t), Remaining: o.remainingTime(t), Age: now - t.changedAt, Moves: t.relocations})
		tasks = append(tasks, t)
	}
	for _, i := range relocation.Choose(runs, n.excessUtilization, cost) {
		t := tasks[i]
		n.relocatedAt = now
		t.relocations++
		o.counters.Relocated++
		events.RunRelocated.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).Str("image", t.step().Image).
			Float64("added_utilization", runs[i].Utilization).Float64("excess_utilization", n.excessUtilization).
			Dur("over", n.overTargetFor(now)).Int("percent", t.progressPercent).Send()
		o.stop(t, now)
	}
}

// relocatable reports whether a run can be stopped and resumed elsewhere without losing its work.
func (t *taskEntry) relocatable() bool {
	s := t.step()
	return s.BestEffort && s.Checkpoints && !s.Gang && !s.LongRunning && t.phase == phaseRunning && !t.stopping && !t.restoring
}

// addedUtilization returns what a best-effort run adds to the utilization of the latency-critical image on its node that it
// slows most.
func (o *Owner) addedUtilization(t *taskEntry) float64 {
	worst := 0.0
	for i := range t.node.latencyCritical {
		p := contention.Pair{LatencyCritical: t.node.latencyCritical[i].image, BestEffort: t.step().Image}
		worst = max(worst, o.contention.Interference(p))
	}
	return worst * t.node.share(t.step().Request.CPU)
}

// remainingTime returns the expected time to the end of a run.
func (o *Owner) remainingTime(t *taskEntry) time.Duration {
	expected, ok := o.expectedDuration(t)
	if !ok {
		expected = t.step().Estimate
	}
	return expected * time.Duration(100-min(t.progressPercent, 100)) / 100
}
