package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// fixture drives an owner against executors that tests control. Commits succeed
// when the test says so.
type fixture struct {
	t     *testing.T
	owner *Owner
	now   time.Duration
	mails []Mail
	rows  map[string][]byte
}

const testEpoch = 3

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, now: time.Hour, rows: make(map[string][]byte)}
	f.owner = f.newOwner(testEpoch)
	return f
}

func testBounds() Bounds {
	return Bounds{Lease: 4 * time.Second, Consent: 2 * time.Second, EarlierOwner: 2 * time.Second, StoreLoss: 15 * time.Second,
		StopTimeout: 200 * time.Millisecond, Retention: time.Hour}
}

func (f *fixture) newOwner(epoch uint64) *Owner {
	return New(testBounds(), epoch, f.now, func(now time.Duration) int64 { return now.Milliseconds() }, zerolog.Nop())
}

// executor reports an executor with the running and ended runs.
func (f *fixture) executor(id string, running []executor.Run, ended ...executor.End) {
	f.owner.Report(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-" + id, Info: testInfo(id, f.now), Full: true,
		Running: running, Ended: ended}, f.now)
}

func testInfo(id string, now time.Duration) executor.Info {
	return executor.Info{Incarnation: submission.Incarnation{ID: id, StartedAt: 1}, Service: "pool", Address: id + ":1", Rack: "r1",
		Capacity: task.Resources{CPU: 4000, Memory: 8000}, Clock: now.Milliseconds()}
}

func (f *fixture) add(s *submission.Submission) {
	f.t.Helper()
	assert.NilError(f.t, s.Validate())
	assert.NilError(f.t, f.owner.Add(s, f.rows[ProgressKey(s.ID)], f.now))
}

// turn runs the systems and commits.
func (f *fixture) turn() {
	f.t.Helper()
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(f.t, err)
	f.commit(b)
}

func (f *fixture) commit(b *Batch) {
	for _, w := range b.Writes {
		f.rows[w.Key] = w.Value
	}
	f.owner.Committed(b, f.now, f.now)
	f.mails = append(f.mails, f.owner.Flush(f.now, true)...)
}

// starts returns the runs that were ordered, as task#run@executor.
func (f *fixture) starts() []string {
	var out []string
	for _, m := range f.mails {
		for _, s := range m.Orders.Starts {
			out = append(out, fmt.Sprintf("%s#%d@%s", s.Task, s.Run, m.Orders.Executor))
		}
	}
	return out
}

func (f *fixture) stops() []string {
	var out []string
	for _, m := range f.mails {
		for _, s := range m.Orders.Stops {
			out = append(out, fmt.Sprintf("%s#%d@%s", s.Task, s.Run, m.Orders.Executor))
		}
	}
	return out
}

// lastSeen returns the highest acknowledged end of an executor.
func (f *fixture) lastSeen(id string) int64 {
	last := int64(0)
	for _, m := range f.mails {
		if m.Orders.Executor == id {
			last = max(last, m.Orders.LastSeen)
		}
	}
	return last
}

// answer tells the owner that the executor has confirmed a start.
func (f *fixture) answer(id, name string, run uint32, o executor.Outcome, r executor.Reason) {
	f.owner.Results(&wire.OrderResults{Epoch: f.owner.Epoch(), Executor: id, Born: 1,
		Results: []wire.OrderResult{{Task: name, Run: run, Outcome: o, Reason: r}}}, f.now)
}

const testID = "00000000000000aa"

func testSubmission(steps ...submission.Step) *submission.Submission {
	return &submission.Submission{ID: testID, Queue: "q", Service: "pool", Specification: "x", Steps: steps, MaxAttempts: 2, Accepted: time.Hour.Milliseconds()}
}

func testStep(count int, dependsOn ...int) submission.Step {
	return submission.Step{Count: count, Request: task.Resources{CPU: 1000, Memory: 100}, DependsOn: dependsOn, Estimate: time.Second}
}

func name(step, index int) string { return fmt.Sprintf("%s.0.%d.%d", testID, step, index) }

// A start that is sent before its record is durable could run beside the start
// of the next owner.
func TestStartIsSentOnlyAfterItsCommit(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.mails = append(f.mails, f.owner.Flush(f.now, true)...)
	assert.Equal(t, len(f.starts()), 0)
	f.commit(b)
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#1@e1"})
}

