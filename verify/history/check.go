package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// Invariant identifies a rule that must always hold.
type Invariant string

// The invariants, in the order in which they are reported.
const (
	NoOvercommit      Invariant = "no VM is committed beyond its capacity"
	NoDoubleRun       Invariant = "no task runs in two places at once"
	ResumeOnce        Invariant = "evicted work resumes exactly once"
	OwnAnswer         Invariant = "every caller gets the whole answer to its own request"
	NotRunIsTrue      Invariant = "a request answered not-run did not run"
	AtMostOnce        Invariant = "a non-idempotent request runs at most once"
	NoWorkAfterDrain  Invariant = "a leaving upstream receives no new work after 2 s"
	GracefulStop      Invariant = "a planned stop cuts off no request"
	ConfigInForceFast Invariant = "an accepted configuration is in force everywhere within 3 s"
	ConfigNoRevert    Invariant = "a configuration never reverts"
	NothingLost       Invariant = "no accepted work is lost or doubled"
	StepOrder         Invariant = "no task starts before those that it depends on have succeeded"
	FailureBudget     Invariant = "no task starts after its last permitted failure"
	CancelHolds       Invariant = "cancelled work does not run on"
	NoWorkInEvacuated Invariant = "no task starts in an evacuated zone after 5 s"
	NoStartCancelled  Invariant = "no task starts 3 s after its cancellation was acknowledged"
)

// Invariants lists all invariants.
func Invariants() []Invariant {
	return []Invariant{NoOvercommit, NoDoubleRun, ResumeOnce, OwnAnswer, NotRunIsTrue, AtMostOnce,
		NoWorkAfterDrain, GracefulStop, ConfigInForceFast, ConfigNoRevert, NothingLost,
		StepOrder, FailureBudget, CancelHolds, NoWorkInEvacuated, NoStartCancelled}
}

// Time limits of the invariants that have one.
const (
	DrainBound      = 2 * time.Second
	ConfigBound     = 3 * time.Second
	EvacuationBound = 5 * time.Second
	CancelBound     = 3 * time.Second
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// Options selects the checks that depend on the kind of run.
type Options struct {
	// Finished is true when all accepted finite tasks must have reached a terminal state.
	Finished bool
	// Unfinished lists tasks that may still be running at the end, for example watchers.
	Unfinished map[string]bool
	// ResultsReachable is true when no VM failed or was unreachable for longer than its
	// grant, so finished work must not run again.
	ResultsReachable bool
	// Processes lists the processes in which an accepted generation must be in force.
	Processes []string
}

// Check returns the violations found in events.
func Check(events []Event, opt Options) []Violation {
	c := newChecker(opt)
	for _, e := range events {
		c.apply(e)
	}
	c.finish()
	return c.violations
}

type requestState struct {
	sent       bool
	payload    string
	idempotent bool
	executions int
	outcome    string
}

type taskState struct {
	accepted bool
	// running holds the attempts that are executing, with their reservations.
	running map[execution]task.Resources
	// ended holds the attempts whose execution has ended.
	ended       map[uint32]bool
	started     map[uint32]bool
	lastAttempt uint32
	// checkpoints holds the stored progress values. evictedAt is the progress recorded at the
	// last eviction; the task must not resume from less.
	checkpoints map[time.Duration]bool
	evictedAt   time.Duration
	succeeded   bool
	final       string
	// dependsOn, maxFailures and cancelled are set by the client.
	dependsOn   []string
	maxFailures int
	cancelled   bool
	cancelledAt time.Duration
	// outcomes holds how attempts exited on their own; successConfirmed and
	// confirmedFailures cover the ends that the system has confirmed.
	outcomes          map[uint32]string
	successConfirmed  bool
	confirmedFailures int
}

type execution struct {
	vm      string
	attempt uint32
}

type checker struct {
	opt          Options
	violations   []Violation
	requests     map[string]*requestState
	tasks        map[string]*taskState
	reservedOnVM map[string]task.Resources
	drains       map[string]drain
	// evacuated holds since when each zone has been evacuated.
	evacuated   map[string]time.Duration
	generations map[string]uint64
	accepted    []Event
	inForce     []Event
}

type drain struct {
	at          time.Duration
	incarnation uint64
}

func newChecker(opt Options) *checker {
	return &checker{opt: opt, requests: make(map[string]*requestState), tasks: make(map[string]*taskState),
		reservedOnVM: make(map[string]task.Resources), drains: make(map[string]drain), evacuated: make(map[string]time.Duration), generations: make(map[string]uint64)}
}

func (c *checker) report(inv Invariant, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: inv, At: at, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case TaskAccepted, TaskRunStart, TaskRunEnd, TaskSuspended, TaskResumed, TaskCompleted, TaskTerminal,
		TaskCheckpoint, TaskEvicted, FinalStateRead, TaskEndConfirmed, TaskCancelled:
		c.applyTask(c.task(e.Task), e)
	case Commitment:
		if !e.Reserved.Fits(e.Capacity) {
			c.report(NoOvercommit, e.At, "VM %s reserves %+v of %+v", e.VM, e.Reserved, e.Capacity)
		}
	case RequestSent, RequestExecuted, RequestAnswered, RequestAdmitted:
		c.applyRequest(e)
	case DrainBegan:
		c.drains[e.VM] = drain{e.At, e.Incarnation}
	case UpstreamStarted:
		delete(c.drains, e.VM)
	case ZoneEvacuated:
		c.evacuated[e.Zone] = e.At
	case ZoneRestored:
		delete(c.evacuated, e.Zone)
	case ConfigAccepted:
		c.configAccepted(e)
	case ConfigInForce:
		c.configInForce(e)
	case RequestInterrupted:
		c.report(GracefulStop, e.At, "request %q was interrupted by a planned shutdown of %s", e.Request, e.Process)
	}
}

