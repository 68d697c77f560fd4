package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/speed"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// phase is what the owner knows of a run beyond its record.
type phase uint8

const (
	// phaseIdle: no run is assigned.
	phaseIdle phase = iota
	// phaseRecorded: the start waits for its commit.
	phaseRecorded
	// phaseAdopted: a record names the run, and the executor has not reported yet.
	phaseAdopted
	// phaseOrdered: the start was sent and is not answered.
	phaseOrdered
	// phaseRunning: the executor runs it.
	phaseRunning
)

// unknownPace stands for the pace of a run that another process may have changed.
const unknownPace = -1

// taskEntry is a task in the table of tasks.
type taskEntry struct {
	job *job
	id  submission.TaskID
	rec submission.TaskRecord
	// node is where the run is assigned, nil when there is none or it is not known yet.
	node  *node
	phase phase
	// changedAt is when the phase was entered.
	changedAt time.Duration
	orderedAt time.Duration
	// stopping tells that a stop was ordered; stopAcked when it was answered, 0 before.
	stopping  bool
	stopSent  time.Duration
	stopAcked time.Duration
	// percent is the last reported progress, progressAt when it changed, 0 for never.
	percent    int
	progressAt time.Duration
	// pace is the last ordered pace in percent, pacedAt when it was ordered, 0 for never.
	pace    int
	pacedAt time.Duration
	// basePercent and basedAt begin the time over which the speed is measured, 0 for none.
	basePercent int
	basedAt     time.Duration
	// restoring tells that the run goes on from a checkpoint and has made no progress yet.
	restoring bool
	// whole tells that the run began without a checkpoint and has worked at full pace.
	whole bool
	// moves counts the runs that were moved off a slow executor.
	moves int
	// preemptions counts the runs that gave up their place to a more urgent queue.
	preemptions int
	// missing counts complete lists of the executor that lacked the run.
	missing int
	// failedOn lists the executors on which a run has failed.
	failedOn []string
	// lostOn is the lifetime with which the last run was lost.
	lostOn submission.Incarnation
}

func (t *taskEntry) step() *submission.Step { return &t.job.sub.Steps[t.id.Step] }

func (t *taskEntry) stepKey() stepKey { return stepKey{t.job.sub.ID, t.id.Occurrence, t.id.Step} }

func (t *taskEntry) name() string { return t.job.sub.Name(t.id) }

// reserved returns what the task takes from its executor's capacity.
func (t *taskEntry) reserved() task.Resources {
	r := t.step().Request
	if t.step().BestEffort {
		r.CPU = 0
	}
	return r
}

// filling returns the processors in thousandths that a task that fills uses at a pace.
func (t *taskEntry) filling(pace int) int64 {
	if pace == unknownPace {
		pace = fullPace
	}
	return t.step().Request.CPU * int64(max(pace, leastFilling)) / fullPace
}

// job is a submission in the table of jobs.
type job struct {
	sub   *submission.Submission
	tasks []*taskEntry
	state submission.State
	// shown is the last state that is durable.
	shown submission.State
	ended int64
	// endedAt is when the job reached its final state, for its removal.
	endedAt time.Duration
	arrived time.Duration
	// remaining counts the tasks that are not done, by occurrence and step.
	remaining [][]int
	// released is the number of occurrences whose due time has come.
	released int
	started  bool
	// speeds are the run times that are known, by step.
	speeds map[stepKey]*speed.StepSamples
}

func newJob(s *submission.Submission, now time.Duration) *job {
	j := &job{sub: s, arrived: now, speeds: make(map[stepKey]*speed.StepSamples)}
	for k := range s.OccurrenceCount() {
		counts := make([]int, len(s.Steps))
		for step := range s.Steps {
			counts[step] = s.Steps[step].Count
			for i := range s.Steps[step].Count {
				j.tasks = append(j.tasks, &taskEntry{job: j, id: submission.TaskID{Occurrence: k, Step: step, Index: i}})
			}
		}
		j.remaining = append(j.remaining, counts)
	}
	return j
}

// task returns a task by its id, nil when there is none.
func (j *job) task(id submission.TaskID) *taskEntry {
	s := j.sub
	if id.Occurrence < 0 || id.Occurrence >= s.OccurrenceCount() || id.Step < 0 || id.Step >= len(s.Steps) ||
		id.Index < 0 || id.Index >= s.Steps[id.Step].Count {
		return nil
	}
	return j.tasks[j.offset(id)]
}

