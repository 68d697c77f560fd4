package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

const (
	batchID        = "00000000000000ba"
	highPriorityID = "00000000000000cc"
)

// preemptFixture runs four tasks of a queue with lower priority on a full executor. change adapts
// their step.
func preemptFixture(t *testing.T, change func(*submission.Step)) *fixture {
	t.Helper()
	f := newFixture(t)
	f.executor("e1", nil)
	step := testStep(4)
	step.Request.CPU, step.Request.Memory, step.Estimate = 1000, 100, 10*time.Second
	change(&step)
	batch := testSubmission(step)
	batch.ID, batch.Priority = batchID, 2
	f.add(batch)
	f.pass()
	assert.Equal(t, len(f.starts()), 4)
	f.reportBatch(0)
	return f
}

// reportBatch reports the batch tasks, each with more progress than the one before.
func (f *fixture) reportBatch(done int) {
	var running []executor.Run
	for i := range 4 {
		running = append(running, executor.Run{Task: batchID + ".0.0." + string(rune('0'+i)), Number: 1, ProgressPercent: done + 20*i})
	}
	f.executor("e1", running)
}

func (f *fixture) addHighPriority(priority int) {
	step := testStep(1)
	step.Request.CPU, step.Request.Memory = 1000, 100
	s := testSubmission(step)
	s.ID, s.Priority = highPriorityID, priority
	f.add(s)
	for i := range 4 {
		f.pass()
		f.now += 300 * time.Millisecond
		f.reportBatch(i + 1)
	}
	f.pass()
}

// Batch work that fills the pool must not keep work of higher priority out until it ends. Only as
// many runs are stopped as needed, those that lose the least work.
func TestPreemptionStopsRunWithLeastLoss(t *testing.T) {
	f := preemptFixture(t, func(*submission.Step) {})
	f.addHighPriority(0)
	stops := f.stops()
	assert.Assert(t, len(stops) > 0)
	for _, s := range stops {
		assert.Assert(t, strings.HasPrefix(s, batchID+".0.0.0#1@"), s)
	}
	f.executor("e1", []executor.Run{{Task: batchID + ".0.0.1", Number: 1, ProgressPercent: 50}, {Task: batchID + ".0.0.2", Number: 1, ProgressPercent: 60},
		{Task: batchID + ".0.0.3", Number: 1, ProgressPercent: 70}}, executor.End{Number: 1, Task: batchID + ".0.0.0", Run: 1, Cause: executor.Stopped})
	f.pass()
	starts := f.starts()
	assert.Equal(t, starts[len(starts)-1], highPriorityID+".0.0.0#1@e1", "%v", starts)
}

// Work of the same priority, long-running work and gangs are not preempted.
func TestSamePriorityLongRunningAndGangsAreNotPreempted(t *testing.T) {
	for name, c := range map[string]struct {
		priority int
		change   func(*submission.Step)
	}{
		"same priority": {2, func(*submission.Step) {}},
		"long-running":  {0, func(s *submission.Step) { s.LongRunning = true }},
		"gang":          {0, func(s *submission.Step) { s.Gang = true }},
		"holds no missing resource": {0, func(s *submission.Step) {
			s.BestEffort, s.Request.Memory = true, 10
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := preemptFixture(t, c.change)
			f.addHighPriority(c.priority)
			assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
		})
	}
}

// A task that no executor can run must not cost others their work.
func TestNothingIsPreemptedForTaskThatCannotRun(t *testing.T) {
	f := preemptFixture(t, func(*submission.Step) {})
	step := testStep(1)
	step.Request.CPU, step.Label = 1000, "another kind"
	s := testSubmission(step)
	s.ID = highPriorityID
	f.add(s)
	for i := range 6 {
		f.pass()
		f.now += 300 * time.Millisecond
		f.reportBatch(i)
	}
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
}

// Guards against stopping work for a long-running task whose start is delayed after crashes.
func TestNothingIsPreemptedForDelayedTask(t *testing.T) {
	f := preemptFixture(t, func(*submission.Step) {})
	step := testStep(1)
	step.LongRunning = true
	s := testSubmission(step)
	s.ID = highPriorityID
	f.add(s)
	delayed := f.owner.jobs[highPriorityID].tasks[0]
	delayed.rec.Crashes, delayed.notBefore = 4, f.now+maxCrashBackoff
	for i := 1; f.now+300*time.Millisecond < delayed.notBefore; i++ {
		f.pass()
		f.now += 300 * time.Millisecond
		f.reportBatch(i)
	}
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
	for i := range 4 {
		f.now += 300 * time.Millisecond
		f.reportBatch(20 + i)
		f.pass()
	}
	assert.Assert(t, len(f.stops()) > 0)
}
