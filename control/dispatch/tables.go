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
	// phaseCommitPending: the record of the start is not committed yet.
	phaseCommitPending
	// phaseAdopted: a record of a previous owner names the run, and its executor has not reported
	// yet.
	phaseAdopted
	// phaseStartSent: the start order was sent and is not answered yet.
	phaseStartSent
	// phaseRunning: the executor runs the task.
	phaseRunning
)

// unknownSpeedLimit is the speed limit of a run that another process may have changed.
const unknownSpeedLimit = -1

// taskEntry is a row of the table of tasks.
type taskEntry struct {
	job *job
	id  submission.TaskID
	rec submission.TaskRecord
	// node is the executor that the run is assigned to, nil when there is none or it is not known
	// yet.
	node  *node
	phase phase
	// changedAt is when the phase was entered.
	changedAt time.Duration
	orderedAt time.Duration
	// firstOrderedAt is when the start was ordered first, 0 before.
	firstOrderedAt time.Duration
	// startCheckpoint is the checkpoint that all copies of the start carry. reportedCheckpoint is the last one
	// that was reported for the run, or that of its start; in a gang, the record may hold that of another member.
	startCheckpoint, reportedCheckpoint string
	// notBefore is the time before which a long-running task that crashes its executors does not start again.
	notBefore time.Duration
	// startCopies counts the copies of the start that were sent.
	startCopies uint32
	// listed is set once a snapshot has shown the run.
	listed bool
	// startCallsUntil is the latest time at which a call of the start may be executed, 0 before its order is sent and once the start is
	// confirmed.
	startCallsUntil time.Duration
	// callsLeftAt is the ID of an executor that may execute a call of an earlier run's start until callsLeftUntil. The task starts nowhere
	// else before that.
	callsLeftAt    string
	callsLeftUntil time.Duration
	// unknownRunAt is when an executor last listed a run of the task that it was not assigned, 0 for never.
	unknownRunAt time.Duration
	// confirmationRecorded is set once a record of the part tells that the start is confirmed.
	confirmationRecorded bool
	// startedAt is when the executor confirmed the start, 0 before, and for runs that a previous owner started.
	startedAt time.Duration
	// stopping is set once a stop was ordered. stopAcked is when the stop was answered, 0 before.
	stopping  bool
	stopSent  time.Duration
	stopAcked time.Duration
	// progressPercent is the last reported progress. progressAt is when it changed, 0 for never.
	progressPercent int
	progressAt      time.Duration
	// speedLimit is the last ordered speed limit in percent of full speed. throttledAt is when it
	// was ordered, 0 for never.
	speedLimit  int
	throttledAt time.Duration
	// speedBasePercent and speedBaseAt are the start of the current speed measurement, 0 for none.
	speedBasePercent int
	speedBaseAt      time.Duration
	// restoring is set while the run resumes from a checkpoint and has made no progress yet.
	restoring bool
	// fullRun is set for a run that began without a checkpoint and has always worked at full
	// speed.
	fullRun bool
	// moves counts the runs that were moved off a slow executor.
	moves int
	// relocations counts the runs that were moved off a node with a task over its target.
	relocations int
	planned     plannedMove
	// preemptions counts the runs that were stopped in favor of a queue with higher priority.
	preemptions int
	// latencyInTargetAt is when a latency below the task's target was last reported, latencyOverSince when the
	// first one at or above it was reported after that, both 0 for never.
	latencyInTargetAt, latencyOverSince time.Duration
	// missingSnapshots counts the complete snapshots of the executor that lacked the run.
	missingSnapshots int
	// failedOn lists the executors on which a run has failed.
	failedOn []string
	// rackWait is the wait for the preferred rack.
	rackWait rackWait
	// location tells whether the run of a gang's member is away from its rack.
	location runLocation
	// lostOn is the incarnation with which the last run was lost.
	lostOn submission.Incarnation
}

func (t *taskEntry) step() *submission.Step { return &t.job.sub.Steps[t.id.Step] }

func (t *taskEntry) stepKey() stepKey { return stepKey{t.job.sub.ID, t.id.Occurrence, t.id.Step} }

func (t *taskEntry) name() string { return t.job.sub.Name(t.id) }

// reserved returns what the task reserves of its executor's capacity. The processors of a
// best-effort task do not count.
func (t *taskEntry) reserved() task.Resources {
	r := t.step().Request
	if t.step().BestEffort {
		r.CPU = 0
	}
	return r
}