func (j *job) offset(id submission.TaskID) int {
	n := id.Occurrence * j.sub.TasksPerOccurrence()
	for i := range id.Step {
		n += j.sub.Steps[i].Count
	}
	return n + id.Index
}

// stepTasks returns the tasks of one step of one occurrence.
func (j *job) stepTasks(k stepKey) []*taskEntry {
	first := j.offset(submission.TaskID{Occurrence: k.occurrence, Step: k.step})
	return j.tasks[first : first+j.sub.Steps[k.step].Count]
}

// record returns the durable form.
func (j *job) record() submission.Record {
	r := submission.Record{State: j.state, Ended: j.ended, Tasks: make([]submission.TaskRecord, len(j.tasks))}
	for i, t := range j.tasks {
		r.Tasks[i] = t.rec
	}
	return r
}

// idle reports whether no run of the job is assigned.
func (j *job) idle() bool {
	for _, t := range j.tasks {
		if t.rec.State == submission.TaskAssigned {
			return false
		}
	}
	return true
}

// stepKey names a step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

// waitingStep is a step with tasks that may start.
type waitingStep struct {
	key   stepKey
	job   *job
	tasks []*taskEntry
	// allowed filters the executors by the queue's policy, nil when all are admitted.
	allowed func(id string) bool
	// onNode counts the tasks of the step on each executor; it is kept for steps that bound it.
	onNode map[string]int
	// since is when the step began to wait.
	since time.Duration
}

// node is an executor in the table of executors.
type node struct {
	info  executor.Info
	agent string
	place placement.Node
	// adopted tells that a complete list was read under this owner's epoch.
	adopted bool
	// connected tells that the agent's connection is up.
	connected bool
	gone      bool
	goneAt    time.Duration
	// lost tells that the lease has expired without contact.
	lost bool
	// clock is the executor's clock in milliseconds when clockAt was the time here.
	clock   int64
	clockAt time.Duration
	// granted is the highest end of the lease that was sent, on the executor's clock.
	granted int64
	// unknownUntil bounds the lease that an earlier owner may have granted.
	unknownUntil time.Duration
	// lastEnd is the number of the last end that the tables reflect, durableEnd that of the last committed one.
	lastEnd, durableEnd int64
	tasks               map[*taskEntry]struct{}
	// closedUntil keeps new tasks away for a while after a refusal.
	closedUntil time.Duration
	drainEnd    time.Duration
	health      health
	speed       speed.Executor
	// paces are the paces of the images that fill, in percent; they were ordered at pacedAt.
	paces   map[string]int
	pacedAt time.Duration
	// disturbedAt is when a task that serves last missed its target beside tasks that fill, 0 for never.
	disturbedAt time.Duration
	// lateSince is since when a task that serves has been too slow in all lists, 0 while none is.
	lateSince time.Duration
	// uses are the shares in the lists of the last useWindow.
	uses []useInList
	neighbours
}

// reserve books the task on the node.
func (n *node) reserve(t *taskEntry) {
	n.tasks[t] = struct{}{}
	n.neighbours.add(t.step())
	n.place.Reserved = n.place.Reserved.Add(t.reserved())
	if t.step().BestEffort {
		n.place.BestEffortCPU += t.filling(t.pace)
	}
	if t.step().LatencyCritical() {
		n.place.LatencyCritical++
		n.place.LatencyCriticalCPU += t.step().Request.CPU
	}
}

// release undoes reserve.
func (n *node) release(t *taskEntry) {
	if _, ok := n.tasks[t]; !ok {
		return
	}
	delete(n.tasks, t)
	n.neighbours.remove(t.step())
	n.place.Reserved = n.place.Reserved.Sub(t.reserved())
	if t.step().BestEffort {
		n.place.BestEffortCPU -= t.filling(t.pace)
	}
	if t.step().LatencyCritical() {
		n.place.LatencyCritical--
		n.place.LatencyCriticalCPU -= t.step().Request.CPU
	}
}

// expiresAt is when no run of the node can be alive without contact.
func (n *node) expiresAt() time.Duration {
	if n.clockAt == 0 {
		return n.unknownUntil
	}
	left := time.Duration(max(0, n.granted-n.clock)) * time.Millisecond
	return max(n.unknownUntil, n.clockAt+leaseEnd(left))
}

// find returns the task with the name, nil when it is not in the tables.
func (o *Owner) find(name string) *taskEntry {
	id, tid, ok := submission.ParseName(name)
	if !ok {
		return nil
	}
	j := o.jobs[id]
	if j == nil {
		return nil
	}
	return j.task(tid)
}
