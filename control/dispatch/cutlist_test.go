package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// cutList reports an executor whose list of ended runs was cut to a length.
func (f *fixture) cutList(info executor.Info, running []executor.Run, ended ...executor.End) {
	f.owner.ApplyReport(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-" + info.ID, Info: info, Running: running, Ended: ended}, f.now)
}

func doneEnd(number int64, task string) executor.End {
	return executor.End{Number: number, Task: task, Run: 1, Cause: executor.Done}
}

// Guards against a new owner that starts a run again whose end did not fit the first list of its executor.
func TestNewOwnerAdoptsNothingFromCutListOfEnds(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(2))
	f.add(s)
	f.pass()
	f.messages = nil
	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	for range 5 {
		f.cutList(testInfo("e1", f.now), nil, doneEnd(1, name(0, 0)))
		f.pass()
		f.now += time.Second
	}
	assert.Equal(t, len(f.starts()), 0, "%v", f.starts())
	assert.Equal(t, f.lastSeen("e1"), int64(1), "the executor lists no further ends before these are acknowledged")
	last := f.messages[len(f.messages)-1].Orders
	assert.Assert(t, last.LeaseEnd > f.now.Milliseconds(), "the lease is not extended while the lists are cut")
	f.executor("e1", nil, doneEnd(2, name(0, 1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "%v", f.starts())
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Completed)
}

// Guards against the restart of a run that has ended although the end did not fit the lists for some seconds.
func TestRunIsNotMissingWhileListOfEndsIsCut(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(2)))
	f.pass()
	for _, task := range []string{name(0, 0), name(0, 1)} {
		f.answerStart("e1", task, 1, executor.OK, executor.ReasonNone)
	}
	for range 6 {
		f.now += time.Second
		f.cutList(testInfo("e1", f.now), nil, doneEnd(1, name(0, 0)))
		f.pass()
	}
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
	assert.Equal(t, len(f.starts()), 2, "%v", f.starts())
}

// Guards against best-effort work that disturbs serving tasks without a limit while lists of ends are cut.
func TestBestEffortTaskIsThrottledWhileListOfEndsIsCut(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	critical := testStep(1)
	critical.LongRunning, critical.LatencyTarget, critical.Image = true, 50*time.Millisecond, "s"
	bestEffort := testStep(1)
	bestEffort.BestEffort, bestEffort.Image, bestEffort.Request.CPU = true, "f", 400
	f.add(testSubmission(critical, bestEffort))
	f.pass()
	for range 6 {
		f.now += 700 * time.Millisecond
		f.cutList(testInfo("e1", f.now), []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: 100, Load: 200},
			{Task: name(1, 0), Number: 1, ProgressPercent: 5, Load: 1000}})
		f.pass()
	}
	throttles := 0
	for _, m := range f.messages {
		throttles += len(m.Orders.Throttles)
	}
	assert.Assert(t, throttles > 0)
}

// Guards against the restart of a run that the next incarnation with the ID has executed and lists as done after a cut list.
func TestEndInCutListsOfNextIncarnationCounts(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(2)))
	f.pass()
	f.executor("e2", nil)
	restarted := testInfo("e1", f.now)
	restarted.StartedAt = 2
	f.cutList(restarted, nil, doneEnd(1, name(0, 0)))
	f.pass()
	f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: restarted, FullSnapshot: true,
		Ended: []executor.End{doneEnd(2, name(0, 1))}}, f.now)
	f.pass()
	assert.Equal(t, len(f.starts()), 2, "%v", f.starts())
	state, _ := f.owner.State(testID)
	assert.Equal(t, state, submission.Completed)
}
