package dispatch

import (
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Add adds a durable submission. Its record, when there is one, is in rows, the values of the progress table by
// key. Adding a submission again has no effect.
func (o *Owner) Add(s *submission.Submission, rows map[string][]byte, now time.Duration) error {
	if _, ok := o.jobs[s.ID]; ok {
		return nil
	}
	if err := o.addJob(s, rows, now); err != nil {
		return err
	}
	if t := o.tombstones.take(s.ID); t != nil && t.cancellation {
		// The cancellation was read before the submission.
		o.Cancel(s.ID, now)
	}
	return nil
}

func (o *Owner) addJob(s *submission.Submission, rows map[string][]byte, now time.Duration) error {
	j := newJob(s, o.arrivalTime(s, now))
	r, err := decodeRecord(j, rows)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "submission %s", s.ID)
	}
	if r != nil {
		o.restore(j, r, now)
	}
	o.jobs[s.ID] = j
	events.JobTaken.Log(o.log).Str("id", s.ID).Str("queue", s.Queue).Int("tasks", len(j.tasks)).
		Str("state", j.state.String()).Bool("restored", r != nil).Send()
	o.finishRestored(j, now)
	if j.state.Final() {
		return nil
	}
	if s.Occurrences > 0 {
		o.scheduled[s.ID] = j
		o.releaseOccurrences(j, now)
		return nil
	}
	j.released = 1
	o.queueReadySteps(j, 0, now)
	return nil
}

// arrivalTime converts the acceptance time of a submission to the owner's clock.
func (o *Owner) arrivalTime(s *submission.Submission, now time.Duration) time.Duration {
	age := time.Duration(max(0, o.unixMillis(now)-s.Accepted)) * time.Millisecond
	return now - age
}

// restore loads the record of a previous owner into the tables. Assigned runs wait for the first
// complete snapshot of their executor.
func (o *Owner) restore(j *job, r *storedRecord, now time.Duration) {
	j.state, j.durableState, j.endedUnixMS, j.endedAt, j.recorded = r.State, r.State, r.Ended, now, true
	for i, t := range j.tasks {
		t.rec = r.Tasks[i]
		t.startCheckpoint, t.reportedCheckpoint = t.rec.Checkpoint, t.rec.Checkpoint
		j.started = j.started || t.rec.Begun()
		switch t.rec.State {
		case submission.TaskDone:
			j.taskDone(t.id)
		case submission.TaskAssigned:
			t.phase, t.changedAt, t.speedLimit = phaseAdopted, now, unknownSpeedLimit
			n := o.node(t.rec.Executor)
			t.node = n
			if !t.rec.Confirmed {
				t.startCallsUntil = n.previousGrantUntil + executor.MaxExecutionDelay
			}
			if n.agent == "" {
				n.info.Address = t.rec.Address
				o.indexNode(n.info.Address, n)
			}
			n.reserve(t)
		}
	}
	if r.undivided && !j.state.Final() {
		o.divideRecord(j)
	}
}

// finishRestored ends a job whose previous owner has committed the ends of its tasks, but not yet the part of the record
// with its final state.
func (o *Owner) finishRestored(j *job, now time.Duration) {
	switch failed := func(t *taskEntry) bool { return t.rec.State == submission.TaskFailed }; {
	case j.state.Final():
	case slices.ContainsFunc(j.tasks, failed):
		o.finishJob(j, submission.Failed, now)
	case j.complete():
		o.finishJob(j, submission.Completed, now)
	}
}

// node returns the row of an executor, which may not have reported yet.
func (o *Owner) node(inc submission.Incarnation) *node {
	n := o.executors[inc]
	if n == nil {
		lastGrant := o.startedAt + o.bounds.PreviousOwnerWindow
		n = &node{tasks: make(map[*taskEntry]struct{}), previousGrantUntil: lastGrant + maxLeaseTime(o.bounds.LeaseDuration),
			previousLeaseUntil: lastGrant + maxLeaseTime(o.longestLease(inc))}
		n.info.Incarnation = inc
		n.placementNode.ID = inc.ID
		n.placementNode.Closed = true
		o.executors[inc] = n
		o.indexNode(inc.ID, n)
	}
	return n
}

