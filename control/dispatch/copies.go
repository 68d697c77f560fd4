package dispatch

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/speculation"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

const (
	// copyInterval is the time between two searches for runs to copy.
	copyInterval = 100 * time.Millisecond
	// maxCopiesPerSearch is the largest number of copies that are started in one search, so that they fit into few commits.
	maxCopiesPerSearch = 16
	// maxFullSteps is the number of steps without room for a copy after which a search ends: each costs a look at all executors.
	maxFullSteps = 16
	// maxPassGap is the time between two passes from which this process counts as having been suspended.
	maxPassGap = time.Second
	// maxRecordedRuns is the number of runs of which the record tells whether they failed.
	maxRecordedRuns = 64
)

// copyState is the part of a taskEntry for tasks that may have two runs at once. The record names only the newer run. The
// older one, or a newer one that has lost against it, is the alternate run: an entry of its own, which is in the table of its
// executor only. It keeps its reservation there until the run is known to be over.
type copyState struct {
	// main is the entry of the task, set in that of an alternate run.
	main *taskEntry
	// alternate is the task's other run, nil when there is none.
	alternate *taskEntry
	// copyRun is the number of the copy as long as it may be the first to end, 0 when there is none.
	copyRun uint32
	// checkpointPercent is the progress that the checkpoint in the record was reported with.
	checkpointPercent int
	// noCopyBefore is the time before which an earlier run may be at work that this owner does not know of.
	noCopyBefore time.Duration
}

// heldEnd is the end of an older run, to be applied once it is known whether the start of the newer one was carried out.
type heldEnd struct {
	node *node
	end  executor.End
	task *taskEntry
}

// task returns the entry of the run's task.
func (t *taskEntry) task() *taskEntry {
	if t.main != nil {
		return t.main
	}
	return t
}

// paired reports whether the task of a run has another run.
func (t *taskEntry) paired() bool { return t.main != nil || t.alternate != nil }

// inFlight reports whether the start of the task's run may still be carried out.
func (t *taskEntry) inFlight() bool {
	return t.rec.State == submission.TaskAssigned && (t.phase == phaseStartSent || t.phase == phaseAdopted)
}

// mayCopy reports whether tasks of a step may have two runs at once.
func (o *Owner) mayCopy(s *submission.Step) bool {
	return o.bounds.Features.Copies && s.Speculative && !s.Gang && !s.LongRunning
}

// restoreCopies prepares a task that a previous owner has started. From its second run on, the one before may be at work, and
// executors that don't reach this owner may run it until their leases end. A third run must not start beside these.
func (o *Owner) restoreCopies(t *taskEntry) {
	if t.rec.Run > 1 {
		t.noCopyBefore = o.startedAt + o.bounds.PreviousOwnerWindow + maxLeaseTime(o.bounds.LeaseDuration)
	}
}

// findRun returns the entry of a run: that of the task, or of its alternate run.
func (o *Owner) findRun(name string, run uint32) *taskEntry {
	t := o.find(name)
	if t != nil && t.alternate != nil && t.alternate.rec.Run == run {
		return t.alternate
	}
	return t
}

// observePass records that this process is not suspended.
func (o *Owner) observePass(now time.Duration) {
	if now-o.passedAt > maxPassGap {
		o.inContactSince = now
	}
	o.passedAt = now
}

// silence returns for how long nothing was heard of the node, and for how long its agent has had no connection, both as long as
// this process was not suspended.
func (o *Owner) silence(n *node, now time.Duration) (silence, disconnected time.Duration) {
	if !n.connected {
		disconnected = now - max(n.disconnectedAt, o.inContactSince)
	}
	return now - max(n.aliveAt, o.inContactSince), disconnected
}

func (o *Owner) unresponsive(n *node, now time.Duration) bool {
	return speculation.Unresponsive(o.silence(n, now))
}