// An end that the executor forgets before it is durable would be lost with the owner.
func TestEndIsAcknowledgedOnlyAfterItsCommit(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Done})
	f.mails = append(f.mails, f.owner.Flush(f.now, true)...)
	assert.Equal(t, f.lastSeen("e1"), int64(0))
	state, _ := f.owner.State(testID)
	assert.Assert(t, state != submission.Completed, "the final state is shown before it is durable")
	f.turn()
	assert.Equal(t, f.lastSeen("e1"), int64(1))
	state, _ = f.owner.State(testID)
	assert.Equal(t, state, submission.Completed)
}

// A step must not start before all tasks of the steps it depends on are done.
func TestDependentStepWaitsForAllTasks(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(2), testStep(1, 0)))
	f.turn()
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Done})
	f.turn()
	assert.Equal(t, len(f.starts()), 2)
	f.executor("e1", nil, executor.End{Number: 2, Task: name(0, 1), Run: 1, Cause: executor.Done})
	f.turn()
	assert.DeepEqual(t, f.starts()[2:], []string{name(1, 0) + "#1@e1"})
}

// A new owner must not start a task again that still runs, or whose end waits at its executor.
func TestNewOwnerAdoptsRunsAndEnds(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(2))
	f.add(s)
	f.turn()
	f.mails = nil
	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	f.turn()
	f.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1}}, executor.End{Number: 1, Task: name(0, 1), Run: 1, Cause: executor.Done})
	f.now += 10 * time.Second
	f.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1}})
	f.turn()
	assert.Equal(t, len(f.starts()), 0)
	f.executor("e1", nil, executor.End{Number: 2, Task: name(0, 0), Run: 1, Cause: executor.Done})
	f.turn()
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Completed)
}

// A recorded start that the executor does not know under the new epoch can never
// begin; leaving it assigned would stop the submission for good.
func TestNewOwnerRestartsRecordedRunThatNeverStarted(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(1))
	f.add(s)
	f.turn()
	f.mails = nil
	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	f.executor("e1", nil)
	f.turn()
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#2@e1"})
}

// The runs of an executor that is silent may go on until its lease has surely
// ended on a clock that is 2% slow; an earlier restart would run a task twice.
func TestSilentExecutorKeepsItsTasksUntilItsLeaseHasEnded(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	f.answer("e1", name(0, 0), 1, executor.OK, executor.ReasonNone)
	f.owner.AgentLost("agent-e1")
	f.executor("e2", nil)
	f.now += time.Duration(float64(testBounds().Lease) / clockRate)
	f.executor("e2", nil)
	f.turn()
	assert.Equal(t, len(f.starts()), 1)
	f.now += leaseMargin + time.Millisecond
	f.turn()
	assert.DeepEqual(t, f.starts()[1:], []string{name(0, 0) + "#2@e2"})
}

// A new owner does not know the leases of the owner before; it has to wait as
// long as that one may have extended them.
func TestNewOwnerWaitsForLeasesOfTheOwnerBefore(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(1))
	f.add(s)
	f.turn()
	f.mails = nil
	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	f.executor("e2", nil)
	f.now += testBounds().EarlierOwner + testBounds().Lease
	f.executor("e2", nil)
	f.turn()
	assert.Equal(t, len(f.starts()), 0)
	f.now += time.Second
	f.executor("e2", nil)
	f.turn()
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#2@e2"})
}

// An owner that neither commits nor has the consent of the others must not extend leases.
func TestLeasesAreNotExtendedWithoutCommitOrConsent(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.turn()
	granted := f.mails[len(f.mails)-1].Orders.LeaseEnd
	f.now += testBounds().Consent
	f.executor("e1", nil)
	assert.Equal(t, f.owner.Flush(f.now, true)[0].Orders.LeaseEnd, granted)
	f.owner.Consent(f.now)
	assert.Assert(t, f.owner.Flush(f.now, true)[0].Orders.LeaseEnd > granted)
	f.now += testBounds().StoreLoss
	f.executor("e1", nil)
	f.owner.Consent(f.now)
	before := f.owner.Flush(f.now, true)[0].Orders.LeaseEnd
	f.now += time.Second
	f.executor("e1", nil)
	f.owner.Consent(f.now)
	assert.Equal(t, f.owner.Flush(f.now, true)[0].Orders.LeaseEnd, before)
}

