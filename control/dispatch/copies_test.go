package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// pairFixture is a task with two runs: run 1 on e1, of which nothing is heard any more, and run 2 on e2.
type pairFixture struct {
	*fixture
	ends map[string]int64
}

const copyStep = 400 * time.Millisecond

func speculativeStep() submission.Step {
	s := testStep(1)
	s.Speculative, s.Checkpoints = true, true
	return s
}

// newSingle returns a fixture with run 1 at work on e1.
func newSingle(t *testing.T, s *submission.Submission, features Features) *pairFixture {
	t.Helper()
	f := &pairFixture{newFixture(t), make(map[string]int64)}
	f.features = features
	f.owner = f.newOwner(testEpoch)
	f.executor("e1", nil)
	f.add(s)
	f.pass()
	f.answerStart("e1", name(0, 0), 1, executor.OK, executor.ReasonNone)
	for i := range 8 {
		f.now += copyStep
		f.executor("e1", f.runs(1, 30+i))
		f.executor("e2", nil)
		f.pass()
	}
	return f
}

// newPair returns a fixture with both runs, the start of the second ordered.
func newPair(t *testing.T) *pairFixture {
	t.Helper()
	s := testSubmission(speculativeStep())
	s.MaxAttempts = 3
	f := newSingle(t, s, Features{Copies: true})
	f.quiet(4)
	assert.DeepEqual(t, f.starts()[1:], []string{name(0, 0) + "#2@e2"})
	return f
}

// quiet lets time pass in which nothing is heard of e1.
func (f *pairFixture) quiet(steps int) {
	for range steps {
		f.now += copyStep
		f.executor("e2", nil)
		f.pass()
	}
}

func (f *pairFixture) runs(number uint32, percent int) []executor.Run {
	return []executor.Run{{Task: name(0, 0), Number: number, ProgressPercent: percent, Checkpoint: "c" + string(rune('0'+number))}}
}

func (f *pairFixture) accept() { f.answerStart("e2", name(0, 0), 2, executor.OK, executor.ReasonNone) }

// end reports the end of a run.
func (f *pairFixture) end(id string, run uint32, cause executor.EndCause) {
	f.ends[id]++
	f.executor(id, nil, executor.End{Number: f.ends[id], Task: name(0, 0), Run: run, Cause: cause})
	f.pass()
	f.pass()
}

// takeOver replaces the owner by one that knows only the store.
func (f *pairFixture) takeOver() {
	f.owner = f.newOwner(f.owner.Epoch() + 1)
	s := testSubmission(speculativeStep())
	s.MaxAttempts = 3
	f.add(s)
}

func (f *pairFixture) state() submission.State {
	s, _ := f.owner.State(testID)
	return s
}

// Guards against a run that waits for the lease of its executor, for seconds, although its step allows a copy, and against copies where
// none is allowed.
func TestRunOnUnresponsiveExecutorIsCopied(t *testing.T) {
	on := Features{Copies: true}
	for title, c := range map[string]struct {
		features Features
		change   func(*submission.Submission)
		runs     int
	}{
		"allowed":      {on, func(*submission.Submission) {}, 2},
		"switched off": {Features{}, func(*submission.Submission) {}, 1},
		"not allowed":  {on, func(s *submission.Submission) { s.Steps[0].Speculative = false }, 1},
		"lasting":      {on, func(s *submission.Submission) { s.Steps[0].LongRunning = true }, 1},
		"gang":         {on, func(s *submission.Submission) { s.Steps[0].Gang = true }, 1},
		"last attempt": {on, func(s *submission.Submission) { s.MaxAttempts = 1 }, 1},
	} {
		s := testSubmission(speculativeStep())
		c.change(s)
		f := newSingle(t, s, c.features)
		f.quiet(4)
		assert.Equal(t, len(f.starts()), c.runs, title)
	}
}

