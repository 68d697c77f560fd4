package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/blame"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// crashingFleet simulates executors that are crashed by the tasks of one submission.
type crashingFleet struct {
	*fixture
	executors []*crashingExecutor
	// crashAge is the age at which a run of a crashing task ends its executor.
	crashAge time.Duration
	// crashesOf counts the crashes, startsOf the starts of each task.
	crashesOf, startsOf map[string]int
}

type crashingExecutor struct {
	id   string
	born int64
	// downUntil is when the executor is back after a crash.
	downUntil time.Duration
	// ended is the number of the last end.
	ended int64
	ends  []executor.End
	runs  map[string]*simulatedRun
}

type simulatedRun struct {
	number uint32
	since  time.Duration
}

const (
	// crashDetection is the time from a crash to the agent's report of it.
	crashDetection = 100 * time.Millisecond
	// executorDowntime is the time that a crashed executor takes to come back.
	executorDowntime = 3 * time.Second
	// runTime is the run time of the tasks that crash nothing.
	runTime = time.Second
)

func newCrashingFleet(t *testing.T, size int, crashAge time.Duration) *crashingFleet {
	t.Helper()
	c := &crashingFleet{fixture: newFixture(t), crashAge: crashAge, crashesOf: make(map[string]int), startsOf: make(map[string]int)}
	for i := range size {
		c.executors = append(c.executors, &crashingExecutor{id: fmt.Sprintf("e%d", i), born: 1, runs: make(map[string]*simulatedRun)})
	}
	return c
}

// crashingPrefix begins the IDs of the submissions whose tasks crash their executors.
var crashingPrefix = testID[:len(testID)-1]

func isCrashing(task string) bool { return strings.HasPrefix(task, crashingPrefix) }

// step advances the executors and the owner by 20 ms.
func (c *crashingFleet) step() {
	c.now += 20 * time.Millisecond
	for _, e := range c.executors {
		c.advance(e)
	}
	c.pass()
	for _, m := range c.messages {
		c.execute(m.Orders)
	}
	c.messages = nil
}

// advance ends the runs of an executor, crashes it and reports it.
func (c *crashingFleet) advance(e *crashingExecutor) {
	info := testInfo(e.id, c.now)
	info.StartedAt = e.born
	if e.downUntil != 0 {
		switch {
		case c.now >= e.downUntil:
			e.downUntil, e.ended, e.ends, e.runs = 0, 0, nil, make(map[string]*simulatedRun)
			e.born++
		case c.now >= e.downUntil-executorDowntime+crashDetection:
			c.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-" + e.id, Info: info, ExecutorEnded: true}, c.now)
		}
		return
	}
	var running []executor.Run
	for task, r := range e.runs {
		switch age := c.now - r.since; {
		case isCrashing(task) && age >= c.crashAge:
			c.crashesOf[task]++
			e.downUntil = c.now + executorDowntime
			return
		case !isCrashing(task) && age >= runTime:
			e.ended++
			e.ends = append(e.ends, executor.End{Number: e.ended, Task: task, Run: r.number, Cause: executor.Done})
			delete(e.runs, task)
		default:
			running = append(running, executor.Run{Task: task, Number: r.number, ProgressPercent: int(100 * age / (2 * runTime))})
		}
	}
	c.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-" + e.id, Info: info, FullSnapshot: true, Running: running, Ended: e.ends}, c.now)
}

func (c *crashingFleet) execute(m *wire.Orders) {
	for _, e := range c.executors {
		if e.id != m.Executor || e.born != m.StartedAt || e.downUntil != 0 {
			continue
		}
		for _, s := range m.Starts {
			c.startsOf[s.Task]++
			e.runs[s.Task] = &simulatedRun{number: s.Run, since: c.now}
			c.owner.ApplyOrderResults(&wire.OrderResults{Epoch: testEpoch, Executor: e.id, StartedAt: e.born,
				Results: []wire.OrderResult{{Task: s.Task, Run: s.Run, Outcome: executor.OK}}}, c.now)
		}
		for _, s := range m.Stops {
			delete(e.runs, s.Task)
		}
	}
}

// Guards against starting a task again and again that crashes each executor, and against giving up the tasks beside it.
func TestTaskThatCrashesExecutorsIsGivenUp(t *testing.T) {
	// maxStarts is three, and two more after three executors have crashed.
	const maxStarts, submissions, duration = 5, 60, 40 * time.Second
	for _, test := range []struct {
		crashAge time.Duration
		// crashing is the number of such submissions, which arrive together.
		crashing int
	}{{20 * time.Millisecond, 1}, {20 * time.Millisecond, 4}, {300 * time.Millisecond, 1}, {2 * time.Second, 1}} {
		t.Run(fmt.Sprintf("%d after %v", test.crashing, test.crashAge), func(t *testing.T) {
			c := newCrashingFleet(t, 11, test.crashAge)
			submit := func(id string, count int) {
				s := testSubmission(testStep(count))
				s.ID, s.MaxAttempts, s.Steps[0].Request.CPU = id, 2, 400
				c.add(s)
			}
			for i := range submissions {
				submit(fmt.Sprintf("%016x", 0xb00+i), 6)
				if i == submissions/6 {
					for j := range test.crashing {
						submit(fmt.Sprintf("%s%d", crashingPrefix, j), 1)
					}
				}
				for range 15 {
					c.step()
				}
			}
			for end := c.now + duration; c.now < end; {
				c.step()
			}
			for task, starts := range c.startsOf {
				if isCrashing(task) {
					assert.Check(t, starts <= maxStarts, "%s was started %d times and crashed %d executors", task, starts, c.crashesOf[task])
				}
			}
			for id, j := range c.owner.jobs {
				want := submission.Completed
				if isCrashing(id) {
					want = submission.Failed
				}
				assert.Check(t, j.state == want, "%s is %v", id, j.state)
			}
		})
	}
}

