package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
)

// Add takes in a submission that is durable, with its record when there is one.
// Adding it again has no effect.
func (o *Owner) Add(s *submission.Submission, encoded []byte, now time.Duration) error {
	if _, ok := o.jobs[s.ID]; ok {
		return nil
	}
	j := newJob(s, o.arrival(s, now))
	if encoded != nil {
		r, err := submission.DecodeRecord(encoded, len(j.tasks))
		if err != nil {
			return errkind.Wrap(errkind.InvalidArgument, err, "submission %s", s.ID)
		}
		o.restore(j, r, now)
	}
	o.jobs[s.ID] = j
	events.JobTaken.Log(o.log).Str("id", s.ID).Str("queue", s.Queue).Int("tasks", len(j.tasks)).
		Str("state", j.state.String()).Bool("restored", encoded != nil).Send()
	if j.state.Final() {
		return nil
	}
	if s.Occurrences > 0 {
		o.timed[s.ID] = j
		o.releaseOccurrences(j, now)
		return nil
	}
	j.released = 1
	o.openSteps(j, 0, now)
	return nil
}

// arrival places the acceptance of a submission on the owner's clock.
func (o *Owner) arrival(s *submission.Submission, now time.Duration) time.Duration {
	age := time.Duration(max(0, o.unix(now)-s.Accepted)) * time.Millisecond
	return now - age
}

// restore puts the record of an earlier owner into the tables. Assigned runs
// wait for the first complete list of their executor.
func (o *Owner) restore(j *job, r submission.Record, now time.Duration) {
	j.state, j.shown, j.ended, j.endedAt = r.State, r.State, r.Ended, now
	for i, t := range j.tasks {
		t.rec = r.Tasks[i]
		if t.rec.Run > 0 {
			j.started = true
		}
		switch t.rec.State {
		case submission.TaskDone:
			j.remaining[t.id.Occurrence][t.id.Step]--
		case submission.TaskAssigned:
			t.phase, t.changedAt, t.pace = phaseAdopted, now, unknownPace
			n := o.node(t.rec.Executor)
			t.node = n
			if n.agent == "" {
				n.info.Address = t.rec.Address
				o.index(n.info.Address, n)
			}
			n.reserve(t)
		}
	}
}

// node returns the entry of an executor, which may not have reported yet.
func (o *Owner) node(inc submission.Incarnation) *node {
	n := o.executors[inc]
	if n == nil {
		n = &node{tasks: make(map[*taskEntry]struct{}), unknownUntil: o.since + o.bounds.EarlierOwner + leaseEnd(o.bounds.Lease)}
		n.info.Incarnation = inc
		n.place.ID = inc.ID
		n.place.Closed = true
		o.executors[inc] = n
		o.index(inc.ID, n)
	}
	return n
}

// openSteps makes the tasks wait whose dependencies are done.
func (o *Owner) openSteps(j *job, occurrence int, now time.Duration) {
	for step := range j.sub.Steps {
		if j.remaining[occurrence][step] > 0 && o.ready(j, occurrence, step) {
			o.openStep(stepKey{j.sub.ID, occurrence, step}, j, now)
		}
	}
}

func (o *Owner) ready(j *job, occurrence, step int) bool {
	for _, d := range j.sub.Steps[step].DependsOn {
		if j.remaining[occurrence][d] > 0 {
			return false
		}
	}
	return true
}

func (o *Owner) openStep(k stepKey, j *job, now time.Duration) {
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
	o.changed = true
}

// releaseDue opens the occurrences whose time has come.
func (o *Owner) releaseDue(now time.Duration) {
	for _, j := range o.timed {
		o.releaseOccurrences(j, now)
	}
}

func (o *Owner) releaseOccurrences(j *job, now time.Duration) {
	for j.released < j.sub.OccurrenceCount() && j.sub.ScheduledStart(j.released) <= o.unix(now) {
		j.released++
		o.openSteps(j, j.released-1, now)
	}
	if j.released == j.sub.OccurrenceCount() {
		delete(o.timed, j.sub.ID)
	}
}

