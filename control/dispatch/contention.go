package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// latencyWindow is the time over which an executor measures a tail latency. The latency is
	// determined by the worst part of that window, while the processor usage is a mean.
	latencyWindow = 450 * time.Millisecond
	// throttleInterval is the time until the effect of a changed speed limit is reported.
	throttleInterval = 600 * time.Millisecond
	// throttleRetryInterval is the time after which a speed limit is ordered again, since
	// snapshots do not show it and an earlier order may have been executed late.
	throttleRetryInterval = 3 * time.Second
	// interferenceCooldown is how long an executor takes no best-effort task after a
	// latency-critical one has missed its target there.
	interferenceCooldown = 1500 * time.Millisecond
	// interferedLatency is the latency, as a share of the target, that is assumed on an executor
	// where a latency-critical task is over its target already.
	interferedLatency = 4.0
	// minCountedSpeed is the least speed in percent with which a throttled run counts, so that not
	// too many gather on one executor.
	minCountedSpeed = 30
	// fullSpeed is the speed limit of a run that has just started, in percent.
	fullSpeed = 100
)

// imageUsages converts shares of an executor by image to a list.
func imageUsages(usage map[string]float64) []contention.ImageUsage {
	list := make([]contention.ImageUsage, 0, len(usage))
	for image, share := range usage {
		if share > 0 {
			list = append(list, contention.ImageUsage{Image: image, Share: share})
		}
	}
	return list
}

// share returns processors in thousandths as a share of the node's capacity.
func (n *node) share(cpu int64) float64 {
	return float64(cpu) / float64(max(1, n.placementNode.Capacity.CPU))
}

// taskLatency returns the latency of a latency-critical task from a snapshot.
func (t *taskEntry) taskLatency(r *executor.Run) contention.TaskLatency {
	return contention.TaskLatency{Task: r.Task, Group: t.job.sub.ID + "." + strconv.Itoa(t.id.Step), Image: t.step().Image,
		Latency: time.Duration(r.Load) * time.Millisecond, Target: t.step().LatencyTarget}
}

// observeContention feeds the latencies of one snapshot to the contention model and updates the
// speed limits on the node.
func (o *Owner) observeContention(n *node, running []executor.Run, now time.Duration) {
	usage := make(map[string]float64)
	var latencies []contention.TaskLatency
	var reporting []*taskEntry
	for i := range running {
		t := o.find(running[i].Task)
		switch {
		case t == nil || t.node != n:
		case t.step().BestEffort:
			usage[t.step().Image] += n.share(int64(running[i].Load))
		case t.step().LatencyCritical() && running[i].ProgressPercent >= 100:
			latencies = append(latencies, t.taskLatency(&running[i]))
			reporting = append(reporting, t)
		}
	}
	used := imageUsages(usage)
	o.contention.Observe(n.info.ID, latencies, imageUsages(n.peakUsage(usage, now)), now)
	n.updateBaseLatencies(latencies)
	n.updateOverTarget(contention.AnyOverTarget(latencies), len(used) > 0, now)
	if o.bounds.Features.PoolPlan {
		n.excessUtilization = o.contention.ExcessUtilization(latencies)
	}
	for i, t := range reporting {
		o.logLatency(t, &latencies[i], now)
	}
	o.updateSpeedLimits(n, latencies, now)
}

// logLatency logs when the reported latency of a task reaches its target, and when it is below it again.
func (o *Owner) logLatency(t *taskEntry, l *contention.TaskLatency, now time.Duration) {
	if l.Latency < l.Target {
		if t.latencyOverSince != 0 {
			events.LatencyInTarget.Log(o.log).Str("task", l.Task).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
				Dur("latency", l.Latency).Dur("target", l.Target).Dur("over", now-t.latencyOverSince).Send()
		}
		t.latencyInTargetAt, t.latencyOverSince = now, 0
		return
	}
	if t.latencyOverSince != 0 {
		return
	}
	t.latencyOverSince = now
	events.LatencyOverTarget.Log(o.log).Str("task", l.Task).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
		Dur("latency", l.Latency).Dur("target", l.Target).Dur("within_before", now-t.latencyInTargetAt).
		Float64("base_ms", l.Base/float64(time.Millisecond)).Bool("base_known", l.BaseKnown).Interface("limits", t.node.speedLimits).Send()
}

// usageSample holds the processor shares of one snapshot, by image.
type usageSample struct {
	at     time.Duration
	shares map[string]float64
}