// Guards against copies that nobody needs: after the process of the owner was suspended, and while other work waits for the room.
func TestNoCopyWithoutNeedOrRoom(t *testing.T) {
	f := newSingle(t, testSubmission(speculativeStep()), Features{Copies: true})
	f.now += 5 * copyStep
	f.quiet(2)
	assert.Equal(t, len(f.starts()), 1, "suspended")
	f = newSingle(t, testSubmission(speculativeStep()), Features{Copies: true})
	small, large := testSubmission(testStep(1)), testSubmission(testStep(1))
	small.ID, large.ID, large.Steps[0].Request.CPU = "00000000000000bb", "00000000000000cc", 3500
	f.add(small)
	f.pass()
	f.add(large)
	f.quiet(4)
	assert.Assert(t, !slices.Contains(f.starts(), name(0, 0)+"#2@e2"))
	f.owner.Cancel(large.ID, f.now)
	f.quiet(1)
	assert.Assert(t, slices.Contains(f.starts(), name(0, 0)+"#2@e2"))
}

// Guards against a slow run that is stopped, or goes on alone, although its step allows a copy that would be done much sooner; and
// against a third run when the lease of the older one ends.
func TestSlowRunIsCopied(t *testing.T) {
	f := newSingle(t, testSubmission(speculativeStep()), Features{Copies: true})
	task := f.owner.find(name(0, 0))
	for range 2 {
		f.owner.jobs[testID].stepDurations(task.stepKey()).Observe("e2", time.Second)
	}
	f.now += copyStep
	f.executor("e1", f.runs(1, 38))
	f.quiet(1)
	assert.DeepEqual(t, f.starts()[1:], []string{name(0, 0) + "#2@e2"})
	f.accept()
	for range 14 {
		f.now += copyStep
		f.executor("e2", f.runs(2, int(f.now/copyStep)%100))
		f.pass()
	}
	assert.Equal(t, len(f.starts()), 2)
	assert.Equal(t, len(f.stops()), 0)
	assert.Equal(t, f.owner.incarnations["e1"][0].placementNode.Reserved.CPU, int64(0))
}

// Guards against a start on an executor that does not respond: as it is not confirmed, the run could not be copied.
func TestTaskThatAllowsCopiesAvoidsUnresponsiveExecutor(t *testing.T) {
	for allowed, runs := range map[bool]int{true: 4, false: 6} {
		s := testSubmission(speculativeStep())
		f := newSingle(t, s, Features{Copies: true})
		f.end("e1", 1, executor.Done)
		f.quiet(4)
		s = testSubmission(testStep(6))
		s.ID, s.Steps[0].Speculative = "00000000000000bb", allowed
		f.add(s)
		before := len(f.starts())
		f.pass()
		assert.Equal(t, len(f.starts())-before, runs, "%v", f.starts())
	}
}

// Guards against a second result, against runs that go on after the first, and against room that is given away while a run
// that is being stopped still has it.
func TestFirstEndOfTwoRunsCounts(t *testing.T) {
	for first, other := range map[string]string{"e1": "e2", "e2": "e1"} {
		run := map[string]uint32{"e1": 1, "e2": 2}
		f := newPair(t)
		f.accept()
		f.end(first, run[first], executor.Done)
		assert.Equal(t, f.state(), submission.Completed)
		assert.Assert(t, f.owner.find(name(0, 0)).alternate.stopping)
		f.executor(other, f.runs(run[other], 50))
		f.pass()
		reserved := func(id string) int64 { return f.owner.incarnations[id][0].placementNode.Reserved.CPU }
		assert.Equal(t, reserved(first), int64(0))
		assert.Equal(t, reserved(other), int64(1000))
		assert.Assert(t, len(f.stops()) > 0 && f.stops()[0] == name(0, 0)+"#"+string(rune('0'+run[other]))+"@"+other, "%v", f.stops())
		f.end(other, run[other], executor.Done)
		assert.Equal(t, reserved(other), int64(0))
		assert.Equal(t, len(f.starts()), 2)
		c := f.owner.Counters()
		assert.Equal(t, c.CopiesStarted, uint64(1))
		assert.Equal(t, c.CopiesWon == 1, first == "e2")
		assert.Equal(t, c.CopiesWon+c.CopiesLost, uint64(1))
	}
}