func (c *checker) task(id string) *taskState {
	t, ok := c.tasks[id]
	if !ok {
		t = &taskState{running: make(map[execution]task.Resources), ended: make(map[uint32]bool),
			started: make(map[uint32]bool), checkpoints: make(map[time.Duration]bool), outcomes: make(map[uint32]string)}
		c.tasks[id] = t
	}
	return t
}

func (c *checker) applyTask(t *taskState, e Event) {
	switch e.Kind {
	case TaskAccepted:
		t.accepted, t.dependsOn, t.maxFailures = true, e.DependsOn, e.MaxFailures
	case TaskCancelled:
		t.cancelled, t.cancelledAt = true, e.At
	case TaskEndConfirmed:
		t.successConfirmed = t.successConfirmed || t.outcomes[e.Attempt] == task.Succeeded
		if t.outcomes[e.Attempt] == task.Failed {
			t.confirmedFailures++
		}
	case TaskRunStart:
		c.taskStarted(t, e)
	case TaskRunEnd:
		c.taskEnded(t, e)
	case TaskSuspended:
		delete(t.running, execution{e.VM, e.Attempt})
	case TaskResumed:
		c.taskResumed(t, e)
	case TaskCheckpoint:
		// Progress is transmitted in whole milliseconds.
		t.checkpoints[e.Progress.Truncate(time.Millisecond)] = true
		if t.ended[e.Attempt] || e.Attempt < t.lastAttempt {
			c.report(ResumeOnce, e.At, "attempt %d of task %s stored a checkpoint after attempt %d had started", e.Attempt, e.Task, t.lastAttempt)
		}
	case TaskEvicted:
		t.evictedAt = max(t.evictedAt, e.Progress)
	case TaskCompleted:
		c.recordFinalState(t, e, task.Succeeded)
	case TaskTerminal:
		c.recordFinalState(t, e, e.Outcome)
	case FinalStateRead:
		c.checkFinalStateRead(t, e)
	}
}

// recordFinalState applies a terminal state that an owner recorded durably. Each task
// may have only one.
func (c *checker) recordFinalState(t *taskState, e Event, state string) {
	if t.final != "" {
		c.report(NothingLost, e.At, "task %s reached the terminal states %s and %s", e.Task, t.final, state)
	}
	if state == "" {
		state = "terminal"
	}
	t.final = state
}

// checkFinalStateRead applies a terminal state read from the store; its event may have been recorded before.
func (c *checker) checkFinalStateRead(t *taskState, e Event) {
	if t.final != "" && t.final != e.Outcome {
		c.report(NothingLost, e.At, "task %s was recorded as %s but read from the store as %s", e.Task, t.final, e.Outcome)
	}
	t.final = e.Outcome
}

func (c *checker) attemptExecuting(t *taskState, e Event) {
	current := execution{e.VM, e.Attempt}
	for p := range t.running {
		if p != current {
			c.report(NoDoubleRun, e.At, "attempt %d of task %s runs on %s and attempt %d on %s", p.attempt, e.Task, p.vm, e.Attempt, e.VM)
		}
	}
	t.running[current] = e.Reserved
}