// startCopies starts second runs of tasks whose executor is unresponsive or that are slow.
func (o *Owner) startCopies(now time.Duration) {
	if !o.mayExtendLeases(now) {
		clear(o.unresponsiveIDs)
		return
	}
	if !o.bounds.Features.Copies || now-o.copiedAt < copyInterval {
		return
	}
	o.copiedAt = now
	contact := o.contact(now)
	clear(o.fullForCopies)
	left := maxCopiesPerSearch
	for _, t := range o.copyCandidates(contact, now) {
		if o.fullForCopies[t.stepKey()] {
			continue
		}
		target, room := o.copyRoom(t, contact, now)
		verdict := speculation.Decide(o.speculationRun(t, now), room)
		if verdict == speculation.None {
			o.fullForCopies[t.stepKey()] = true
		} else {
			o.startCopy(t, target, verdict, now)
			left--
		}
		if left == 0 || len(o.fullForCopies) == maxFullSteps {
			return
		}
	}
}

// copyDue reports whether a slow run is about to be copied rather than moved.
func (o *Owner) copyDue(t *taskEntry, now time.Duration) bool {
	return o.mayBeCopied(t, now) && !o.fullForCopies[t.stepKey()] &&
		speculation.Decide(o.speculationRun(t, now), speculation.Room{Free: true}) == speculation.Slow
}

// contact returns how far the owner is in contact with the executors, and notes those that are unresponsive.
func (o *Owner) contact(now time.Duration) speculation.Room {
	room := speculation.Room{Settled: now - o.inContactSince}
	clear(o.unresponsiveIDs)
	for _, n := range o.executors {
		if n.gone || n.agent == "" {
			continue
		}
		room.Executors++
		if o.unresponsive(n, now) {
			room.Silent++
			o.unresponsiveIDs[n.info.ID] = true
		}
	}
	if room.ContactLost() {
		clear(o.unresponsiveIDs)
	}
	return room
}

// responsive restricts an executor filter to those that are not known to be unresponsive, for steps that allow copies: a run that begins on
// one of the others can't be copied until its start is confirmed.
func (o *Owner) responsive(s *submission.Step, allowed func(id string) bool) func(id string) bool {
	if len(o.unresponsiveIDs) == 0 || !o.mayCopy(s) {
		return allowed
	}
	return func(id string) bool { return !o.unresponsiveIDs[id] && (allowed == nil || allowed(id)) }
}

// copyCandidates returns the runs that would be copied if there were room, ordered by name.
func (o *Owner) copyCandidates(contact speculation.Room, now time.Duration) []*taskEntry {
	contact.Free = true
	var list []*taskEntry
	for _, n := range o.executors {
		if n.gone || n.leaseExpired {
			continue
		}
		for t := range n.tasks {
			if o.mayBeCopied(t, now) && speculation.Decide(o.speculationRun(t, now), contact) != speculation.None {
				list = append(list, t)
			}
		}
	}
	slices.SortFunc(list, func(a, b *taskEntry) int { return cmp.Compare(a.name(), b.name()) })
	return list
}

// mayBeCopied reports whether a run is the only one of its task, which is not done.
func (o *Owner) mayBeCopied(t *taskEntry, now time.Duration) bool {
	if !o.mayCopy(t.step()) || t.job.state.Final() || now < t.task().noCopyBefore {
		return false
	}
	if t.main != nil {
		return t.main.rec.State == submission.TaskPending
	}
	return t.alternate == nil
}

// speculationRun describes a run for the decision.
func (o *Owner) speculationRun(t *taskEntry, now time.Duration) speculation.Run {
	task := t.task()
	r := speculation.Run{Begun: t.phase == phaseRunning, Stopping: t.stopping, Suspected: task.suspected(), Failures: int(task.rec.Failures),
		MaxAttempts: t.job.sub.MaxAttempts, Percent: t.progressPercent}
	r.Silence, r.Disconnected = o.silence(t.node, now)
	if t.speedLimit == fullSpeed && !t.restoring {
		r.Expected, _ = o.expectedDuration(t)
		r.Slowdown = t.node.speed.Slowdown(now)
	}
	if t.fullRun && t.startedAt != 0 && t.progressAt > t.startedAt {
		r.Elapsed = t.progressAt - t.startedAt
	}
	if task.rec.Checkpoint != "" {
		r.CopyPercent = task.checkpointPercent
	}
	return r
}