// Guards against a run that begins after the end of its task is durable: the start of the copy may still be on its way.
func TestEndOfOlderRunWaitsForStartOfCopy(t *testing.T) {
	for title, answer := range map[string]func(f *pairFixture){
		"started": func(f *pairFixture) { f.accept() },
		"refused": func(f *pairFixture) {
			f.answerStart("e2", name(0, 0), 2, executor.Rejected, executor.ReasonCapacity)
		},
		"ended": func(f *pairFixture) { f.end("e2", 2, executor.Stopped) },
	} {
		f := newPair(t)
		f.end("e1", 1, executor.Done)
		assert.Equal(t, f.state(), submission.Running, title)
		assert.Equal(t, f.lastSeen("e1"), int64(0), title)
		answer(f)
		f.pass()
		f.pass()
		assert.Equal(t, f.state(), submission.Completed, title)
		assert.Equal(t, f.lastSeen("e1"), int64(1), title)
		assert.Equal(t, len(f.starts()), 2, title)
	}
}

// Guards against an older run that is forgotten, or doubled, when its copy is lost or refused, and against a run number that is
// used twice.
func TestOlderRunGoesOnWithoutItsCopy(t *testing.T) {
	for title, end := range map[string]func(f *pairFixture){
		"refused": func(f *pairFixture) {
			f.answerStart("e2", name(0, 0), 2, executor.Rejected, executor.ReasonCapacity)
		},
		"failed": func(f *pairFixture) { f.end("e2", 2, executor.Failed) },
		"gone":   func(f *pairFixture) { f.owner.markGone(submission.Incarnation{ID: "e2", StartedAt: 1}, f.now) },
	} {
		f := newPair(t)
		f.executor("e1", f.runs(1, 60))
		end(f)
		for range 6 {
			f.now += copyStep
			f.executor("e1", f.runs(1, 70))
			f.executor("e3", nil)
			f.pass()
		}
		assert.Equal(t, len(f.starts()), 2, "%s: %v", title, f.starts())
		f.end("e1", 1, executor.Stopped)
		assert.DeepEqual(t, f.starts()[2], name(0, 0)+"#3@"+f.starts()[2][len(name(0, 0))+3:])
	}
}

// Guards against runs after the last permitted failure, and against a failure that is not counted or counted twice, also by a new owner.
func TestFailuresOfBothRunsCount(t *testing.T) {
	for title, between := range map[string]func(f *pairFixture){
		"one owner": func(*pairFixture) {},
		"new owner": func(f *pairFixture) { f.takeOver() },
		"new owner hears of it again": func(f *pairFixture) {
			f.end("e1", 1, executor.Failed)
			f.takeOver()
			f.ends["e1"] = 0
		},
	} {
		f := newPair(t)
		f.accept()
		between(f)
		f.executor("e2", f.runs(2, 10))
		f.end("e1", 1, executor.Failed)
		task := f.owner.find(name(0, 0))
		assert.Equal(t, task.rec.Failures, uint16(1), title)
		f.end("e2", 2, executor.Failed)
		assert.Equal(t, task.rec.Failures, uint16(2), title)
		assert.Equal(t, f.state(), submission.Running, title)
		last := len(f.starts())
		f.end("e1", 3, executor.Failed)
		f.end("e2", 3, executor.Failed)
		assert.Equal(t, f.state(), submission.Failed, title)
		assert.Equal(t, len(f.starts()), last, title)
	}
}

