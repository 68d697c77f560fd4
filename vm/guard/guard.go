// Package guard protects the service on a VM from the batch tasks beside it. The
// agent calls Observe every 200 ms with the latencies measured since the last call
// and applies the returned actions. The package performs no I/O and reads no clock.
//
// Above the latency target the guard throttles batch tasks in steps (1, 0.5, 0.25)
// and then checkpoints the most harmful one. It restores one step after the tail has
// stayed below 0.8 of the target. A restore that makes the tail exceed the target
// again doubles the wait before the next one, so that the guard does not oscillate.
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
	// restoreExpected is the highest tail expected after a restore of known effect.
	restoreExpected = 0.95
	// restoreShare is the part of the throttled tasks' effect that one restore gives back.
	restoreShare = 0.5
	// severeAbove throttles every batch task at once instead of the most harmful ones.
	severeAbove = 1.5
	// improvement is the relative fall of the tail that shows that a checkpoint helped.
	improvement = 0.05
)

// Waiting times.
const (
	// Settle lets the effect of a step show in the window before the next step.
	settle = time.Second
	// severeSettle is the same for a tail far above the target.
	severeSettle = 2 * Interval
	// restoreWait is the time below restoreBelow before one step is restored.
	restoreWait = 5 * time.Second
	// maxRestoreWait bounds the wait after repeated relapses.
	maxRestoreWait = 40 * time.Second
	// relapseWithin is the time after a restore in which a new step counts as caused by it.
	relapseWithin = 10 * time.Second
	// patienceBase and patienceRange give the time at the lowest speed before a checkpoint:
	// base at tail weight 1, base + range at tail weight 0.
	patienceBase  = 4 * time.Second
	patienceRange = 8 * time.Second
)

// Tolerated effect of the batch tasks on a service above its target: the base at tail
// weight 1, base and range at tail weight 0. A smaller effect is not what makes the service
// slow, and throttling would cost throughput for nothing.
const (
	toleratedBase  = 0.02
	toleratedRange = 0.04
)

// minEffect is the learnt effect of a task, and minHarmBase (with minHarmRange at tail weight 0)
// its effect for each processor, below which throttling it is not worth the throughput.
// Far above the target, which is rare and short, severeEffect is enough.
const (
	minEffect    = 0.01
	severeEffect = 0.002
	minHarmBase  = 0.006
	minHarmRange = 0.006
)

// minRelief is the learnt effect of a task at the lowest speed that is worth a checkpoint.
const minRelief = 0.08

// maxUseless is the number of checkpoints without improvement after which the guard
// stops, since the cause of the slow service is not on this VM.
const maxUseless = 2

// minSamples is the number of latencies below which a p99 is not acted on.
const minSamples = 50

// steps are the allowed speeds, fastest first.
var steps = [...]float64{1, 0.5, 0.25}

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
	// measured use when that is higher. Measured use alone falls with each step and lags.
	CPU int64
	// Harm is the learnt slowdown of the service for each processor used; 0 when unknown.
	Harm float64
}

// Samples is what the agent measured since the last call.
type Samples struct {
	// Latencies holds the service time of every request that ended, and the age of each
	// request in progress that is older than the target, so that a stuck service is seen.
	Latencies []time.Duration
	// Tasks lists the batch tasks that run on the VM. Latency-critical tasks are left out.
	Tasks []Task
}

// ActionKind selects what an action does.
type ActionKind uint8

// Action kinds.
const (
	// Throttle sets the speed of the task to Fraction.
	Throttle ActionKind = iota
	// Checkpoint stores the task's state, ends the attempt and reports it to the owner as evicted.
	Checkpoint
)

// String returns the log form of the kind.
func (k ActionKind) String() string { return [...]string{"throttle", "checkpoint"}[k] }

// Action is one step for one task.
type Action struct {
	Kind ActionKind
	Task string
	// Fraction is the speed to set, 0 < Fraction <= 1.
	Fraction float64
}