// A cancelled submission must stop what runs and start nothing more.
func TestCancelStopsRunsAndStartsNothing(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1), testStep(3, 0)))
	f.turn()
	f.answer("e1", name(0, 0), 1, executor.OK, executor.ReasonNone)
	f.owner.Cancel(testID, f.now)
	f.turn()
	assert.DeepEqual(t, f.stops(), []string{name(0, 0) + "#1@e1"})
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Done})
	f.turn()
	assert.Equal(t, len(f.starts()), 1)
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Cancelled)
}

// A task that has failed as often as its queue allows must not start again.
func TestAttemptsAreBounded(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Failed})
	f.turn()
	f.executor("e1", nil, executor.End{Number: 2, Task: name(0, 0), Run: 2, Cause: executor.Failed})
	f.turn()
	f.turn()
	assert.Equal(t, len(f.starts()), 2)
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Failed)
}

// A long-running task is started again however it ends, without a bound on its attempts.
func TestLongRunningTaskIsRestartedHoweverItEnds(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	step := testStep(1)
	step.LongRunning = true
	f.add(testSubmission(step))
	f.turn()
	causes := []executor.EndCause{executor.Failed, executor.Done, executor.Failed, executor.Failed, executor.LeaseExpired}
	for i, cause := range causes {
		f.executor("e1", nil, executor.End{Number: int64(i + 1), Task: name(0, 0), Run: uint32(i + 1), Cause: cause})
		f.turn()
	}
	assert.Equal(t, len(f.starts()), len(causes)+1)
}

// A start carries the checkpoint of the run before.
func TestRestartCarriesTheLastCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	step := testStep(1)
	step.Checkpoints = true
	f.add(testSubmission(step))
	f.turn()
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Stopped, Checkpoint: "c1"})
	f.turn()
	last := f.mails[len(f.mails)-1].Orders.Starts
	assert.Equal(t, last[0].Checkpoint, "c1")
}

// Reservations must never exceed an executor's capacity, and a stopped run counts until its end is listed.
func TestCapacityIsKeptUntilEndsAreListed(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(6)))
	f.turn()
	assert.Equal(t, len(f.starts()), 4)
	var running []executor.Run
	for i := range 4 {
		f.answer("e1", name(0, i), 1, executor.OK, executor.ReasonNone)
		running = append(running, executor.Run{Task: name(0, i), Number: 1})
	}
	f.owner.stop(f.owner.find(name(0, 0)), f.now)
	f.executor("e1", running)
	f.turn()
	assert.Equal(t, len(f.starts()), 4)
	f.executor("e1", running[1:], executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Stopped})
	f.turn()
	assert.Equal(t, len(f.starts()), 5)
}

// The bound on tasks of a step on one executor holds over all placements.
func TestAntiAffinityIsKept(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.executor("e2", nil)
	step := testStep(4)
	step.MaxPerExecutor = 1
	f.add(testSubmission(step))
	f.turn()
	f.turn()
	assert.Equal(t, len(f.starts()), 2)
}

// A draining executor gets no task.
func TestDrainingExecutorGetsNoTask(t *testing.T) {
	f := newFixture(t)
	info := testInfo("e1", f.now)
	info.Draining = true
	f.owner.Report(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: info, Full: true}, f.now)
	f.add(testSubmission(testStep(1)))
	f.turn()
	assert.Equal(t, len(f.starts()), 0)
}

// The members of a gang start together with one run number, or not at all.
func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	step := testStep(5)
	step.Gang = true
	f.add(testSubmission(step))
	f.turn()
	assert.Equal(t, len(f.starts()), 0)
	f.executor("e2", nil)
	f.turn()
	assert.Equal(t, len(f.starts()), 5)
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Done})
	f.turn()
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Completed)
}

// An occurrence must not start before its time.
func TestOccurrencesStartWhenDue(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(1))
	s.Occurrences, s.FirstStart, s.Interval = 2, (f.now + time.Second).Milliseconds(), time.Second
	f.add(s)
	f.turn()
	assert.Equal(t, len(f.starts()), 0)
	for range 2 {
		f.now += time.Second
		f.executor("e1", nil)
		f.turn()
	}
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#1@e1", testID + ".1.0.0#1@e1"})
}

