package dispatch

import (
	"maps"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// largeExecutor reports an executor with room for all tasks of a test.
func (f *fixture) largeExecutor(id string, running []executor.Run, ended ...executor.End) {
	info := testInfo(id, f.now)
	info.Capacity = task.Resources{CPU: 1 << 40, Memory: 1 << 40}
	f.owner.ApplyReport(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-" + id, Info: info, FullSnapshot: true, Running: running, Ended: ended}, f.now)
}

// yearlySchedule returns a submission of two steps of eight tasks each night for a year, of which all nights are due.
func yearlySchedule() *submission.Submission {
	s := testSubmission(testStep(8), testStep(8, 0))
	s.Occurrences = 365
	return s
}

// Guards against a record that grows with the tasks of a submission until the store refuses it, which it does without end.
func TestRecordOfLargeScheduleFitsIntoRows(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	s := yearlySchedule()
	f.add(s)
	for range 4 {
		f.pass()
	}
	assert.Equal(t, len(f.starts()), s.Occurrences*8)

	var ended []executor.End
	n := int64(0)
	for k := range s.Occurrences {
		for i := range 8 {
			n++
			ended = append(ended, executor.End{Number: n, Task: s.Name(submission.TaskID{Occurrence: k, Index: i}), Run: 1, Cause: executor.Stopped,
				Checkpoint: strings.Repeat("c", 2000)})
		}
	}
	f.messages = nil
	f.largeExecutor("e1", nil, ended...)
	for range 4 {
		f.pass()
	}
	assert.Equal(t, len(f.starts()), s.Occurrences*8)
}

// doneTasks returns the names of the tasks that are done in the owner's tables.
func (f *fixture) doneTasks() []string {
	var done []string
	for _, j := range f.owner.jobs[testID].tasks {
		if j.rec.State == submission.TaskDone {
			done = append(done, j.name())
		}
	}
	return done
}

// Guards against a new owner that runs tasks again whose ends are in the later parts of a record.
func TestNewOwnerReadsAllPartsOfRecord(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	s := testSubmission(testStep(3 * partTasks))
	f.add(s)
	f.pass()
	var ended []executor.End
	for i := 5; i < 3*partTasks; i += partTasks {
		ended = append(ended, executor.End{Number: int64(i), Task: name(0, i), Run: 1, Cause: executor.Done})
	}
	f.largeExecutor("e1", nil, ended...)
	f.pass()
	done := f.doneTasks()
	assert.Equal(t, len(done), 3)

	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	assert.DeepEqual(t, f.doneTasks(), done)
	assert.Equal(t, f.owner.jobs[testID].tasks[0].rec.Run, uint32(1))
}

// Guards against rewriting all rows of a large submission for a change of one task.
func TestOnlyChangedPartsAreWritten(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.add(testSubmission(testStep(3 * partTasks)))
	f.pass()
	f.largeExecutor("e1", nil, executor.End{Number: 1, Task: name(0, partTasks), Run: 1, Cause: executor.Done})
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Writes()), 1)
	assert.Equal(t, b.Writes()[0].Key, ProgressKey(testID)+"/1")
}

// Guards against a later part without the first one, which a reader takes for a submission that has not started.
func TestFirstPartIsWrittenBeforeOthers(t *testing.T) {
	f := newFixture(t)
	f.add(testSubmission(testStep(3 * partTasks)))
	j := f.owner.jobs[testID]
	f.owner.markDirty(j.tasks[2*partTasks])
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Writes()), 2)
	assert.Equal(t, b.Writes()[0].Key, ProgressKey(testID))
}

// Guards against a record of an earlier build, in one row, that is lost or read in part while it is divided.
func TestUndividedRecordIsDividedWithoutLoss(t *testing.T) {
	const tasks = 3*partTasks - 7
	r := submission.Record{State: submission.Running, Tasks: make([]submission.TaskRecord, tasks)}
	for i := 0; i < tasks; i += 10 {
		r.Tasks[i] = submission.TaskRecord{State: submission.TaskDone, Run: 2}
	}
	encoded, err := r.Encode()
	assert.NilError(t, err)
	f := newFixture(t)
	f.rows[ProgressKey(testID)] = encoded
	s := testSubmission(testStep(tasks))
	f.add(s)
	done := f.doneTasks()
	assert.Equal(t, len(done), (tasks+9)/10)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Writes()), 3)

	for written := range len(b.Writes()) + 1 {
		next := newFixture(t)
		next.rows = maps.Clone(f.rows)
		for _, w := range b.Writes()[:written] {
			next.rows[w.Key] = w.Value
		}
		next.add(s)
		assert.DeepEqual(t, next.doneTasks(), done)
	}
	f.commit(b)
	assert.Assert(t, !f.owner.Dirty())
}

// Guards against a gang of which a part starts and waits for the others, since their records did not fit the commit.
func TestGangStartsOnceAllItsPartsAreCommitted(t *testing.T) {
	for others := maxBatchWrites - 2; others <= maxBatchWrites; others++ {
		f := newFixture(t)
		f.largeExecutor("e1", nil)
		f.addMany(others)
		f.owner.Tick(f.now)
		step := testStep(2 * partTasks)
		step.Gang = true
		f.add(testSubmission(step))
		for range 3 {
			f.messages = nil
			f.pass()
			members := 0
			for _, start := range f.starts() {
				if strings.HasPrefix(start, testID) {
					members++
				}
			}
			assert.Assert(t, members == 0 || members == step.Count, "%d of %d members start with one commit", members, step.Count)
		}
		assert.Equal(t, f.owner.jobs[testID].tasks[0].phase, phaseStartSent)
	}
}

// Guards against a submission without an end, whose owner failed between the commits of its last tasks and of its state.
func TestNewOwnerEndsSubmissionWhoseTasksHaveEnded(t *testing.T) {
	for last, want := range map[submission.TaskState]submission.State{submission.TaskDone: submission.Completed, submission.TaskFailed: submission.Failed} {
		f := newFixture(t)
		r := submission.Record{State: submission.Running, Tasks: []submission.TaskRecord{{State: submission.TaskDone}, {State: last}}}
		encoded, err := r.Encode()
		assert.NilError(t, err)
		f.rows[ProgressKey(testID)] = encoded
		f.add(testSubmission(testStep(2)))
		f.pass()
		state, known := f.owner.State(testID)
		assert.Assert(t, known)
		assert.Equal(t, state, want)
	}
}

// Guards against rows of a divided record that stay in the store for ever.
func TestAllPartsOfEndedSubmissionAreRemoved(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.add(testSubmission(testStep(3 * partTasks)))
	f.rows[WorkKey(testID)] = nil
	f.pass()
	f.largeExecutor("e1", nil)
	f.owner.Cancel(testID, f.now)
	for range 3 {
		f.pass()
		f.now += testBounds().StopTimeout + settleTime
		f.owner.ApplyOrderResults(stopResults(f), f.now)
		f.largeExecutor("e1", nil)
	}
	f.now += testBounds().Retention + time.Second
	f.pass()
	f.pass()
	for key := range f.rows {
		assert.Assert(t, key == ContentionModelKey, "row %s is left", key)
	}
}

// stopResults returns the replies to all stops that were sent.
func stopResults(f *fixture) *wire.OrderResults {
	r := &wire.OrderResults{Epoch: f.owner.Epoch(), Executor: "e1", StartedAt: 1}
	for _, m := range f.messages {
		for _, s := range m.Orders.Stops {
			r.Results = append(r.Results, wire.OrderResult{Task: s.Task, Run: s.Run, Stop: true})
		}
	}
	return r
}