// Guards against giving up tasks of executors that go down and up by themselves.
func TestTasksOnFlappingExecutorsAreNotGivenUp(t *testing.T) {
	const flapping, period, submissions = 2, 1200 * time.Millisecond, 60
	c := newCrashingFleet(t, 11, time.Hour)
	next := c.now + period
	step := func() {
		if c.now >= next {
			next += period + executorDowntime
			for _, e := range c.executors[:flapping] {
				e.downUntil = c.now + executorDowntime
			}
		}
		c.step()
	}
	for i := range submissions {
		s := testSubmission(testStep(6))
		s.ID = fmt.Sprintf("%016x", 0xb00+i)
		s.Steps[0].Request.CPU = 400
		c.add(s)
		for range 15 {
			step()
		}
	}
	for end := c.now + 20*time.Second; c.now < end; {
		step()
	}
	for id, j := range c.owner.jobs {
		assert.Check(t, j.state == submission.Completed, "%s is %v", id, j.state)
	}
}

// Guards against a new owner that does not know of earlier crashes and starts the task as often again.
func TestCrashesSurviveChangeOfOwner(t *testing.T) {
	c := newCrashingFleet(t, 6, 20*time.Millisecond)
	s := testSubmission(testStep(1))
	c.add(s)
	for range 3000 {
		c.step()
		if c.crashesOf[name(0, 0)] > 0 && c.owner.jobs[testID].tasks[0].rec.Crashes == uint16(c.crashesOf[name(0, 0)]) {
			c.owner = c.newOwner(testEpoch)
			c.add(s)
		}
	}
	assert.Assert(t, c.startsOf[name(0, 0)] <= 5, "started %d times", c.startsOf[name(0, 0)])
	assert.Equal(t, c.owner.jobs[testID].state, submission.Failed)
}

// Guards against blaming all tasks that have just begun when many executors crash at once.
func TestLossOfAllExecutorsBlamesFewTasks(t *testing.T) {
	const size = 11
	c := newCrashingFleet(t, size, time.Hour)
	for range 50 {
		c.step()
	}
	for i := range 30 {
		s := testSubmission(testStep(6))
		s.ID = fmt.Sprintf("%016x", 0xb00+i)
		s.Steps[0].Request.CPU = 200
		c.add(s)
	}
	for range 5 {
		c.step()
	}
	for _, e := range c.executors {
		assert.Assert(t, len(e.runs) > 0)
		e.downUntil = c.now + executorDowntime
	}
	for range 10 {
		c.step()
	}
	blamed, tasks := 0, 0
	for _, j := range c.owner.jobs {
		for _, task := range j.tasks {
			tasks++
			if task.rec.Crashes > 0 {
				blamed++
			}
		}
	}
	assert.Assert(t, blamed <= tasks*(massCrashes-1)/size+size, "%d of %d tasks are blamed", blamed, tasks)
}

// Guards against giving up a long-running task, and against one that crashes executor after executor without a bound in time.
func TestLongRunningTaskThatCrashesExecutorsIsRestartedWithDelay(t *testing.T) {
	const duration = 60 * time.Second
	for _, crashAge := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		t.Run(crashAge.String(), func(t *testing.T) {
			c := newCrashingFleet(t, 11, crashAge)
			s := testSubmission(testStep(1))
			s.Steps[0].LongRunning = true
			c.add(s)
			task, startedAt := name(0, 0), []time.Duration{c.now}
			for end := c.now + duration; c.now < end; {
				before := c.startsOf[task]
				c.step()
				if c.startsOf[task] > before {
					startedAt = append(startedAt, c.now)
				}
			}
			assert.Equal(t, c.owner.jobs[testID].state, submission.Queued)
			for i, at := range startedAt[1:] {
				gap := at - startedAt[i]
				assert.Check(t, i <= blame.MaxCrashes+3 || gap >= maxCrashBackoff, "start %d follows %v after the one before", i, gap)
				assert.Check(t, gap <= maxCrashBackoff+time.Second, "start %d follows %v after the one before", i, gap)
			}
			assert.Check(t, c.now-startedAt[len(startedAt)-1] <= maxCrashBackoff+time.Second, "not started any more")
		})
	}
}

// Guards against giving up or delaying a long-running task whose only executor goes down at equal intervals.
func TestLongRunningTaskOnFlappingExecutorIsRestarted(t *testing.T) {
	const up, duration = 5 * time.Second, 60 * time.Second
	c := newCrashingFleet(t, 1, up)
	s := testSubmission(testStep(1))
	s.Steps[0].LongRunning = true
	c.add(s)
	idle := time.Duration(0)
	for end := c.now + duration; c.now < end; {
		c.step()
		if c.executors[0].downUntil == 0 && len(c.executors[0].runs) == 0 {
			idle += 20 * time.Millisecond
		} else {
			idle = 0
		}
		assert.Assert(t, idle <= time.Second, "not started for %v after %d crashes", idle, c.crashesOf[name(0, 0)])
	}
	assert.Equal(t, c.owner.jobs[testID].state, submission.Queued)
}