// A lifetime that follows at the same address proves that the earlier one has
// ended; its tasks restart without waiting for the lease.
func TestNewLifetimeFreesTasksOfTheEarlierOne(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	f.answer("e1", name(0, 0), 1, executor.OK, executor.ReasonNone)
	reborn := testInfo("e1", f.now)
	reborn.StartedAt = 2
	f.owner.Report(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: reborn, Full: true}, f.now)
	f.turn()
	assert.DeepEqual(t, f.starts()[1:], []string{name(0, 0) + "#2@e1"})
}

// The next lifetime under an id may carry out a start that was meant for the one
// before. Its end counts: another run of the task would be a second one.
func TestEndListedByTheNextLifetimeCounts(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	reborn := testInfo("e1", f.now)
	reborn.StartedAt = 2
	f.owner.Report(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: reborn, Full: true,
		Ended: []executor.End{{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Done}}}, f.now)
	f.turn()
	assert.Equal(t, len(f.starts()), 1, "%v", f.starts())
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Completed)
}

// After a loss of power executors come back under other ids. A new owner knows
// the earlier lifetimes only from the records, and must not wait for their leases
// when another lifetime answers at the same address.
func TestNewOwnerFreesTasksOfLifetimesReplacedAtTheirAddress(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(1))
	f.add(s)
	f.turn()
	f.mails = nil
	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	reborn := testInfo("e9", f.now)
	reborn.Address, reborn.StartedAt = testInfo("e1", f.now).Address, 2
	f.owner.Report(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-e1", Info: reborn, Full: true}, f.now)
	f.turn()
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#2@e9"})
}

// A task that fills must not be added where a task that serves is late beside
// others that fill; a task that fills nothing may.
func TestNoTaskThatFillsIsAddedWhereOneThatServesIsLate(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	serving := testStep(1)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 50*time.Millisecond, "s"
	first := testStep(1)
	first.BestEffort, first.Image, first.Request.CPU = true, "f", 400
	f.add(testSubmission(serving, first))
	f.turn()
	assert.Equal(t, len(f.starts()), 2)
	f.now += time.Second
	f.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: 100, Load: 200}, {Task: name(1, 0), Number: 1, ProgressPercent: 5, Load: 1000}})
	more := testStep(1)
	more.BestEffort, more.Image = true, "g"
	s := testSubmission(more, testStep(1))
	s.ID = "00000000000000ab"
	f.add(s)
	f.turn()
	assert.DeepEqual(t, f.starts()[2:], []string{s.ID + ".0.1.0#1@e1"})
}

// A stop of a long-running task that is at work counts against its disruption
// budget; it is paced where it harms, as any task that fills, but not moved.
func TestLongRunningTaskThatFillsIsPacedAndNotMoved(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	serving := testStep(1)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 50*time.Millisecond, "s"
	filling := testStep(1)
	filling.LongRunning, filling.BestEffort, filling.Checkpoints, filling.Image, filling.Request.CPU = true, true, true, "f", 400
	f.add(testSubmission(serving, filling))
	f.turn()
	assert.Equal(t, len(f.starts()), 2)
	f.executor("e2", nil)
	for range 12 {
		f.now += 700 * time.Millisecond
		f.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: 100, Load: 200}, {Task: name(1, 0), Number: 1, ProgressPercent: 100, Load: 1000}})
		f.executor("e2", nil)
		f.turn()
	}
	paces := 0
	for _, m := range f.mails {
		paces += len(m.Orders.Paces)
	}
	assert.Assert(t, paces > 0, "a task that serves is late, and what fills beside it works on at full pace")
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
}

// A run that stands still on a faulty executor must go on elsewhere.
func TestStuckRunIsMoved(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	f.executor("e2", nil)
	stuck := []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: 7}}
	for range 4 {
		f.executor("e1", stuck)
		f.executor("e2", nil)
		f.turn()
		f.now += 700 * time.Millisecond
	}
	assert.DeepEqual(t, f.stops()[:1], []string{name(0, 0) + "#1@e1"})
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Stopped})
	f.turn()
	assert.DeepEqual(t, f.starts()[1:], []string{name(0, 0) + "#2@e2"})
}

// A run that is paced down or makes progress is not stuck.
func TestProgressIsNotTakenForStuck(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	for i := range 10 {
		f.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: i}})
		f.turn()
		f.now += 700 * time.Millisecond
	}
	assert.Equal(t, len(f.stops()), 0)
}
