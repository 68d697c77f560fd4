package histories

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystand/chicorystand/standin"
	"github.com/chicorystand/chicorystand/submission"
	"github.com/chicorystand/chicorystand/task"
)

const (
	// trafficTime is the time in which submissions arrive and faults begin.
	trafficTime = 20 * time.Second
	maxAttempts = 3
)

// request is a submission that a client hands in at a time, and cancels later when cancelAfter is not 0.
type request struct {
	at          time.Duration
	sub         submission.Submission
	cancelAfter time.Duration
	entry       int
}

// faultKind is a kind of trouble.
type faultKind string

// Kinds of faults. A target is the number of an entry or of an executor.
const (
	killEntry      faultKind = "entry is killed"
	killAll        faultKind = "all processes are killed"
	cutEntryStore  faultKind = "entry is cut off from the store"
	cutEntry       faultKind = "entry is cut off from all processes"
	killAgent      faultKind = "agent is killed"
	cutAgent       faultKind = "agent is cut off from all processes"
	crashExecutor  faultKind = "executor crashes"
	rebirth        faultKind = "executor starts again under its id"
	muteExecutor   faultKind = "executor answers nothing"
	busyExecutor   faultKind = "executor refuses all orders"
	lostOrders     faultKind = "orders are carried out and not answered"
	lateOrders     faultKind = "orders are carried out late"
	failingRuns    faultKind = "executor fails all that it starts"
	storeDown      faultKind = "store is down"
	storeSlow      faultKind = "store is slow"
	storeLoses     faultKind = "store loses answers"
	storeDelays    faultKind = "store carries out writes late"
	storeForgets   faultKind = "store drops its history"
	drainExecutors faultKind = "executor drains and is replaced"
)

var faultKinds = []faultKind{killEntry, killAll, cutEntryStore, cutEntry, killAgent, cutAgent, crashExecutor, rebirth, muteExecutor,
	busyExecutor, lostOrders, lateOrders, failingRuns, storeDown, storeSlow, storeLoses, storeDelays, storeForgets, drainExecutors}

// fault is one trouble of a plan.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	target    int
	amount    int
}

func (f fault) String() string {
	return fmt.Sprintf("%v for %v: %s (target %d, amount %d)", f.at, f.lasts, f.kind, f.target, f.amount)
}

// plan is the work and the troubles of one run.
type plan struct {
	requests []request
	faults   []fault
	works    map[string]standin.Work
}

func milliseconds(t *rapid.T, label string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(from.Milliseconds(), to.Milliseconds()).Draw(t, label)) * time.Millisecond
}

func drawPlan(t *rapid.T) plan {
	p := plan{works: make(map[string]standin.Work)}
	for i := range rapid.IntRange(4, 12).Draw(t, "submissions") {
		p.requests = append(p.requests, drawRequest(t, i, p.works))
	}
	for range rapid.IntRange(1, 6).Draw(t, "faults") {
		p.faults = append(p.faults, fault{at: milliseconds(t, "at", time.Second, trafficTime), lasts: milliseconds(t, "lasts", 200*time.Millisecond, 7*time.Second),
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"), target: rapid.IntRange(0, executorCount-1).Draw(t, "target"),
			amount: rapid.IntRange(1, 5).Draw(t, "amount")})
	}
	return p
}

func drawRequest(t *rapid.T, number int, works map[string]standin.Work) request {
	s := submission.Submission{ID: fmt.Sprintf("%016x", 0xa0+number), Specification: "x"}
	lasts := rapid.IntRange(0, 5).Draw(t, "long-running") == 0
	steps := 1
	if !lasts {
		steps = rapid.IntRange(1, 3).Draw(t, "steps")
	}
	for i := range steps {
		s.Steps = append(s.Steps, drawStep(t, i, lasts))
	}
	r := request{at: milliseconds(t, "handed in", 500*time.Millisecond, trafficTime), sub: s, entry: rapid.IntRange(0, entryCount-1).Draw(t, "entry")}
	if lasts || rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
		r.cancelAfter = milliseconds(t, "cancelled after", 100*time.Millisecond, 12*time.Second)
	}
	for i := range s.Steps {
		drawWorks(t, &s, i, works)
	}
	return r
}

func drawStep(t *rapid.T, number int, lasts bool) submission.Step {
	step := submission.Step{Count: rapid.IntRange(1, 5).Draw(t, "tasks"), LongRunning: lasts,
		Request:     task.Resources{CPU: rapid.Int64Range(200, 1500).Draw(t, "processors"), Memory: rapid.Int64Range(100, 2000).Draw(t, "memory")},
		Checkpoints: rapid.Bool().Draw(t, "checkpoints"), Estimate: milliseconds(t, "estimate", 300*time.Millisecond, 4*time.Second)}
	if number > 0 && rapid.Bool().Draw(t, "depends") {
		step.DependsOn = []int{rapid.IntRange(0, number-1).Draw(t, "on")}
	}
	if rapid.IntRange(0, 3).Draw(t, "spread") == 0 {
		step.MaxPerExecutor = rapid.IntRange(1, 2).Draw(t, "per executor")
		step.Count = min(step.Count, step.MaxPerExecutor*executorCount)
	}
	return step
}

// drawWorks decides what the tasks of a step really do.
func drawWorks(t *rapid.T, s *submission.Submission, number int, works map[string]standin.Work) {
	step := &s.Steps[number]
	for i := range step.Count {
		name := s.Name(submission.TaskID{Step: number, Index: i})
		works[name] = standin.Work{Request: step.Request, Lasts: step.LongRunning, Checkpoints: step.Checkpoints,
			Duration: milliseconds(t, "work", 200*time.Millisecond, 5*time.Second), Fails: rapid.IntRange(0, 40).Draw(t, "fails") == 0}
	}
}