func (c *checker) taskStarted(t *taskState, e Event) {
	c.attemptExecuting(t, e)
	if t.final != "" {
		c.report(NothingLost, e.At, "attempt %d of task %s started after the task was %s", e.Attempt, e.Task, t.final)
	}
	if t.successConfirmed {
		c.report(NothingLost, e.At, "attempt %d of task %s started after the success of an earlier one was confirmed", e.Attempt, e.Task)
	}
	if t.maxFailures > 0 && t.confirmedFailures >= t.maxFailures {
		c.report(FailureBudget, e.At, "attempt %d of task %s started after %d confirmed failures", e.Attempt, e.Task, t.confirmedFailures)
	}
	for _, d := range t.dependsOn {
		if !c.task(d).succeeded {
			c.report(StepOrder, e.At, "task %s started before task %s has succeeded", e.Task, d)
		}
	}
	if t.succeeded && c.opt.ResultsReachable {
		c.report(NothingLost, e.At, "attempt %d of task %s started after an earlier one had succeeded", e.Attempt, e.Task)
	}
	if t.started[e.Attempt] {
		c.report(ResumeOnce, e.At, "attempt %d of task %s started twice", e.Attempt, e.Task)
	}
	if e.Attempt < t.lastAttempt {
		c.report(ResumeOnce, e.At, "attempt %d of task %s started after attempt %d", e.Attempt, e.Task, t.lastAttempt)
	}
	c.checkResumePoint(t, e)
	t.started[e.Attempt] = true
	t.lastAttempt = max(t.lastAttempt, e.Attempt)
	if d, ok := c.drains[e.VM]; ok && e.At > d.at+DrainBound {
		c.report(NoWorkAfterDrain, e.At, "task %s started on %s %v after its drain began", e.Task, e.VM, e.At-d.at)
	}
	if e.EarlierCall {
		// The deadline in the call is on another clock, so that the time bounds below can't hold. The platform's rules exempt late execution from them.
		c.trackReserved(e, e.Reserved)
		return
	}
	if at, ok := c.evacuated[e.Zone]; ok && e.At > at+EvacuationBound {
		c.report(NoWorkInEvacuated, e.At, "attempt %d of task %s started on %s %v after the evacuation of zone %s", e.Attempt, e.Task, e.VM, e.At-at, e.Zone)
	}
	if t.cancelled && e.At > t.cancelledAt+CancelBound {
		c.report(NoStartCancelled, e.At, "attempt %d of task %s started on %s %v after its cancellation was acknowledged", e.Attempt, e.Task, e.VM, e.At-t.cancelledAt)
	}
	c.trackReserved(e, e.Reserved)
}

// checkResumePoint checks that an attempt resumes from a stored checkpoint that is not
// older than that of the last recorded eviction.
func (c *checker) checkResumePoint(t *taskState, e Event) {
	if e.Progress > 0 && !t.checkpoints[e.Progress.Truncate(time.Millisecond)] {
		c.report(ResumeOnce, e.At, "attempt %d of task %s resumed at %v, where no checkpoint was stored", e.Attempt, e.Task, e.Progress)
	}
	if e.Progress < t.evictedAt.Truncate(time.Millisecond) {
		c.report(ResumeOnce, e.At, "attempt %d of task %s resumed at %v, before the eviction's checkpoint at %v", e.Attempt, e.Task, e.Progress, t.evictedAt)
	}
}

func (c *checker) taskEnded(t *taskState, e Event) {
	delete(t.running, execution{e.VM, e.Attempt})
	t.ended[e.Attempt] = true
	t.succeeded = t.succeeded || e.Outcome == task.Succeeded
	t.outcomes[e.Attempt] = e.Outcome
	c.trackReserved(e, task.Resources{}.Sub(e.Reserved))
}

// trackReserved tracks the sum of the reservations on a VM as the worker sees it. Suspended
// attempts keep their reservation.
func (c *checker) trackReserved(e Event, change task.Resources) {
	c.reservedOnVM[e.VM] = c.reservedOnVM[e.VM].Add(change)
	if e.Capacity != (task.Resources{}) && !c.reservedOnVM[e.VM].Fits(e.Capacity) {
		c.report(NoOvercommit, e.At, "the attempts on VM %s reserve %+v of %+v", e.VM, c.reservedOnVM[e.VM], e.Capacity)
	}
}

func (c *checker) taskResumed(t *taskState, e Event) {
	c.attemptExecuting(t, e)
	if t.ended[e.Attempt] {
		c.report(ResumeOnce, e.At, "attempt %d of task %s was resumed on %s after it had ended", e.Attempt, e.Task, e.VM)
	}
}

func (c *checker) request(id string) *requestState {
	r, ok := c.requests[id]
	if !ok {
		r = &requestState{}
		c.requests[id] = r
	}
	return r
}