// copyRoom returns the executor that would take the copy of a run, nil when there is none, and the room for the decision.
func (o *Owner) copyRoom(t *taskEntry, room speculation.Room, now time.Duration) (*node, speculation.Room) {
	service := o.service(t.job.sub)
	all := o.pool(service, now)
	room.ReservedShare = all.reservedShare()
	usable := new(pool)
	for i, n := range all.nodes {
		if n.info.ID != t.node.info.ID && !o.unresponsive(n, now) && n.speed.Slowdown(now) < suspectSlowdown && !slices.Contains(t.failedOn, n.info.ID) {
			usable.nodes = append(usable.nodes, n)
			usable.placementNodes = append(usable.placementNodes, all.placementNodes[i])
		}
	}
	q := o.query(&waitingStep{key: t.stepKey(), job: t.job, since: now}, usable, now)
	best := placement.Choose(q, usable.placementNodes)
	if best < 0 {
		return nil, room
	}
	target := usable.nodes[best]
	room.Free = true
	for _, w := range o.waiting {
		step := &w.job.sub.Steps[w.key.step]
		// Best-effort work waits for idle processors, or for an executor where it interferes with no other; neither is what a
		// copy with a reservation takes.
		if step.BestEffort && !t.step().BestEffort {
			continue
		}
		if o.service(w.job.sub) == service && placement.FitsWhenEmpty(step, &target.placementNode) {
			room.WorkWaits = true
		}
	}
	return target, room
}

// startCopy assigns the next run of a task beside the one that it has. The record then names the new run, which is ordered once
// that is durable, as any start.
func (o *Owner) startCopy(older *taskEntry, target *node, reason speculation.Verdict, now time.Duration) {
	task, from := older.task(), older.node
	if older == task {
		o.detach(task)
	}
	task.clearRun()
	o.assign(task, target, now)
	task.copyRun = task.rec.Run
	o.counters.CopiesStarted++
	silence, _ := o.silence(from, now)
	events.CopyStarted.Log(o.log).Str("task", task.name()).Uint32("run", task.rec.Run).Str("executor", target.info.ID).
		Uint32("older_run", task.alternate.rec.Run).Str("older_executor", from.info.ID).Str("reason", reason.String()).
		Dur("silent", silence).Int("percent", task.alternate.progressPercent).Send()
}

// detach makes the run of a task its alternate run. The task is then without a run in the tables.
func (o *Owner) detach(t *taskEntry) *taskEntry {
	run := *t
	run.main, run.failedOn = t, slices.Clone(t.failedOn)
	delete(t.node.tasks, t)
	t.node.tasks[&run] = struct{}{}
	t.alternate, t.node = &run, nil
	return &run
}

// stopAlternate stops the alternate run of a task, which keeps its reservation until it is known to be over.
func (o *Owner) stopAlternate(t *taskEntry, now time.Duration) {
	if t.alternate != nil && !t.alternate.stopping {
		o.stop(t.alternate, now)
	}
}

// releaseAlternate removes an alternate run, which is over.
func (o *Owner) releaseAlternate(a *taskEntry) {
	a.node.release(a)
	a.main.alternate = nil
	o.placementChanged = true
}

// dropAlternate handles an alternate run that is over without a result. If the newer run had ended before, the task is queued for
// another start.
func (o *Owner) dropAlternate(a *taskEntry, now time.Duration) {
	o.releaseAlternate(a)
	if a.main.rec.State == submission.TaskPending && !a.job.state.Final() {
		o.queueStep(a.stepKey(), a.job, now)
	}
}

