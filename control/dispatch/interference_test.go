package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
)

// servedExecutor runs latency-critical tasks that reserve a share of its four processors, and a submission that waits whose tasks
// are best-effort ones.
type servedExecutor struct {
	*fixture
	// load is the latency that the tasks report in milliseconds, besideLoad the processors of a best-effort task beside them.
	load, besideLoad int
}

const waitingID = "00000000000000ab"

func newServedExecutor(t *testing.T, tasks, load, besideLoad int) *servedExecutor {
	t.Helper()
	e := &servedExecutor{fixture: newFixture(t), load: load, besideLoad: besideLoad}
	e.executor("e1", nil)
	critical := testStep(tasks)
	critical.LongRunning, critical.LatencyTarget, critical.Image = true, 50*time.Millisecond, "s"
	beside := testStep(1)
	beside.LongRunning, beside.BestEffort, beside.Image, beside.Request.CPU = true, true, "f", 100
	e.add(testSubmission(critical, beside))
	e.pass()
	assert.Equal(t, len(e.starts()), tasks+1)
	for range 4 {
		e.step()
	}
	waiting := testStep(2)
	waiting.BestEffort, waiting.Image, waiting.Request.CPU = true, "g", 500
	s := testSubmission(waiting)
	s.ID = waitingID
	e.add(s)
	e.messages = nil
	return e
}

// step reports the executor 0.5 s later and runs a scheduling pass.
func (e *servedExecutor) step() {
	e.now += 500 * time.Millisecond
	var running []executor.Run
	for _, t := range e.owner.jobs[testID].tasks {
		r := executor.Run{Task: t.name(), Number: t.rec.Run, ProgressPercent: 100, Load: e.load}
		if t.step().BestEffort {
			r.Load = e.besideLoad
		}
		running = append(running, r)
	}
	if j := e.owner.jobs[waitingID]; j != nil {
		for _, t := range j.tasks {
			if t.phase == phaseRunning || t.phase == phaseStartSent {
				running = append(running, executor.Run{Task: t.name(), Number: t.rec.Run})
			}
		}
	}
	e.executor("e1", running)
	e.pass()
}

// startsWithin runs passes and returns the starts that were ordered in that time.
func (e *servedExecutor) startsWithin(d time.Duration) int {
	for end := e.now + d; e.now < end; {
		e.step()
	}
	return len(e.starts())
}

// Guards against best-effort work that never starts, since the tasks on all executors are over their target by their own load.
func TestBestEffortWorkStartsBesideTasksThatAreOverTheirTargetAlone(t *testing.T) {
	e := newServedExecutor(t, 1, 200, 0)
	assert.Equal(t, e.startsWithin(idleInterferenceDelay+time.Second), 1)
}

// Guards against more best-effort work where such work keeps a task over its target.
func TestNoBestEffortWorkStartsWhereOtherSuchWorkInterferes(t *testing.T) {
	e := newServedExecutor(t, 1, 20, 1000)
	e.load = 200
	for range 4 {
		e.step()
	}
	assert.Equal(t, e.startsWithin(idleInterferenceDelay+time.Second), 0)
}

// Guards against work that waits on an idle pool since it may interfere: after 3 s with nothing running it counts as lost. On
// a pool in use it has to wait, as it takes from others.
func TestWorkThatMayInterfereWaitsForLessOnAnIdlePool(t *testing.T) {
	const nearTarget = 48
	idle := newServedExecutor(t, 1, nearTarget, 0)
	assert.Equal(t, idle.startsWithin(idleInterferenceDelay-time.Second), 0)
	assert.Equal(t, idle.startsWithin(1500*time.Millisecond), 1)
	busy := newServedExecutor(t, 3, nearTarget, 0)
	assert.Equal(t, busy.startsWithin(interferenceDelay-2*time.Second), 0)
	assert.Equal(t, busy.startsWithin(3*time.Second), 1)
}
