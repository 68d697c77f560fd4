package dispatch

import (
	"encoding/base64"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// busyFixture has more submissions than a batch holds. Their tasks fail as soon as they have started.
type busyFixture struct {
	*fixture
	ids     []string
	reports int
	lastEnd int64
	// ended holds all ends that were reported.
	ended []executor.End
}

func newBusyFixture(t *testing.T, submissions int) *busyFixture {
	t.Helper()
	f := &busyFixture{fixture: newFixture(t)}
	f.report()
	for i := range submissions {
		s := testSubmission(testStep(1))
		s.ID, s.MaxAttempts = fmt.Sprintf("%016x", i+1), 0
		f.add(s)
		f.ids = append(f.ids, s.ID)
	}
	return f
}

// report reports the executor with the ends of all runs that were ordered since the last report.
func (f *busyFixture) report() {
	info := testInfo("e1", f.now)
	info.Capacity = task.Resources{CPU: 10_000_000, Memory: 10_000_000}
	r := &wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: info, FullSnapshot: f.reports == 0}
	for _, m := range f.messages {
		for _, s := range m.Orders.Starts {
			f.lastEnd++
			r.Ended = append(r.Ended, executor.End{Number: f.lastEnd, Task: s.Task, Run: s.Run, Cause: executor.Failed})
		}
	}
	f.ended = append(f.ended, r.Ended...)
	f.reports++
	f.messages = nil
	f.owner.ApplyReport(r, f.now)
}

// Guards against a submission whose record is never committed, since those of others change again and are written first.
func TestNoRecordWaitsForOthersThatChangeAgain(t *testing.T) {
	f := newBusyFixture(t, 3*maxBatchWrites)
	started := make(map[string]bool)
	for range 8 {
		f.pass()
		for _, m := range f.messages {
			for _, s := range m.Orders.Starts {
				started[s.Task] = true
			}
		}
		f.report()
	}
	assert.Equal(t, len(started), len(f.ids))
}

// Guards against ends that are never acknowledged, and ends behind them that are never listed, while many records change.
func TestEndsAreAcknowledgedWhileMoreRecordsChangeThanABatchHolds(t *testing.T) {
	f := newBusyFixture(t, 3*maxBatchWrites)
	acknowledged := int64(0)
	for range 8 {
		f.pass()
		acknowledged = max(acknowledged, f.lastSeen("e1"))
		f.report()
	}
	assert.Assert(t, acknowledged > 0, "none of %d ends is acknowledged", f.lastEnd)
}

// Guards against the acknowledgement of an end whose record is not committed: a new owner would restart the run.
func TestEndIsAcknowledgedOnlyWithItsRecord(t *testing.T) {
	f := newBusyFixture(t, 3*maxBatchWrites)
	for range 12 {
		f.owner.Tick(f.now)
		b, err := f.owner.Prepare()
		assert.NilError(t, err)
		f.commit(b)
		for _, e := range f.ended {
			id, tid, _ := submission.ParseName(e.Task)
			if e.Number > f.lastSeen("e1") {
				continue
			}
			r, err := submission.DecodeRecord(f.rows[ProgressKey(id)], 1)
			assert.NilError(t, err)
			rec := r.Tasks[tid.Index]
			assert.Assert(t, rec.Run > e.Run || rec.State != submission.TaskAssigned, "end %d of %s run %d is acknowledged, its record is %+v", e.Number, e.Task, e.Run, rec)
		}
		f.report()
	}
}

// Guards against a commit that is larger than the store accepts, which the owner would try without end.
func TestCommitOfLargeRecordsStaysBelowTheLimitOfTheStore(t *testing.T) {
	const tasks, submissions = 2000, 36
	f := newFixture(t)
	info := testInfo("e1", f.now)
	info.Capacity = task.Resources{CPU: tasks * submissions * 1000, Memory: tasks * submissions * 100}
	f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: info, FullSnapshot: true}, f.now)
	for i := range submissions {
		s := testSubmission(testStep(tasks))
		s.ID = fmt.Sprintf("%016x", i+1)
		f.add(s)
	}
	written := make(map[string]bool)
	for range 6 {
		f.owner.Tick(f.now)
		b, err := f.owner.Prepare()
		assert.NilError(t, err)
		size := 0
		for _, w := range b.Writes() {
			size += base64.StdEncoding.EncodedLen(len(w.Value))
			written[w.Key] = true
		}
		assert.Assert(t, size < 1_000_000, "a commit of %d bytes", size)
		f.commit(b)
	}
	parts := (tasks + partTasks - 1) / partTasks
	assert.Equal(t, len(written), submissions*parts)
}