// Cancel ends a submission. It reports whether the submission is known.
func (o *Owner) Cancel(id string, now time.Duration) bool {
	j := o.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		events.JobCancelled.Log(o.log).Str("id", id).Send()
		o.finish(j, submission.Cancelled, now)
	}
	return true
}

// finish gives the job its final state and stops what still runs.
func (o *Owner) finish(j *job, state submission.State, now time.Duration) {
	j.state, j.ended, j.endedAt = state, o.unix(now), now
	o.dirty[j.sub.ID] = j
	delete(o.timed, j.sub.ID)
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
		if t.phase == phaseRecorded {
			// Nothing was sent yet; the record of the start is replaced by this one.
			o.free(t, now)
			continue
		}
		o.stop(t, now)
	}
	events.JobEnded.Log(o.log).Str("id", j.sub.ID).Str("state", state.String()).
		Dur("age", now-j.arrived).Send()
}

// free makes an assigned task pending again without deciding what happens next.
func (o *Owner) free(t *taskEntry, now time.Duration) {
	if t.node != nil {
		t.node.release(t)
		t.node = nil
	}
	t.rec.State, t.rec.Executor, t.rec.Address = submission.TaskPending, submission.Incarnation{}, ""
	t.phase, t.changedAt = phaseIdle, now
	t.stopping, t.stopAcked, t.percent, t.progressAt, t.missing, t.basedAt, t.whole = false, 0, 0, 0, 0, 0, false
	o.dirty[t.job.sub.ID] = t.job
	o.changed = true
}

// requeue frees the task and lets it wait for another start.
func (o *Owner) requeue(t *taskEntry, now time.Duration) {
	o.free(t, now)
	if t.job.state.Final() {
		return
	}
	k := t.stepKey()
	if t.step().Gang && !o.gangIdle(t.job, k) {
		return
	}
	o.openStep(k, t.job, now)
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

// done records the end of a task's work and opens what depends on it.
func (o *Owner) done(t *taskEntry, now time.Duration) {
	j := t.job
	o.free(t, now)
	t.rec.State, t.rec.Checkpoint = submission.TaskDone, ""
	if j.state.Final() {
		return
	}
	j.remaining[t.id.Occurrence][t.id.Step]--
	if j.remaining[t.id.Occurrence][t.id.Step] > 0 {
		return
	}
	for step := range j.sub.Steps {
		for _, d := range j.sub.Steps[step].DependsOn {
			if d == t.id.Step && o.ready(j, t.id.Occurrence, step) {
				o.openStep(stepKey{j.sub.ID, t.id.Occurrence, step}, j, now)
				break
			}
		}
	}
	if j.complete() {
		o.finish(j, submission.Completed, now)
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

// forget removes ended jobs and executors after the retention time.
func (o *Owner) forget(now time.Duration) {
	for inc, n := range o.executors {
		if n.gone && now-n.goneAt > o.bounds.Retention && len(n.tasks) == 0 {
			delete(o.executors, inc)
			o.unindex(n)
			delete(o.pending.acks, n)
		}
	}
	for id, j := range o.jobs {
		if j.state.Final() && j.shown == j.state && now-j.endedAt > o.bounds.Retention && j.idle() {
			delete(o.jobs, id)
			o.pending.removed = append(o.pending.removed, id)
		}
	}
}

// State returns the durable state of a submission.
func (o *Owner) State(id string) (submission.State, bool) {
	j := o.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.shown.Final() {
		return j.shown, true
	}
	if j.started {
		return submission.Running, true
	}
	return submission.Queued, true
}

// Pending returns the number of untimed submissions of each queue that have not started.
func (o *Owner) Pending() map[string]int {
	counts := make(map[string]int)
	for _, j := range o.jobs {
		if !j.started && !j.state.Final() && j.sub.Occurrences == 0 {
			counts[j.sub.Queue]++
		}
	}
	return counts
}