// longestLease returns the longest lease that an incarnation may hold under the previous owner: what that granted, or what calls have set that
// were meant for an earlier incarnation under the ID.
func (o *Owner) longestLease(inc submission.Incarnation) time.Duration {
	if o.isYoung(inc, o.startedAt) {
		return o.bounds.MaxLease
	}
	return o.bounds.LeaseDuration
}

// queueReadySteps queues the steps whose dependencies are done.
func (o *Owner) queueReadySteps(j *job, occurrence int, now time.Duration) {
	for step := range j.sub.Steps {
		if j.remaining[occurrence][step] > 0 && o.dependenciesDone(j, occurrence, step) {
			o.queueStep(stepKey{j.sub.ID, occurrence, step}, j, now)
		}
	}
}

func (o *Owner) dependenciesDone(j *job, occurrence, step int) bool {
	for _, d := range j.sub.Steps[step].DependsOn {
		if j.remaining[occurrence][d] > 0 {
			return false
		}
	}
	return true
}

func (o *Owner) queueStep(k stepKey, j *job, now time.Duration) {
	if j.sub.Steps[k.step].Gang && !o.gangIdle(j, k) {
		return
	}
	w := o.waiting[k]
	if w == nil {
		w = &waitingStep{key: k, job: j, since: now}
	}
	w.tasks = w.tasks[:0]
	for _, t := range j.stepTasks(k) {
		if t.rec.State == submission.TaskPending {
			w.tasks = append(w.tasks, t)
		}
	}
	if len(w.tasks) == 0 {
		delete(o.waiting, k)
		return
	}
	o.waiting[k] = w
	o.placementChanged = true
}

// releaseDueOccurrences queues the occurrences whose start time has come.
func (o *Owner) releaseDueOccurrences(now time.Duration) {
	for _, j := range o.scheduled {
		o.releaseOccurrences(j, now)
	}
}

func (o *Owner) releaseOccurrences(j *job, now time.Duration) {
	for j.released < j.sub.OccurrenceCount() && j.sub.ScheduledStart(j.released) <= o.unixMillis(now) {
		j.released++
		o.queueReadySteps(j, j.released-1, now)
	}
	if j.released == j.sub.OccurrenceCount() {
		delete(o.scheduled, j.sub.ID)
	}
}

// Cancel cancels a submission. It reports whether the submission is known; another one is cancelled when it is added.
func (o *Owner) Cancel(id string, now time.Duration) bool {
	j := o.jobs[id]
	if j == nil {
		o.tombstones.add(id, now).cancellation = true
		return false
	}
	if !j.state.Final() {
		events.JobCancelled.Log(o.log).Str("id", id).Send()
		o.finishJob(j, submission.Cancelled, now)
	}
	return true
}

// finishJob sets the job's final state and stops its remaining runs.
func (o *Owner) finishJob(j *job, state submission.State, now time.Duration) {
	j.state, j.endedUnixMS, j.endedAt = state, o.unixMillis(now), now
	o.markPartDirty(j.parts[0])
	delete(o.scheduled, j.sub.ID)
	for k := range j.sub.OccurrenceCount() {
		for step := range j.sub.Steps {
			delete(o.waiting, stepKey{j.sub.ID, k, step})
			o.advice.RemoveStep(stepName(stepKey{j.sub.ID, k, step}))
		}
	}
	for _, t := range j.tasks {
		if t.rec.State != submission.TaskAssigned {
			continue
		}
		if t.phase == phaseCommitPending {
			// No order was sent yet; the final record replaces that of the start.
			o.unassign(t, now)
			continue
		}
		o.stop(t, now)
	}
	events.JobEnded.Log(o.log).Str("id", j.sub.ID).Str("state", state.String()).
		Dur("age", now-j.arrived).Send()
}

