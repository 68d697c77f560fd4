package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
)

// runWithE1Speed simulates six runs, two on each of three executors, for a time. Those on "e1"
// work at the given share of the usual speed.
func (f *fixture) runWithE1Speed(share float64, d time.Duration) {
	runs := make(map[string][]string)
	for _, s := range f.starts() {
		run, at, _ := strings.Cut(s, "@")
		runs[at] = append(runs[at], strings.TrimSuffix(run, "#1"))
	}
	begin := f.now
	for f.now < begin+d {
		f.now += 300 * time.Millisecond
		for _, id := range []string{"e1", "e2", "e3"} {
			percent := float64(f.now-begin) / float64(4*time.Second) * 100
			if id == "e1" {
				percent *= share
			}
			var running []executor.Run
			for _, name := range runs[id] {
				running = append(running, executor.Run{Task: name, Number: 1, ProgressPercent: int(percent)})
			}
			f.executor(id, running)
		}
		f.pass()
	}
}

func slowFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		f.executor(id, nil)
	}
	step := testStep(6)
	step.Estimate, step.MaxPerExecutor = 4*time.Second, 3
	f.add(testSubmission(step))
	f.pass()
	assert.Equal(t, len(f.starts()), 6)
	return f
}

// A step completes with its last task: runs on an executor that has become slow would make the
// submission late although other executors have capacity.
func TestRunsAreMovedOffSlowExecutor(t *testing.T) {
	f := slowFixture(t)
	f.runWithE1Speed(0.2, 1500*time.Millisecond)
	assert.Assert(t, len(f.stops()) > 0)
	for _, s := range f.stops() {
		assert.Assert(t, strings.HasSuffix(s, "@e1"), s)
	}
}

// Executors that differ little in speed must not pass runs back and forth, as each move loses
// work.
func TestRunsStayOnSlightlySlowerExecutor(t *testing.T) {
	f := slowFixture(t)
	f.runWithE1Speed(0.7, 3*time.Second)
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
}

// A run that is nearly done completes earlier without a move.
func TestNearlyDoneRunIsNotMoved(t *testing.T) {
	f := slowFixture(t)
	f.runWithE1Speed(1, 3600*time.Millisecond)
	name := ""
	for _, s := range f.starts() {
		if run, ok := strings.CutSuffix(s, "#1@e1"); ok {
			name = run
			break
		}
	}
	assert.Assert(t, !f.owner.fasterElsewhere(f.owner.find(name), 3))
}

// A run that resumes from a checkpoint makes no progress while it is restored. If that counted as
// a slow executor, this run and all others there would be moved again and again.
func TestRestoringFromCheckpointDoesNotCountAsSlow(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		f.executor(id, nil)
	}
	step := testStep(6)
	step.Estimate, step.MaxPerExecutor, step.Checkpoints = 4*time.Second, 3, true
	f.add(testSubmission(step))
	f.pass()
	f.runWithE1Speed(1, 1200*time.Millisecond)
	moved := f.owner.find(name(0, 0))
	other := moved.node.info.ID
	f.executor(other, nil, executor.End{Number: 1, Task: moved.name(), Run: 1, Cause: executor.Stopped, Checkpoint: "c"})
	f.pass()
	assert.Assert(t, moved.rec.Checkpoint == "c" && moved.node != nil)
	n := moved.node
	for i := range 4 {
		f.now += 300 * time.Millisecond
		var running []executor.Run
		for task := range n.tasks {
			percent := 30
			if task != moved {
				percent = 38 + 8*i
			}
			running = append(running, executor.Run{Task: task.name(), Number: task.rec.Run, ProgressPercent: percent})
		}
		f.executor(n.info.ID, running)
		f.pass()
	}
	assert.Assert(t, n.speed.Slowdown(f.now) < suspectSlowdown, "factor %v", n.speed.Slowdown(f.now))
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
}