// endCopy counts and logs how a copy has ended, if it is not decided yet.
func (o *Owner) endCopy(t *taskEntry, winner string) {
	if t.copyRun == 0 {
		return
	}
	if winner == copyWon {
		o.counters.CopiesWon++
	} else {
		o.counters.CopiesLost++
	}
	events.CopyEnded.Log(o.log).Str("task", t.name()).Uint32("run", t.copyRun).Str("winner", winner).Send()
	t.copyRun = 0
}

// Winners in the log: the copy, the run beside which it was started, or none of them since the copy has ended without a result
// or its submission has ended.
const (
	copyWon  = "copy"
	olderWon = "older"
	noneWon  = "none"
)

// applyOtherEnd applies the end of a run that is not the newest of its task: that of its alternate run, or of one that this owner
// does not know, since a previous owner has started a copy beside it. It returns false for all other ends.
func (o *Owner) applyOtherEnd(t *taskEntry, n *node, e executor.End, now time.Duration) bool {
	if t == nil || t.main == nil && !o.countsAsOlder(t, e) {
		return false
	}
	o.counters.Ends++
	events.RunEnded.Log(o.log).Str("task", e.Task).Uint32("run", e.Run).Str("cause", e.Cause.String()).
		Str("executor", n.info.ID).Int64("end", e.Number).Send()
	if e.Cause == executor.Done || e.Cause == executor.Failed {
		n.health.observe(e.Cause == executor.Failed, now)
	}
	task := t.task()
	if t.main != nil {
		o.observeCheckpoint(t, e.Checkpoint, t.progressPercent)
		if e.Cause == executor.Done {
			o.observeEnd(t, now)
		}
		o.releaseAlternate(t)
	}
	if h := (heldEnd{n, e, task}); !o.settleEnd(h, now) {
		o.heldEnds = append(o.heldEnds, h)
	}
	return true
}

// countsAsOlder reports whether the end of a run that is not in the tables completes the task, or is a failure that its record does not count
// yet.
func (o *Owner) countsAsOlder(t *taskEntry, e executor.End) bool {
	if !o.mayCopy(t.step()) || e.Run == 0 || e.Run >= t.rec.Run || t.job.state.Final() || t.rec.State > submission.TaskAssigned {
		return false
	}
	switch e.Cause {
	case executor.Done:
		return true
	case executor.Failed:
		// A record of an earlier build does not tell which runs have failed.
		return e.Run <= maxRecordedRuns && t.rec.FailedRuns&runBit(e.Run) == 0 && bits.OnesCount64(t.rec.FailedRuns) == int(t.rec.Failures)
	}
	return false
}

// runBit returns the bit of a run in TaskRecord.FailedRuns, 0 for a run that is not recorded.
func runBit(run uint32) uint64 { return 1 << (run - 1) }

// countFailure counts a failed run of a task.
func (o *Owner) countFailure(t *taskEntry, run uint32) {
	t.rec.Failures++
	if o.mayCopy(t.step()) {
		t.rec.FailedRuns |= runBit(run)
	}
}

// settleEnd applies the end of an older run. It returns false if that has to wait: as long as the start of the newer run may be
// carried out, the end must not become durable, since no run may begin after the end of the task or its last permitted failure.
func (o *Owner) settleEnd(h heldEnd, now time.Duration) bool {
	t := h.task
	if t.job.state.Final() || t.rec.State > submission.TaskAssigned {
		return true
	}
	if t.inFlight() || t.alternate != nil && t.rec.State == submission.TaskAssigned {
		if h.end.Cause == executor.Done {
			o.stopAlternate(t, now)
			if !t.stopping {
				o.stop(t, now)
			}
			return false
		}
		return h.end.Cause != executor.Failed
	}
	switch h.end.Cause {
	case executor.Done:
		o.endCopy(t, olderWon)
		o.endOtherRun(t, now)
		o.completeTask(t, now)
	case executor.Failed:
		o.counters.Failures++
		t.failedOn = append(t.failedOn, h.node.info.ID)
		o.countFailure(t, h.end.Run)
		o.markDirty(t)
		if t.attemptsUsedUp() {
			o.endOtherRun(t, now)
			o.failTask(t, now)
			return true
		}
	}
	if t.rec.State != submission.TaskAssigned && !t.job.state.Final() {
		o.queueStep(t.stepKey(), t.job, now)
	}
	return true
}

