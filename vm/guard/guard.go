// Package guard protects the tail latency of the service on a VM from co-located batch
// tasks. The agent calls Observe every 200 ms with the latencies measured since the last
// call and applies the returned actions. The package performs no I/O and reads no clock.
//
// While the p99 is above its target, the guard throttles batch tasks in steps (1, 0.5,
// 0.25 of full speed) and then checkpoints the one with the largest effect. It restores
// one step after the tail has stayed below 0.8 of the target. A restore after which the
// tail exceeds the target again doubles the delay of the next one, to avoid oscillation.
package guard

import (
	"cmp"
	"slices"
	"time"
)

// Interval is the time between calls of Observe.
const Interval = 200 * time.Millisecond

// Thresholds, as fractions of the latency target.
const (
	throttleAbove = 1.0
	restoreBelow  = 0.8
	// restoreExpected is the highest expected tail at which tasks of known effect are restored.
	restoreExpected = 0.95
	// restoreShare is the share of the throttled tasks' effect that one restore readmits.
	restoreShare = 0.5
	// severeAbove is the tail above which all batch tasks are throttled together, instead of those
	// with the largest effect.
	severeAbove = 1.5
	// minImprovement is the relative fall of the tail after which a checkpoint counts as effective.
	minImprovement = 0.05
)

// Delays.
const (
	// settleTime is the delay between steps, so that the effect of a step shows in the window.
	settleTime = time.Second
	// severeSettleTime replaces settleTime when the tail is above severeAbove.
	severeSettleTime = 2 * Interval
	// minRestoreDelay is how long the tail must allow a restore before one step is restored.
	minRestoreDelay = 5 * time.Second
	// maxRestoreDelay bounds the delay after repeated relapses.
	maxRestoreDelay = 40 * time.Second
	// relapseWindow is the time after a restore within which a throttling step counts as caused by it.
	relapseWindow = 10 * time.Second
	// checkpointDelayBase and checkpointDelayRange give the time at the lowest speed before a checkpoint:
	// base at tail weight 1, base + range at tail weight 0.
	checkpointDelayBase  = 4 * time.Second
	checkpointDelayRange = 8 * time.Second
)

// Total effect of the batch tasks up to which they are not throttled: the base at tail weight
// 1, base + range at tail weight 0. A smaller effect does not explain a tail above the target,
// so throttling would cost throughput without benefit.
const (
	ignoredEffectBase  = 0.02
	ignoredEffectRange = 0.04
)

// Minima below which throttling a task is not worth the lost throughput: minEffect for its
// effect and minInterferenceBase (plus minInterferenceRange at tail weight 0) for its effect
// per processor. Above severeAbove, which is rare and brief, severeEffect is enough.
const (
	minEffect            = 0.01
	severeEffect         = 0.002
	minInterferenceBase  = 0.006
	minInterferenceRange = 0.006
)

// minCheckpointEffect is the effect at the lowest speed from which a task is checkpointed.
const minCheckpointEffect = 0.08

// maxIneffectiveCheckpoints is the number of checkpoints without improvement after which the
// guard makes no more, since batch tasks on this VM are not the cause of the slow service.
const maxIneffectiveCheckpoints = 2

// minSamples is the number of latencies that a p99 requires.
const minSamples = 50

// speedSteps are the allowed speeds as fractions of full speed, fastest first.
var speedSteps = [...]float64{1, 0.5, 0.25}

// Config configures a guard.
type Config struct {
	// Target is the p99 latency that the service must keep.
	Target time.Duration
	// TailWeight weighs tail latency (1) against batch throughput and evictions (0).
	TailWeight float64
}

// Task is a running batch task on the VM.
type Task struct {
	ID       string
	JobClass string
	// CPU is the use at full speed in thousandths of a processor: the reservation, or the
	// measured use when it is higher. Measured use falls with throttling and is delayed.
	CPU int64
	// Interference is the learnt relative slowdown of the service per processor in use; 0 when unknown.
	Interference float64
}

