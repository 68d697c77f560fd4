package history

import (
	"fmt"
	"sort"
	"time"
)

// Invariant identifies a rule that must always hold.
type Invariant string

// The invariants, in the order of reports.
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
)

// Invariants lists all invariants.
func Invariants() []Invariant {
	return []Invariant{NoOvercommit, NoDoubleRun, ResumeOnce, OwnAnswer, NotRunIsTrue, AtMostOnce,
		NoWorkAfterDrain, GracefulStop, ConfigInForceFast, ConfigNoRevert, NothingLost}
}

// Bounds of timed invariants.
const (
	DrainBound  = 2 * time.Second
	ConfigBound = 3 * time.Second
)

// Violation is one broken invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// Options select checks that only apply at the end of a run.
type Options struct {
	// Finished is true when all accepted finite tasks must have reached a terminal state.
	Finished bool
	// Unfinished lists tasks that are allowed to be still running, for example watchers.
	Unfinished map[string]bool
	// Processes lists the processes in which an accepted generation must be in force.
	Processes []string
}

// Check returns the violations found in events.
func Check(events []Event, opt Options) []Violation {
	c := &checker{opt: opt, requests: make(map[string]*requestState), tasks: make(map[string]*taskState),
		drained: make(map[string]time.Duration), generations: make(map[string]uint64)}
	for _, e := range events {
		c.step(e)
	}
	c.finish()
	return c.violations
}

type requestState struct {
	payload    string
	idempotent bool
	executions int
	outcome    string
}

type taskState struct {
	accepted  bool
	running   map[string]uint32
	attempts  map[uint32]int
	completed int
	terminal  int
}

type checker struct {
	opt         Options
	violations  []Violation
	requests    map[string]*requestState
	tasks       map[string]*taskState
	drained     map[string]time.Duration
	generations map[string]uint64
	accepted    []Event
	inForce     []Event
}

func (c *checker) report(inv Invariant, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: inv, At: at, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) step(e Event) {
	switch e.Kind {
	case TaskAccepted, TaskRunStart, TaskRunEnd, TaskSuspended, TaskResumed, TaskCompleted, TaskTerminal:
		c.stepTask(e)
	case Commitment:
		if !e.Reserved.Fits(e.Capacity) {
			c.report(NoOvercommit, e.At, "VM %s reserves %+v of %+v", e.VM, e.Reserved, e.Capacity)
		}
	case RequestSent, RequestExecuted, RequestAnswered:
		c.stepRequest(e)
	case DrainBegan:
		c.drained[vmKey(e)] = e.At
	case ConfigAccepted:
		c.accepted = append(c.accepted, e)
	case ConfigInForce:
		c.stepConfig(e)
	case RequestCut:
		c.report(GracefulStop, e.At, "request %s was cut off by a planned stop of %s", e.Request, e.Process)
	}
}

func vmKey(e Event) string { return fmt.Sprintf("%s/%d", e.VM, e.Incarnation) }

func (c *checker) task(id string) *taskState {
	t, ok := c.tasks[id]
	if !ok {
		t = &taskState{running: make(map[string]uint32), attempts: make(map[uint32]int)}
		c.tasks[id] = t
	}
	return t
}

func (c *checker) stepTask(e Event) {
	t := c.task(e.Task)
	switch e.Kind {
	case TaskAccepted:
		t.accepted = true
	case TaskRunStart:
		c.taskStarted(t, e)
	case TaskRunEnd, TaskSuspended:
		delete(t.running, e.VM)
	case TaskResumed:
		c.taskExecutes(t, e)
	case TaskCompleted:
		t.completed++
		if t.completed+t.terminal > 1 {
			c.report(NothingLost, e.At, "task %s reached %d terminal states", e.Task, t.completed+t.terminal)
		}
	case TaskTerminal:
		t.terminal++
		if t.completed+t.terminal > 1 {
			c.report(NothingLost, e.At, "task %s reached %d terminal states", e.Task, t.completed+t.terminal)
		}
	}
}

func (c *checker) taskExecutes(t *taskState, e Event) {
	for vm := range t.running {
		if vm != e.VM {
			c.report(NoDoubleRun, e.At, "task %s runs on %s and %s", e.Task, vm, e.VM)
		}
	}
	t.running[e.VM] = e.Attempt
}

func (c *checker) taskStarted(t *taskState, e Event) {
	c.taskExecutes(t, e)
	if t.completed+t.terminal > 0 {
		c.report(NothingLost, e.At, "task %s started after its terminal state", e.Task)
	}
	t.attempts[e.Attempt]++
	if t.attempts[e.Attempt] > 1 {
		c.report(ResumeOnce, e.At, "attempt %d of task %s started %d times", e.Attempt, e.Task, t.attempts[e.Attempt])
	}
	if at, ok := c.drained[vmKey(e)]; ok && e.At > at+DrainBound {
		c.report(NoWorkAfterDrain, e.At, "task %s started on %s %v after its drain began", e.Task, e.VM, e.At-at)
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

func (c *checker) stepRequest(e Event) {
	r := c.request(e.Request)
	switch e.Kind {
	case RequestSent:
		r.payload, r.idempotent = e.Payload, e.Idempotent
	case RequestExecuted:
		r.executions++
		if !r.idempotent && r.executions > 1 {
			c.report(AtMostOnce, e.At, "request %s ran %d times", e.Request, r.executions)
		}
		if r.outcome == "not_run" {
			c.report(NotRunIsTrue, e.At, "request %s ran after it was answered not-run", e.Request)
		}
		if at, ok := c.drained[vmKey(e)]; ok && e.At > at+DrainBound {
			c.report(NoWorkAfterDrain, e.At, "request %s ran on %s %v after its drain began", e.Request, e.VM, e.At-at)
		}
	case RequestAnswered:
		c.requestAnswered(r, e)
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
	if e.Outcome == "not_run" && r.executions > 0 {
		c.report(NotRunIsTrue, e.At, "request %s was answered not-run after %d executions", e.Request, r.executions)
	}
}

func (c *checker) stepConfig(e Event) {
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

func (c *checker) finishTasks() {
	if !c.opt.Finished {
		return
	}
	ids := make([]string, 0, len(c.tasks))
	for id := range c.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if t := c.tasks[id]; t.accepted && t.completed+t.terminal == 0 && !c.opt.Unfinished[id] {
			c.report(NothingLost, 0, "accepted task %s has no terminal state", id)
		}
	}
}

func (c *checker) finishRequests() {
	if !c.opt.Finished {
		return
	}
	ids := make([]string, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if c.requests[id].outcome == "" {
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