// bestEffortCPU returns the processors, in thousandths, that a best-effort task uses at a speed
// limit.
func (t *taskEntry) bestEffortCPU(speedLimit int) int64 {
	if speedLimit == unknownSpeedLimit {
		speedLimit = fullSpeed
	}
	return t.step().Request.CPU * int64(max(speedLimit, minCountedSpeed)) / fullSpeed
}

// job is a row of the table of submissions.
type job struct {
	sub   *submission.Submission
	tasks []*taskEntry
	state submission.State
	// durableState is the last committed state.
	durableState submission.State
	// parts are the rows of the record. recorded is set once the first one is written or waits to be.
	parts    []*recordPart
	recorded bool
	// recordRefused is set once the store has refused the record: a single part then holds only the final state.
	recordRefused bool
	endedUnixMS   int64
	// endedAt is when the job reached its final state; it is removed after the retention time.
	endedAt time.Duration
	arrived time.Duration
	// remaining counts the tasks that are not done, by occurrence and step.
	remaining [][]int
	// remainingCPU caches the estimated work of these tasks in processor seconds, by occurrence. It is negative while it is out of date.
	remainingCPU []float64
	// objective and criticalPaths, by step, are those of sub.
	objective     time.Duration
	criticalPaths []time.Duration
	// assigned counts the tasks with a run.
	assigned int
	// released is the number of occurrences whose start time has come.
	released int
	started  bool
	// durations are the observed run times, by step.
	durations map[stepKey]*speed.StepSamples
}

func newJob(s *submission.Submission, now time.Duration) *job {
	j := &job{sub: s, arrived: now, durations: make(map[stepKey]*speed.StepSamples), objective: s.Objective(), criticalPaths: s.CriticalPaths()}
	for k := range s.OccurrenceCount() {
		counts := make([]int, len(s.Steps))
		for step := range s.Steps {
			counts[step] = s.Steps[step].Count
			for i := range s.Steps[step].Count {
				j.tasks = append(j.tasks, &taskEntry{job: j, id: submission.TaskID{Occurrence: k, Step: step, Index: i}})
			}
		}
		j.remaining = append(j.remaining, counts)
		j.remainingCPU = append(j.remainingCPU, outOfDate)
	}
	j.parts = newRecordParts(j)
	return j
}

// task returns a task by its ID, nil when there is none.
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

// idle reports whether no run of the job is assigned.
func (j *job) idle() bool { return j.assigned == 0 }

// outOfDate stands for a cached value that has to be computed again.
const outOfDate = -1

// taskDone counts a task as done.
func (j *job) taskDone(id submission.TaskID) {
	j.remaining[id.Occurrence][id.Step]--
	j.remainingCPU[id.Occurrence] = outOfDate
}