// peakUsage adds the shares of a snapshot and returns the highest of each image over the last
// latencyWindow.
func (n *node) peakUsage(shares map[string]float64, now time.Duration) map[string]float64 {
	n.usageSamples = slices.DeleteFunc(n.usageSamples, func(u usageSample) bool { return now-u.at > latencyWindow })
	highest := maps.Clone(shares)
	for _, u := range n.usageSamples {
		for image, share := range u.shares {
			highest[image] = max(highest[image], share)
		}
	}
	n.usageSamples = append(n.usageSamples, usageSample{now, shares})
	return highest
}

// updateOverTarget records whether a latency-critical task on the node is over its target, and
// whether best-effort tasks ran beside it when that began.
func (n *node) updateOverTarget(overTarget, bestEffort bool, now time.Duration) {
	switch {
	case !overTarget:
		n.overTargetSince = 0
	case n.overTargetSince == 0:
		n.overTargetSince, n.overByOwnLoad = now, !bestEffort
	}
	if overTarget && bestEffort {
		n.interferedAt = now
	}
}

// overTargetFor returns for how long a latency-critical task on the node has continuously been
// over its target.
func (n *node) overTargetFor(now time.Duration) time.Duration {
	if n.overTargetSince == 0 {
		return 0
	}
	return now - n.overTargetSince
}

// updateSpeedLimits orders the speed limits at which the latency-critical tasks on the node keep
// their targets.
func (o *Owner) updateSpeedLimits(n *node, latencies []contention.TaskLatency, now time.Duration) {
	full := n.bestEffortUsage()
	n.pauseAt = o.contention.PauseAt(latencies)
	if len(full) == 0 || len(latencies) == 0 && !n.throttled() {
		clear(n.speedLimits)
		return
	}
	pause := n.pauseDue(now)
	if !pause && now-n.throttledAt < throttleInterval {
		return
	}
	n.speedLimits = o.contention.SpeedLimits(latencies, full, n.speedLimits, now)
	o.orderSpeedLimits(n, now)
}

// PauseOverdue pauses the best-effort work on the nodes whose time for it has come since their last
// report. It needs no commit, so that it is called while one is in progress too.
func (o *Owner) PauseOverdue(now time.Duration) {
	for _, n := range o.executors {
		if n.gone || !n.connected || !n.pauseDue(now) {
			continue
		}
		n.speedLimits = make(map[string]int, len(n.bestEffort))
		for _, f := range n.bestEffort {
			n.speedLimits[f.image] = 0
		}
		o.orderSpeedLimits(n, now)
	}
}

// pauseDue reports whether all best-effort work on the node has to be paused.
func (n *node) pauseDue(now time.Duration) bool { return n.pauseAt != 0 && now >= n.pauseAt }

// orderSpeedLimits orders the speed limits of a node for its best-effort runs.
func (o *Owner) orderSpeedLimits(n *node, now time.Duration) {
	for t := range n.tasks {
		if !t.step().BestEffort || t.phase != phaseRunning || t.stopping {
			continue
		}
		want := n.speedLimits[t.step().Image]
		if t.speedLimit != want {
			n.throttledAt = now
			o.throttle(t, want, now)
		} else if t.throttledAt != 0 && now-t.throttledAt > throttleRetryInterval {
			o.throttle(t, want, now)
		}
	}
}

// throttle orders a speed limit for a run.
func (o *Owner) throttle(t *taskEntry, percent int, now time.Duration) {
	t.node.placementNode.BestEffortCPU += t.bestEffortCPU(percent) - t.bestEffortCPU(t.speedLimit)
	t.speedLimit, t.throttledAt, t.fullRun = percent, now, false
	b := o.outboxFor(t.node)
	b.throttles = append(b.throttles, wire.ThrottleOrder{Task: t.name(), Run: t.rec.Run, Percent: percent})
	b.pending = true
	events.TaskThrottled.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
		Int("percent", percent).Str("image", t.step().Image).Send()
}

// throttled reports whether a run on the node works below full speed.
func (n *node) throttled() bool {
	for t := range n.tasks {
		if t.step().BestEffort && t.speedLimit != fullSpeed {
			return true
		}
	}
	return false
}

// cheapToMove reports whether a run is throttled and can be stopped at little loss.
func (t *taskEntry) cheapToMove(now time.Duration) bool {
	if !t.step().BestEffort || t.step().LongRunning || t.phase != phaseRunning || t.stopping || t.speedLimit > maxMoveSpeed || t.speedLimit < 0 || now-t.changedAt < settleTime {
		return false
	}
	return t.step().Checkpoints || t.progressPercent <= maxMovePercent
}

const (
	// maxMoveSpeed is the speed limit in percent up to which a run may be moved.
	maxMoveSpeed = 30
	// maxMovePercent is the progress up to which a run without checkpoints may be stopped.
	maxMovePercent = 10
)

// negligibleUtilization is an added utilization that is too small to reject a placement.
const negligibleUtilization = 0.025