// Guard holds the state of one VM. It is not safe for concurrent use.
type Guard struct {
	cfg    Config
	window window
	// level is the index into steps of each throttled task; tasks at full speed are absent.
	level map[string]int

	lastStep    time.Duration
	lastRestore time.Duration
	calmSince   time.Duration
	floorSince  time.Duration
	wait        time.Duration
	tailBefore  float64
	useless     int
}

// never marks an event that has not happened.
const never = time.Duration(-1 << 62)

// New returns a guard that has throttled nothing.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, level: make(map[string]int), lastStep: never, lastRestore: never, calmSince: never,
		floorSince: never, wait: restoreWait}
}

// Tail returns the p99 of the window divided by the target, and 0 when there are too few samples.
func (g *Guard) Tail() float64 {
	if g.window.total < minSamples {
		return 0
	}
	return g.window.quantile(0.99)
}

// Fraction returns the speed that the guard has set for the task.
func (g *Guard) Fraction(id string) float64 { return steps[g.level[id]] }

// Observe records samples taken up to now and returns the actions to apply. A task
// that starts while others are throttled keeps full speed until the next step.
func (g *Guard) Observe(s Samples, now time.Duration) []Action {
	g.window.add(s.Latencies, g.cfg.Target)
	g.forget(s.Tasks)
	tail := g.Tail()
	switch {
	case g.window.total == 0 || tail > 0 && g.calm(s.Tasks, tail):
		g.floorSince, g.useless = never, 0
		return g.restore(s.Tasks, now)
	case tail > throttleAbove:
		g.calmSince = never
		return g.escalate(s.Tasks, tail, now)
	}
	g.calmSince = never
	return nil
}

// forget drops the state of tasks that left the VM.
func (g *Guard) forget(tasks []Task) {
	if len(g.level) == 0 {
		return
	}
	present := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		present[t.ID] = true
	}
	for id := range g.level {
		if !present[id] {
			delete(g.level, id)
		}
	}
}

// harmful reports whether throttling the task is worth its throughput. A task of unknown
// effect is.
func (g *Guard) harmful(t Task, tail float64) bool {
	if t.Harm <= 0 {
		return true
	}
	if tail > severeAbove {
		return g.weight(t) >= severeEffect
	}
	return g.weight(t) >= minEffect && t.Harm >= minHarmBase+minHarmRange*(1-g.cfg.TailWeight)
}

// worthwhile reports whether the expected effect of all tasks is above what is left
// alone. Tasks of unknown effect are always acted on.
func (g *Guard) worthwhile(tasks []Task, tail float64) bool {
	sum := 0.0
	for _, t := range tasks {
		if t.Harm <= 0 {
			return true
		}
		sum += g.weight(t)
	}
	allowed := toleratedBase + toleratedRange*(1-g.cfg.TailWeight)
	if tail > severeAbove {
		allowed = severeEffect
	}
	return sum > allowed
}

// weight is the expected effect of the task on the service at its current speed.
func (g *Guard) weight(t Task) float64 {
	harm := t.Harm
	if harm <= 0 {
		// Without a learnt value all classes count alike, by the processors that they use.
		harm = defaultHarm
	}
	return harm * float64(t.CPU) / 1000 * g.Fraction(t.ID)
}

// defaultHarm ranks a class of unknown effect between quiet and noisy ones.
const defaultHarm = 0.02