// endOtherRun stops the newer run of a task that ends by an older one.
func (o *Owner) endOtherRun(t *taskEntry, now time.Duration) {
	switch {
	case t.rec.State == submission.TaskAssigned && t.phase == phaseRunning:
		run := o.detach(t)
		if !run.stopping {
			o.stop(run, now)
		}
	case t.rec.State == submission.TaskAssigned:
		// No order was sent yet.
		o.unassign(t, now)
	}
}

// settleHeldEnds applies the ends that no longer have to wait.
func (o *Owner) settleHeldEnds(now time.Duration) {
	if len(o.heldEnds) == 0 {
		return
	}
	held := o.heldEnds
	o.heldEnds = nil
	for _, h := range held {
		if !o.settleEnd(h, now) {
			o.heldEnds = append(o.heldEnds, h)
			continue
		}
		// The acknowledgement waits for what has just become dirty.
		o.uncommitted.acks[h.node] = uncommittedEnd{h.node.lastEnd, o.dirtySequence}
	}
}

// acknowledgeable returns the number of the last end of a node, up to the given one, before those that are held.
func (o *Owner) acknowledgeable(n *node, number int64) int64 {
	for i := range o.heldEnds {
		if h := &o.heldEnds[i]; h.node == n {
			number = min(number, h.end.Number-1)
		}
	}
	return number
}

// keepCheckpoint records a checkpoint that a run of the task has reported with a progress. Checkpoints have no order, so of two
// runs that of the one with more progress is kept.
func (t *taskEntry) keepCheckpoint(checkpoint string, percent int) {
	task := t.task()
	if task.rec.State > submission.TaskAssigned || t.paired() && percent < task.checkpointPercent {
		return
	}
	task.rec.Checkpoint, task.checkpointPercent = checkpoint, percent
}

// keepUnknownRun reserves the room of an older run that this owner does not know, until it is stopped.
func (o *Owner) keepUnknownRun(n *node, r *executor.Run, now time.Duration) *taskEntry {
	t := o.find(r.Task)
	if t == nil || !o.mayCopy(t.step()) || r.Number >= t.rec.Run || t.alternate != nil || t.node == n {
		return nil
	}
	run := &taskEntry{job: t.job, id: t.id, node: n, phase: phaseRunning, changedAt: now, speedLimit: unknownSpeedLimit, stopping: true, stopSent: now,
		reportedCheckpoint: r.Checkpoint, progressPercent: r.ProgressPercent,
		rec: submission.TaskRecord{State: submission.TaskAssigned, Run: r.Number, Executor: n.info.Incarnation, Address: n.info.Address}}
	run.main, t.alternate = t, run
	n.reserve(run)
	if t.rec.State == submission.TaskPending && !t.job.state.Final() {
		o.queueStep(t.stepKey(), t.job, now)
	}
	return run
}

// shareCrash counts a crash that is attributed to an alternate run for its task, too.
func (o *Owner) shareCrash(a *taskEntry) {
	t := a.main
	before := t.suspected()
	t.rec.Crashes, t.rec.CrashAge = max(t.rec.Crashes, t.rec.Crashes+1), a.rec.CrashAge
	if !before && t.node != nil {
		t.node.suspects++
	}
	o.markDirty(t)
}
