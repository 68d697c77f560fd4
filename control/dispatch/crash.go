package dispatch

import (
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/blame"
	"github.com/chicorystand/chicorystand/control/submission"
)

const (
	// maxHeldShare is the share of the executors that may be held for suspected tasks at a time.
	maxHeldShare = 0.5
	// startGap is the time between the last start of another task on an executor and that of a suspected
	// one, so that a crash is due to only one of them.
	startGap = 250 * time.Millisecond
	// maxSilence is the time without a sign of life after which an executor may have crashed before a
	// start reached it. Snapshots come at least every second.
	maxSilence = time.Second
	// freshSilence bounds the time from a sign of life of an executor to the start of a suspected or long-running task.
	freshSilence = 200 * time.Millisecond
	// distrustTime is how long a VM whose executor has crashed without a single suspect may be the cause
	// itself, for example one whose executor goes down and up.
	distrustTime = 6 * time.Second
	// massShare is the share of the executors that crash within massWindow, massCrashes at least, from which
	// the cause may be outside the tasks, such as a loss of power.
	massShare   = 0.2
	massCrashes = 4
	massWindow  = time.Second
	// crashBackoff is the time between the start of a long-running task that crashes its executors and the next
	// one. It doubles with each attributed crash from blame.MaxCrashes on, up to maxCrashBackoff: each crash
	// takes an executor for about three seconds, and a long-running task may be without a run for six.
	crashBackoff    = time.Second
	maxCrashBackoff = 4 * time.Second
)

// crash is the last crash of an executor on a VM.
type crash struct {
	at time.Duration
	// explained is set when it is attributed to a single task.
	explained bool
}

// trusted reports whether a crash on the node's VM would be due to a task.
func (o *Owner) trusted(n *node, now time.Duration) bool {
	last, ok := o.crashes[n.agent]
	return !ok || last.explained || now-last.at >= distrustTime
}

// suspected reports whether a crash of an executor is attributed to the task, which then starts alone.
func (t *taskEntry) suspected() bool { return t.rec.Crashes > 0 }

// received reports whether the executor, if it has crashed, may have got the start of the run before.
func (t *taskEntry) received() bool {
	if t.phase == phaseStartSent {
		return t.firstOrderedAt != 0 && t.firstOrderedAt-t.node.aliveAt <= maxSilence
	}
	return t.phase != phaseCommitPending
}

// age returns the time from the start of the run to the last sign of life of its executor, 0 for one whose
// start is not confirmed; known is false for a run that a previous owner started.
func (t *taskEntry) age() (age time.Duration, known bool) {
	switch {
	case t.phase == phaseStartSent:
		return 0, true
	case t.phase == phaseRunning && t.startedAt != 0:
		return max(0, t.node.aliveAt-t.startedAt), true
	}
	return 0, false
}

// mayOrder reports whether the start of the run may be ordered now. That of a suspected task keeps a distance
// to the start before it, and follows a sign of life, so that a crash is due to that task. That of a long-running task follows a sign
// of life as long as one is to be expected, since it may have to wait for long if its executor is silent.
func (t *taskEntry) mayOrder(now time.Duration) bool {
	n := t.node
	switch {
	case t.step().Gang || t.firstOrderedAt != 0:
		return true
	case t.suspected():
		return (n.lastStartAt == 0 || now-n.lastStartAt >= startGap) && now-n.aliveAt <= freshSilence
	}
	return !t.step().LongRunning || now-n.aliveAt <= freshSilence || now-t.changedAt > maxSilence
}