// remainingWork returns the estimated work of the tasks that are not done, in processor seconds.
func (j *job) remainingWork(occurrence int) float64 {
	if j.remainingCPU[occurrence] == outOfDate {
		work := 0.0
		for i, n := range j.remaining[occurrence] {
			work += float64(n) * j.sub.Steps[i].Work()
		}
		j.remainingCPU[occurrence] = work
	}
	return j.remainingCPU[occurrence]
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

// waitingStep is a step with tasks that are ready to start.
type waitingStep struct {
	key   stepKey
	job   *job
	tasks []*taskEntry
	// allowed filters the executors by the queue's policy; nil allows all.
	allowed func(id string) bool
	// onNode counts the tasks of the step on each executor. It is kept only for steps with
	// MaxPerExecutor.
	onNode map[string]int
	// since is when the step became ready.
	since time.Duration
	// rackWaitTime is how long the step waited by choice for its rack, rackWaitAt the last pass in which it did, 0 if that did not.
	rackWaitTime, rackWaitAt time.Duration
	// awaitsZone is set once it was logged that only evacuated zones could run the step.
	awaitsZone bool
}

// node is a row of the table of executors.
type node struct {
	info          executor.Info
	agent         string
	placementNode placement.Node
	// adopted is set once a complete snapshot was read under this owner's epoch.
	adopted bool
	// connected reports whether the connection to the agent is up.
	connected bool
	gone      bool
	goneAt    time.Duration
	// leaseExpired is set when the lease has expired without contact.
	leaseExpired bool
	// clock is the executor's clock in milliseconds at the owner's time clockAt.
	clock   int64
	clockAt time.Duration
	// clockOffset is how far the owner's clock is ahead of the executor's, as of clockOffsetAt.
	clockOffset, clockOffsetAt time.Duration
	// grantedLeaseEnd is the latest lease end that was sent, on the executor's clock.
	grantedLeaseEnd int64
	// inheritedLeaseEnd is the latest end, on the executor's clock, of a lease that calls may have set which were meant for an earlier
	// incarnation under the ID.
	inheritedLeaseEnd int64
	// previousGrantUntil is the latest end of a lease that a previous owner may have granted, previousLeaseUntil that of a lease that the
	// incarnation may hold, 0 once this owner has reached it.
	previousGrantUntil, previousLeaseUntil time.Duration
	// lastEnd is the number of the last end that is applied to the tables, durableEnd that of the
	// last committed one.
	lastEnd, durableEnd int64
	tasks               map[*taskEntry]struct{}
	// closedUntil is the time until which the executor gets no new tasks after a refusal.
	closedUntil time.Duration
	drainEnd    time.Duration
	// snapshotAt is when the last snapshot was taken, on the owner's clock, 0 before the first.
	snapshotAt time.Duration
	// aliveAt is when the executor last reported a snapshot or answered a start.
	aliveAt time.Duration
	// lastStartAt is when a start was last ordered from the executor, 0 for never.
	lastStartAt time.Duration
	// suspects counts the node's suspected tasks.
	suspects int
	health   health
	speed    speed.Executor
	// speedLimits are the speed limits of the best-effort images in percent, ordered at
	// throttledAt.
	speedLimits map[string]int
	throttledAt time.Duration
	// pauseAt is when all best-effort work on the node has to be paused, 0 while it has not.
	pauseAt time.Duration
	// interferedAt is when a latency-critical task was last over its target beside best-effort
	// tasks, 0 for never.
	interferedAt time.Duration
	// overTargetSince is since when every snapshot showed a latency-critical task over its target,
	// 0 while none is.
	overTargetSince time.Duration
	// overByOwnLoad is set if no best-effort task ran beside it at that time.
	overByOwnLoad bool
	// excessUtilization is how far the utilization of a latency-critical task on the node was above that at its target in the
	// last snapshot. relocatedAt is when best-effort runs last left the node for it.
	excessUtilization float64
	relocatedAt       time.Duration
	// usageSamples are the shares in the snapshots of the last latencyWindow.
	usageSamples []usageSample
	colocatedImages
}

// reserve assigns the task to the node and adds what it uses.
func (n *node) reserve(t *taskEntry) {
	n.tasks[t] = struct{}{}
	t.job.assigned++
	if t.suspected() {
		n.suspects++
	}
	n.colocatedImages.add(t.step())
	n.placementNode.Reserved = n.placementNode.Reserved.Add(t.reserved())
	if t.step().BestEffort {
		n.placementNode.BestEffortCPU += t.bestEffortCPU(t.speedLimit)
	}
	if t.step().LatencyCritical() {
		n.placementNode.LatencyCritical++
		n.placementNode.LatencyCriticalCPU += t.step().Request.CPU
	}
}

// release undoes reserve.
func (n *node) release(t *taskEntry) {
	if _, ok := n.tasks[t]; !ok {
		return
	}
	delete(n.tasks, t)
	t.job.assigned--
	if t.suspected() {
		n.suspects--
	}
	n.colocatedImages.remove(t.step())
	n.placementNode.Reserved = n.placementNode.Reserved.Sub(t.reserved())
	if t.step().BestEffort {
		n.placementNode.BestEffortCPU -= t.bestEffortCPU(t.speedLimit)
	}
	if t.step().LatencyCritical() {
		n.placementNode.LatencyCritical--
		n.placementNode.LatencyCriticalCPU -= t.step().Request.CPU
	}
}

// expiresAt returns the time after which no run of the node's incarnation can be alive without contact.
func (n *node) expiresAt() time.Duration {
	if n.clockAt == 0 {
		return n.previousLeaseUntil
	}
	left := time.Duration(max(0, max(n.grantedLeaseEnd, n.inheritedLeaseEnd)-n.clock)) * time.Millisecond
	return max(n.previousLeaseUntil, n.clockAt+maxLeaseTime(left))
}

// grantedUntil returns the time after which no lease that an owner has granted to the node is in force, and no call is made for it.
func (n *node) grantedUntil() time.Duration {
	if n.clockAt == 0 {
		return n.previousGrantUntil
	}
	left := time.Duration(max(0, n.grantedLeaseEnd-n.clock)) * time.Millisecond
	return max(n.previousGrantUntil, n.clockAt+maxLeaseTime(left))
}

// find returns the task with the given name, nil when it is not in the tables.
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