func (c *checker) applyRequest(e Event) {
	r := c.request(e.Request)
	switch e.Kind {
	case RequestSent:
		r.sent, r.payload, r.idempotent = true, e.Payload, e.Idempotent
	case RequestAdmitted:
		c.requestAdmitted(e)
	case RequestExecuted:
		c.requestExecuted(r, e)
	case RequestAnswered:
		c.requestAnswered(r, e)
	}
}

// requestAdmitted checks that no process admits work under a generation that was
// replaced more than ConfigBound ago.
func (c *checker) requestAdmitted(e Event) {
	for _, a := range c.accepted {
		if e.Generation < a.Generation && e.At > a.At+ConfigBound {
			c.report(ConfigInForceFast, e.At, "%s admitted request %s under generation %d, %v after generation %d was accepted",
				e.Process, e.Request, e.Generation, e.At-a.At, a.Generation)
			return
		}
	}
}

func (c *checker) requestExecuted(r *requestState, e Event) {
	r.executions++
	if r.sent && !r.idempotent && r.executions > 1 {
		c.report(AtMostOnce, e.At, "request %s ran %d times", e.Request, r.executions)
	}
	if r.outcome == "not_run" {
		c.report(NotRunIsTrue, e.At, "request %s ran after it was answered not-run", e.Request)
	}
	if d, ok := c.drains[e.VM]; ok && e.At > d.at+DrainBound && e.Incarnation == d.incarnation {
		c.report(NoWorkAfterDrain, e.At, "request %s ran on %s %v after its drain began", e.Request, e.VM, e.At-d.at)
	}
}

func (c *checker) requestAnswered(r *requestState, e Event) {
	if r.outcome != "" {
		c.report(OwnAnswer, e.At, "request %s was answered twice", e.Request)
	}
	r.outcome = e.Outcome
	if e.Outcome == "answer" && e.Payload != r.payload {
		c.report(OwnAnswer, e.At, "request %s got %q, not %q", e.Request, e.Payload, r.payload)
	}
	if e.Outcome == "answer" && r.executions == 0 {
		c.report(OwnAnswer, e.At, "request %s was answered but never ran", e.Request)
	}
	if e.Outcome == "not_run" && r.executions > 0 {
		c.report(NotRunIsTrue, e.At, "request %s was answered not-run after %d executions", e.Request, r.executions)
	}
}

func (c *checker) configAccepted(e Event) {
	for _, a := range c.accepted {
		if e.Generation <= a.Generation {
			c.report(ConfigNoRevert, e.At, "generation %d was accepted after generation %d", e.Generation, a.Generation)
		}
	}
	c.accepted = append(c.accepted, e)
}

func (c *checker) configInForce(e Event) {
	if e.Generation < c.generations[e.Process] {
		c.report(ConfigNoRevert, e.At, "%s went from generation %d to %d", e.Process, c.generations[e.Process], e.Generation)
	}
	c.generations[e.Process] = e.Generation
	c.inForce = append(c.inForce, e)
}

func (c *checker) finish() {
	c.finishTasks()
	c.finishRequests()
	c.finishConfig()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (c *checker) finishTasks() {
	for _, id := range sortedKeys(c.tasks) {
		t := c.tasks[id]
		if c.opt.Finished && t.accepted && t.final == "" && !c.opt.Unfinished[id] {
			c.report(NothingLost, 0, "accepted task %s has no terminal state", id)
		}
		if c.opt.Finished && t.final != "" && len(t.running) > 0 {
			c.report(NothingLost, 0, "task %s is %s but is still running", id, t.final)
		}
		if t.final == task.Succeeded && !t.succeeded {
			c.report(NothingLost, 0, "task %s is %s, but no attempt has succeeded", id, t.final)
		}
		if c.opt.Finished && t.cancelled && len(t.running) > 0 {
			c.report(CancelHolds, 0, "task %s is cancelled but is still running", id)
		}
	}
}

func (c *checker) finishRequests() {
	for _, id := range sortedKeys(c.requests) {
		if r := c.requests[id]; c.opt.Finished && r.sent && r.outcome == "" {
			c.report(NothingLost, 0, "request %s was never answered", id)
		}
	}
}

func (c *checker) finishConfig() {
	for _, a := range c.accepted {
		for _, p := range c.opt.Processes {
			if !c.inForceBy(p, a) {
				c.report(ConfigInForceFast, a.At, "generation %d was not in force in %s within %v", a.Generation, p, ConfigBound)
			}
		}
	}
}

func (c *checker) inForceBy(process string, accepted Event) bool {
	for _, e := range c.inForce {
		if e.Process == process && e.Generation >= accepted.Generation && e.At <= accepted.At+ConfigBound {
			return true
		}
	}
	return false
}