// attributeCrash records the crash of an executor with the tasks to which it is attributed, and gives up those
// that have crashed too many. Long-running tasks are restarted however they end, so that their starts are only
// delayed.
func (o *Owner) attributeCrash(n *node, now time.Duration) {
	var tasks []*taskEntry
	var runs []blame.Run
	for t := range n.tasks {
		if !t.received() || t.rec.Executor != n.info.Incarnation {
			// A run that was meant for an earlier incarnation was only to be stopped here.
			continue
		}
		age, known := t.age()
		tasks = append(tasks, t)
		runs = append(runs, blame.Run{Age: age, AgeKnown: known, Crashes: int(t.rec.Crashes), CrashAge: t.rec.CrashAge})
	}
	blamed := blame.Attribute(runs)
	o.crashes[n.agent] = crash{at: now, explained: len(blamed) == 1}
	if len(blamed) > 1 && o.massCrash(now) {
		// A task that crashes one executor after the other was in a crash before.
		blamed = slices.DeleteFunc(blamed, func(i int) bool { return runs[i].CrashAge == 0 })
	}
	for i, t := range tasks {
		if runs[i].AgeKnown {
			t.rec.CrashAge = max(runs[i].Age, time.Millisecond)
		}
	}
	for _, i := range blamed {
		t := tasks[i]
		before := t.suspected()
		// The count stops at the largest value, since long-running tasks are never given up.
		t.rec.Crashes = max(t.rec.Crashes, t.rec.Crashes+1)
		if t.suspected() && !before {
			n.suspects++
		}
		events.CrashAttributed.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
			Dur("age", runs[i].Age).Uint16("crashes", t.rec.Crashes).Int("runs", len(runs)).Send()
		switch {
		case int(t.rec.Crashes) < blame.MaxCrashes || t.job.state.Final():
		case t.step().LongRunning:
			t.notBefore = t.firstOrderedAt + t.crashDelay()
		default:
			o.giveUp(t, now)
		}
	}
}

// crashDelay returns the least time from the start of a long-running task to the next one after its crashes.
func (t *taskEntry) crashDelay() time.Duration {
	delay := crashBackoff
	for n := blame.MaxCrashes; n < int(t.rec.Crashes) && delay < maxCrashBackoff; n++ {
		delay *= 2
	}
	return min(delay, maxCrashBackoff)
}

// delayed reports whether the start of the task is delayed since it crashes its executors.
func (t *taskEntry) delayed(now time.Duration) bool { return now < t.notBefore }

// massCrash reports whether many executors have crashed at about the same time.
func (o *Owner) massCrash(now time.Duration) bool {
	crashes, up := 0, 0
	for _, c := range o.crashes {
		if now-c.at < massWindow {
			crashes++
		}
	}
	for _, n := range o.executors {
		if !n.gone {
			up++
		}
	}
	return crashes >= massCrashes && float64(crashes) >= massShare*float64(crashes+up)
}

// giveUp fails the submission of a task that crashes its executors.
func (o *Owner) giveUp(t *taskEntry, now time.Duration) {
	o.counters.GivenUp++
	events.TaskGivenUp.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Uint16("crashes", t.rec.Crashes).Send()
	o.unassign(t, now)
	t.rec.State = submission.TaskFailed
	o.finishJob(t.job, submission.Failed, now)
}

// held reports whether nothing else may start on the node, since a suspected task is about to begin there
// or has not been seen at work for long enough: a crash is then due to that task.
func (n *node) held() bool {
	if n.suspects == 0 {
		return false
	}
	for t := range n.tasks {
		if !t.suspected() {
			continue
		}
		if age, known := t.age(); t.phase == phaseCommitPending || known && age <= blame.FreshAge {
			return true
		}
	}
	return false
}

// placeSuspect assigns a suspected task to an executor and holds that until the task has shown that it does not
// crash it at once. It prefers trusted VMs, since the task may not be the cause of the crashes, and executors with
// few other tasks; the last attempt, which long-running tasks do not have, needs a trusted VM. It returns the
// executor's position in the pool, -1 when none can take the task now.
func (o *Owner) placeSuspect(t *taskEntry, p *pool, fits func(i int) bool, now time.Duration) int {
	if t.delayed(now) {
		return -1
	}
	if float64(p.heldCount) >= maxHeldShare*float64(len(p.nodes)+p.heldCount) {
		return -1
	}
	lastAttempt := int(t.rec.Crashes) == blame.MaxCrashes-1 && !t.step().LongRunning
	best, bestTrusted := -1, false
	for i, n := range p.nodes {
		trusted := o.trusted(n, now)
		if !fits(i) || now-n.aliveAt > maxSilence || lastAttempt && !trusted {
			continue
		}
		if best < 0 || trusted && !bestTrusted || trusted == bestTrusted && len(n.tasks) < len(p.nodes[best].tasks) {
			best, bestTrusted = i, trusted
		}
	}
	if best < 0 {
		return -1
	}
	o.assign(t, p.nodes[best], now)
	p.nodes[best].placementNode.Closed = true
	p.heldCount++
	return best
}
