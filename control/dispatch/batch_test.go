package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

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