// Guards against work that is lost or doubled by a takeover before the order of the copy, after it, and after the end of either
// run: a new owner knows only the newer run. The older one keeps its room until it is stopped.
func TestNewOwnerKnowsOnlyTheNewerRun(t *testing.T) {
	f := newPair(t)
	f.takeOver()
	f.executor("e2", nil)
	f.executor("e1", f.runs(1, 50))
	f.pass()
	assert.Equal(t, f.owner.incarnations["e1"][0].placementNode.Reserved.CPU, int64(1000))
	assert.Equal(t, len(f.starts()), 2, "the older run may be at work: %v", f.starts())
	f.end("e1", 1, executor.Stopped)
	assert.Equal(t, len(f.starts()), 3)

	f = newPair(t)
	f.takeOver()
	for i := range 11 {
		f.now += copyStep
		f.executor("e3", nil)
		if i < 6 {
			f.executor("e2", f.runs(2, i))
		}
		f.pass()
	}
	assert.Equal(t, len(f.starts()), 2, "a third run beside two: %v", f.starts())

	f = newPair(t)
	f.takeOver()
	f.end("e1", 1, executor.Done)
	assert.Equal(t, f.lastSeen("e1"), int64(0))
	f.executor("e2", f.runs(2, 10))
	f.pass()
	f.pass()
	assert.Equal(t, f.state(), submission.Completed)
	assert.Equal(t, f.stops()[len(f.stops())-1], name(0, 0)+"#2@e2")
}

// Guards against runs that go on after their submission has ended: cancelled, or refused by the store.
func TestBothRunsAreStoppedWithTheirSubmission(t *testing.T) {
	for title, finish := range map[string]func(f *pairFixture){
		"cancelled": func(f *pairFixture) { f.owner.Cancel(testID, f.now) },
		"refused by the store": func(f *pairFixture) {
			f.owner.markDirty(f.owner.find(name(0, 0)))
			f.passes(refuseRecordOf(testID, false))
		},
	} {
		f := newPair(t)
		f.accept()
		finish(f)
		f.executor("e1", f.runs(1, 50))
		f.pass()
		f.now += stopRetryInterval + time.Millisecond
		f.pass()
		stopped := map[string]bool{}
		for _, s := range f.stops() {
			stopped[s] = true
		}
		assert.DeepEqual(t, stopped, map[string]bool{name(0, 0) + "#1@e1": true, name(0, 0) + "#2@e2": true})
		assert.Equal(t, f.owner.incarnations["e1"][0].placementNode.Reserved.CPU, int64(1000), title)
	}
}

// Guards against a start from an older checkpoint than the furthest, and against work that starts nowhere once both runs are lost.
func TestCheckpointOfRunThatIsFurtherIsKept(t *testing.T) {
	f := newPair(t)
	f.accept()
	f.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: 80, Checkpoint: "far"}})
	f.executor("e2", []executor.Run{{Task: name(0, 0), Number: 2, ProgressPercent: 45, Checkpoint: "near"}})
	f.owner.markGone(submission.Incarnation{ID: "e2", StartedAt: 1}, f.now)
	f.executor("e3", nil)
	f.pass()
	assert.Equal(t, len(f.starts()), 2)
	f.now += maxLeaseTime(testBounds().LeaseDuration) + time.Millisecond
	f.executor("e3", nil)
	f.pass()
	assert.Equal(t, f.starts()[2], name(0, 0)+"#3@e3")
	for _, m := range f.messages {
		for _, order := range m.Orders.Starts {
			assert.Assert(t, order.Run < 3 || order.Checkpoint == "far", "%v", order)
		}
	}
}

// Guards against a copy that stays in an evacuated zone before it has begun, and against one that crashes a second executor without
// being suspected.
func TestCopyIsWithdrawnAndSuspectedAsAnyRun(t *testing.T) {
	f := newPair(t)
	info := f.owner.incarnations["e2"][0]
	info.info.Zone = "z"
	f.owner.SetEvacuations(evacuation.State{Zones: evacuation.Zones{"z": 1}, AsOf: f.now})
	f.pass()
	assert.DeepEqual(t, f.stops(), []string{name(0, 0) + "#2@e2"})

	f = newPair(t)
	f.accept()
	task := f.owner.find(name(0, 0))
	task.alternate.rec.CrashAge, _ = task.alternate.age()
	f.owner.markGone(submission.Incarnation{ID: "e1", StartedAt: 1}, f.now)
	assert.Assert(t, task.suspected())
	assert.Equal(t, f.owner.incarnations["e2"][0].suspects, 1)
}