// Samples holds the agent's measurements since the last call.
type Samples struct {
	// Latencies holds the service time of every request that ended, and the age of each request
	// in progress that is older than the target, so that a service that hangs is noticed.
	Latencies []time.Duration
	// Tasks lists the batch tasks that run on the VM, without latency-critical tasks.
	Tasks []Task
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Action kinds.
const (
	// Throttle sets the speed of the task to Fraction.
	Throttle ActionKind = iota
	// Checkpoint stores the task's state, ends the attempt and reports it to the owner as evicted.
	Checkpoint
)

// String returns the name of the kind as it is logged.
func (k ActionKind) String() string { return [...]string{"throttle", "checkpoint"}[k] }

// Action is one change to one task.
type Action struct {
	Kind ActionKind
	Task string
	// Fraction is the speed to set for Throttle, 0 < Fraction <= 1.
	Fraction float64
}

// Guard holds the state of one VM. It is not safe for concurrent use.
type Guard struct {
	cfg    Config
	window window
	// stepIndex is the index into speedSteps of each throttled task; tasks at full speed are absent.
	stepIndex map[string]int

	lastStep               time.Duration
	lastRestore            time.Duration
	restorableSince        time.Duration
	lowestSpeedSince       time.Duration
	restoreDelay           time.Duration
	tailBefore             float64
	ineffectiveCheckpoints int
}

// never marks an event that has not happened.
const never = time.Duration(-1 << 62)

// New returns a guard with no task throttled.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, stepIndex: make(map[string]int), lastStep: never, lastRestore: never, restorableSince: never,
		lowestSpeedSince: never, restoreDelay: minRestoreDelay}
}

// Tail returns the window's p99 divided by the target, or 0 when there are too few samples.
func (g *Guard) Tail() float64 {
	if g.window.total < minSamples {
		return 0
	}
	return g.window.quantile(0.99)
}

// Fraction returns the speed that the guard has set for the task.
func (g *Guard) Fraction(id string) float64 { return speedSteps[g.stepIndex[id]] }

// Observe records the samples taken up to now and returns the actions to apply. A task that
// starts while others are throttled keeps full speed until the next step.
func (g *Guard) Observe(s Samples, now time.Duration) []Action {
	g.window.add(s.Latencies, g.cfg.Target)
	g.pruneTasks(s.Tasks)
	tail := g.Tail()
	switch {
	case g.window.total == 0 || tail > 0 && g.restorable(s.Tasks, tail):
		g.lowestSpeedSince, g.ineffectiveCheckpoints = never, 0
		return g.restore(s.Tasks, now)
	case tail > throttleAbove:
		g.restorableSince = never
		return g.throttleOrCheckpoint(s.Tasks, tail, now)
	}
	g.restorableSince = never
	return nil
}

// pruneTasks drops the state of tasks that are no longer on the VM.
func (g *Guard) pruneTasks(tasks []Task) {
	if len(g.stepIndex) == 0 {
		return
	}
	present := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		present[t.ID] = true
	}
	for id := range g.stepIndex {
		if !present[id] {
			delete(g.stepIndex, id)
		}
	}
}

// worthThrottling reports whether throttling the task is worth the lost throughput. It is for a
// task of unknown effect.
func (g *Guard) worthThrottling(t Task, tail float64) bool {
	if t.Interference <= 0 {
		return true
	}
	if tail > severeAbove {
		return g.effect(t) >= severeEffect
	}
	return g.effect(t) >= minEffect && t.Interference >= minInterferenceBase+minInterferenceRange*(1-g.cfg.TailWeight)
}

// effectSignificant reports whether the total expected effect of the tasks is large enough to
// act on. Tasks of unknown effect are always acted on.
func (g *Guard) effectSignificant(tasks []Task, tail float64) bool {
	sum := 0.0
	for _, t := range tasks {
		if t.Interference <= 0 {
			return true
		}
		sum += g.effect(t)
	}
	ignored := ignoredEffectBase + ignoredEffectRange*(1-g.cfg.TailWeight)
	if tail > severeAbove {
		ignored = severeEffect
	}
	return sum > ignored
}

// effect returns the expected relative slowdown of the service by the task at its current speed.
func (g *Guard) effect(t Task) float64 {
	interference := t.Interference
	if interference <= 0 {
		// Classes without a learnt value are ranked by the processors that they use.
		interference = defaultInterference
	}
	return interference * float64(t.CPU) / 1000 * g.Fraction(t.ID)
}

// defaultInterference is assumed for a class of unknown effect. It lies between the values of classes
// with little and with much interference.
const defaultInterference = 0.02