// byWeight returns the tasks that match keep, the most harmful first.
func (g *Guard) byWeight(tasks []Task, keep func(Task) bool) []Task {
	var out []Task
	for _, t := range tasks {
		if keep(t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Task) int {
		return cmp.Or(cmp.Compare(g.weight(b), g.weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (g *Guard) escalate(tasks []Task, tail float64, now time.Duration) []Action {
	wait := settle
	if tail > severeAbove {
		wait = severeSettle
	}
	if now-g.lastStep < wait || !g.worthwhile(tasks, tail) {
		return nil
	}
	slower := g.byWeight(tasks, func(t Task) bool {
		return g.level[t.ID] < len(steps)-1 && g.harmful(t, tail)
	})
	if len(slower) == 0 {
		return g.checkpoint(tasks, tail, now)
	}
	if now-g.lastRestore < relapseWithin {
		g.wait = min(2*g.wait, maxRestoreWait)
		g.lastRestore = never
	}
	share := 0.25 + 0.5*g.cfg.TailWeight
	if tail > severeAbove {
		share = 1
	}
	actions := g.shift(slower, share, 1)
	g.stepped(now)
	return actions
}

// shift moves the tasks that make up the share of the total weight by delta steps,
// in the given order, and at least one task.
func (g *Guard) shift(tasks []Task, share float64, delta int) []Action {
	total := 0.0
	for _, t := range tasks {
		total += g.weight(t)
	}
	var actions []Action
	sum := 0.0
	for _, t := range tasks {
		if len(actions) > 0 && sum >= share*total {
			break
		}
		sum += g.weight(t)
		level := g.level[t.ID] + delta
		if level == 0 {
			delete(g.level, t.ID)
		} else {
			g.level[t.ID] = level
		}
		actions = append(actions, Action{Kind: Throttle, Task: t.ID, Fraction: steps[level]})
	}
	return actions
}

// stepped drops the samples from before a step, since they do not show its effect.
func (g *Guard) stepped(now time.Duration) {
	g.lastStep = now
	g.window.reset()
}

// checkpoint removes the most harmful task when the lowest speed has not helped for long enough.
func (g *Guard) checkpoint(tasks []Task, tail float64, now time.Duration) []Action {
	if len(tasks) == 0 {
		return nil
	}
	if g.floorSince == never {
		g.floorSince, g.tailBefore = now, tail
		return nil
	}
	patience := patienceBase + time.Duration((1-g.cfg.TailWeight)*float64(patienceRange))
	if now-g.floorSince < patience || g.useless >= maxUseless {
		return nil
	}
	worst := g.byWeight(tasks, func(Task) bool { return true })[0]
	if worst.Harm > 0 && g.weight(worst) < minRelief {
		return nil
	}
	if tail > g.tailBefore*(1-improvement) {
		g.useless++
	} else {
		g.useless = 0
	}
	// The task keeps its speed until it has left the VM.
	g.floorSince, g.tailBefore = now, tail
	g.stepped(now)
	return []Action{{Kind: Checkpoint, Task: worst.ID}}
}

// calm reports whether there is room to restore a step: the tail is well below the target,
// or is expected to stay below it by the learnt effects of the tasks to be restored.
func (g *Guard) calm(tasks []Task, tail float64) bool {
	if tail < restoreBelow {
		return true
	}
	added := 0.0
	for _, t := range tasks {
		if t.Harm <= 0 {
			return false
		}
		if l := g.level[t.ID]; l > 0 {
			added += restoreShare * g.weight(t) * (steps[l-1]/steps[l] - 1)
		}
	}
	return tail*(1+added) < restoreExpected
}

// restore speeds up the least harmful throttled tasks by one step.
func (g *Guard) restore(tasks []Task, now time.Duration) []Action {
	if g.calmSince == never {
		g.calmSince = now
	}
	if now-max(g.calmSince, g.lastRestore) < g.wait {
		return nil
	}
	throttled := g.byWeight(tasks, func(t Task) bool { return g.level[t.ID] > 0 })
	if len(throttled) == 0 {
		g.wait = restoreWait
		return nil
	}
	slices.Reverse(throttled)
	if now-g.lastRestore > 2*relapseWithin && g.lastRestore != never {
		g.wait = max(g.wait/2, restoreWait)
	}
	g.lastRestore = now
	return g.shift(throttled, restoreShare, -1)
}