// unassign makes an assigned task pending again without queueing it.
func (o *Owner) unassign(t *taskEntry, now time.Duration) {
	t.recordCallsLeft(now)
	if t.node != nil {
		if b := o.outbox[t.node.info.Incarnation]; b != nil {
			b.dropStart(t.name(), t.rec.Run)
		}
		t.node.release(t)
		t.node = nil
	}
	t.rec.State, t.rec.Executor, t.rec.Address = submission.TaskPending, submission.Incarnation{}, ""
	t.phase, t.changedAt, t.rackWait, t.location = phaseIdle, now, rackWait{}, locationUnknown
	t.stopping, t.stopAcked, t.progressPercent, t.progressAt, t.missingSnapshots, t.speedBaseAt, t.fullRun = false, 0, 0, 0, 0, 0, false
	o.markDirty(t)
	o.placementChanged = true
}

// requeue unassigns the task and queues it for another start. A gang is queued once none of its members has a run.
func (o *Owner) requeue(t *taskEntry, now time.Duration) {
	o.unassign(t, now)
	if t.job.state.Final() {
		return
	}
	if t.step().Gang {
		o.stopGang(t, now)
	}
	o.queueStep(t.stepKey(), t.job, now)
}

// stopGang stops the other members of a gang of which one has no run. Those that wait for that one would only end after
// the platform's timeout; those at work end with it anyway.
func (o *Owner) stopGang(t *taskEntry, now time.Duration) {
	for _, member := range t.job.stepTasks(t.stepKey()) {
		switch {
		case member.rec.State != submission.TaskAssigned || member.stopping:
		case member.phase == phaseCommitPending:
			// No order was sent yet.
			o.unassign(member, now)
		default:
			o.stop(member, now)
		}
	}
}

// gangIdle reports whether no member of a gang has a run.
func (o *Owner) gangIdle(j *job, k stepKey) bool {
	for _, t := range j.stepTasks(k) {
		if t.rec.State == submission.TaskAssigned {
			return false
		}
	}
	return true
}

// completeTask marks the task as done and queues the steps that depended on it.
func (o *Owner) completeTask(t *taskEntry, now time.Duration) {
	j := t.job
	o.unassign(t, now)
	t.rec.State, t.rec.Checkpoint = submission.TaskDone, ""
	if j.state.Final() {
		return
	}
	j.taskDone(t.id)
	if j.remaining[t.id.Occurrence][t.id.Step] > 0 {
		return
	}
	for step := range j.sub.Steps {
		for _, d := range j.sub.Steps[step].DependsOn {
			if d == t.id.Step && o.dependenciesDone(j, t.id.Occurrence, step) {
				o.queueStep(stepKey{j.sub.ID, t.id.Occurrence, step}, j, now)
				break
			}
		}
	}
	if j.complete() {
		o.finishJob(j, submission.Completed, now)
	}
}

func (j *job) complete() bool {
	for _, steps := range j.remaining {
		for _, n := range steps {
			if n > 0 {
				return false
			}
		}
	}
	return true
}

// removeExpired removes ended jobs and gone executors after the retention time.
func (o *Owner) removeExpired(now time.Duration) {
	for inc, n := range o.executors {
		if n.gone && now-n.goneAt > o.bounds.Retention && len(n.tasks) == 0 {
			delete(o.executors, inc)
			delete(o.outbox, inc)
			o.unindexNode(n)
			delete(o.uncommitted.acks, n)
		}
	}
	for id, j := range o.jobs {
		if j.state.Final() && j.durableState == j.state && now-j.endedAt > o.bounds.Retention && j.idle() {
			delete(o.jobs, id)
			o.uncommitted.removed = append(o.uncommitted.removed, rowsOf(j))
		}
	}
	o.removeTombstones(now)
}

// State returns the durable state of a submission.
func (o *Owner) State(id string) (submission.State, bool) {
	j := o.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.durableState.Final() {
		return j.durableState, true
	}
	if j.started {
		return submission.Running, true
	}
	return submission.Queued, true
}

// Pending returns the number of submissions without a schedule that have not started, by queue.
func (o *Owner) Pending() map[string]int {
	counts := make(map[string]int)
	for _, j := range o.jobs {
		if !j.started && !j.state.Final() && j.sub.Occurrences == 0 {
			counts[j.sub.Queue]++
		}
	}
	return counts
}