// byEffect returns the tasks that match keep, those with the largest effect first.
func (g *Guard) byEffect(tasks []Task, keep func(Task) bool) []Task {
	var out []Task
	for _, t := range tasks {
		if keep(t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Task) int {
		return cmp.Or(cmp.Compare(g.effect(b), g.effect(a)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (g *Guard) throttleOrCheckpoint(tasks []Task, tail float64, now time.Duration) []Action {
	wait := settleTime
	if tail > severeAbove {
		wait = severeSettleTime
	}
	if now-g.lastStep < wait || !g.effectSignificant(tasks, tail) {
		return nil
	}
	candidates := g.byEffect(tasks, func(t Task) bool {
		return g.stepIndex[t.ID] < len(speedSteps)-1 && g.worthThrottling(t, tail)
	})
	if len(candidates) == 0 {
		return g.checkpoint(tasks, tail, now)
	}
	if now-g.lastRestore < relapseWindow {
		g.restoreDelay = min(2*g.restoreDelay, maxRestoreDelay)
		g.lastRestore = never
	}
	share := 0.25 + 0.5*g.cfg.TailWeight
	if tail > severeAbove {
		share = 1
	}
	actions := g.moveSteps(candidates, share, 1)
	g.recordStep(now)
	return actions
}

// moveSteps moves tasks by delta steps, in the given order, until they make up the share of the
// total effect; at least one task.
func (g *Guard) moveSteps(tasks []Task, share float64, delta int) []Action {
	total := 0.0
	for _, t := range tasks {
		total += g.effect(t)
	}
	var actions []Action
	sum := 0.0
	for _, t := range tasks {
		if len(actions) > 0 && sum >= share*total {
			break
		}
		sum += g.effect(t)
		level := g.stepIndex[t.ID] + delta
		if level == 0 {
			delete(g.stepIndex, t.ID)
		} else {
			g.stepIndex[t.ID] = level
		}
		actions = append(actions, Action{Kind: Throttle, Task: t.ID, Fraction: speedSteps[level]})
	}
	return actions
}

// recordStep records a step and drops the samples from before it, since they do not show its effect.
func (g *Guard) recordStep(now time.Duration) {
	g.lastStep = now
	g.window.reset()
}

// checkpoint evicts the task with the largest effect when throttling to the lowest speed has not
// brought the tail below target within the checkpoint delay.
func (g *Guard) checkpoint(tasks []Task, tail float64, now time.Duration) []Action {
	if len(tasks) == 0 {
		return nil
	}
	if g.lowestSpeedSince == never {
		g.lowestSpeedSince, g.tailBefore = now, tail
		return nil
	}
	delay := checkpointDelayBase + time.Duration((1-g.cfg.TailWeight)*float64(checkpointDelayRange))
	if now-g.lowestSpeedSince < delay || g.ineffectiveCheckpoints >= maxIneffectiveCheckpoints {
		return nil
	}
	worst := g.byEffect(tasks, func(Task) bool { return true })[0]
	if worst.Interference > 0 && g.effect(worst) < minCheckpointEffect {
		return nil
	}
	if tail > g.tailBefore*(1-minImprovement) {
		g.ineffectiveCheckpoints++
	} else {
		g.ineffectiveCheckpoints = 0
	}
	// The task stays throttled until it has left the VM.
	g.lowestSpeedSince, g.tailBefore = now, tail
	g.recordStep(now)
	return []Action{{Kind: Checkpoint, Task: worst.ID}}
}

// restorable reports whether a step may be restored: the tail is well below the target, or is
// expected to stay below it, given the learnt effects of the tasks to be restored.
func (g *Guard) restorable(tasks []Task, tail float64) bool {
	if tail < restoreBelow {
		return true
	}
	added := 0.0
	for _, t := range tasks {
		if t.Interference <= 0 {
			return false
		}
		if l := g.stepIndex[t.ID]; l > 0 {
			added += restoreShare * g.effect(t) * (speedSteps[l-1]/speedSteps[l] - 1)
		}
	}
	return tail*(1+added) < restoreExpected
}

// restore speeds up the throttled tasks with the smallest effect by one step.
func (g *Guard) restore(tasks []Task, now time.Duration) []Action {
	if g.restorableSince == never {
		g.restorableSince = now
	}
	if now-max(g.restorableSince, g.lastRestore) < g.restoreDelay {
		return nil
	}
	throttled := g.byEffect(tasks, func(t Task) bool { return g.stepIndex[t.ID] > 0 })
	if len(throttled) == 0 {
		g.restoreDelay = minRestoreDelay
		return nil
	}
	slices.Reverse(throttled)
	if now-g.lastRestore > 2*relapseWindow && g.lastRestore != never {
		g.restoreDelay = max(g.restoreDelay/2, minRestoreDelay)
	}
	g.lastRestore = now
	return g.moveSteps(throttled, restoreShare, -1)
}
