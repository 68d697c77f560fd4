package guard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/guard"
)

const target = 100 * time.Millisecond

// testVM simulates a service whose latency depends on the speeds of the co-located batch tasks.
type testVM struct {
	g       *guard.Guard
	now     time.Duration
	tasks   []guard.Task
	actions []guard.Action
	latency func(g *guard.Guard, tasks []guard.Task) time.Duration
}

func newVM(weight float64, latency func(*guard.Guard, []guard.Task) time.Duration, classes ...string) *testVM {
	v := &testVM{g: guard.New(guard.Config{Target: target, TailWeight: weight}), latency: latency}
	for i, c := range classes {
		interference := map[string]float64{"quiet": 0.001, "noisy": 0.2}[c]
		v.tasks = append(v.tasks, guard.Task{ID: fmt.Sprintf("%s-%d", c, i), JobClass: c, CPU: 2000, Interference: interference})
	}
	return v
}

func (v *testVM) run(d time.Duration) {
	for end := v.now + d; v.now < end; v.now += guard.Interval {
		var s guard.Samples
		for range 40 {
			s.Latencies = append(s.Latencies, v.latency(v.g, v.tasks))
		}
		s.Tasks = v.tasks
		for _, a := range v.g.Observe(s, v.now) {
			v.actions = append(v.actions, a)
			if a.Kind == guard.Checkpoint {
				v.remove(a.Task)
			}
		}
	}
}

func (v *testVM) remove(id string) {
	var kept []guard.Task
	for _, t := range v.tasks {
		if t.ID != id {
			kept = append(kept, t)
		}
	}
	v.tasks = kept
}

func (v *testVM) count(k guard.ActionKind) int {
	n := 0
	for _, a := range v.actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

func constantLatency(d time.Duration) func(*guard.Guard, []guard.Task) time.Duration {
	return func(*guard.Guard, []guard.Task) time.Duration { return d }
}

// noisyLatency is 70 ms plus 40 ms per noisy task at full speed.
func noisyLatency(g *guard.Guard, tasks []guard.Task) time.Duration {
	l := 70 * time.Millisecond
	for _, t := range tasks {
		if t.JobClass == "noisy" {
			l += time.Duration(40 * g.Fraction(t.ID) * float64(time.Millisecond))
		}
	}
	return l
}

// Guards against throttling tasks with little interference while the interfering one keeps its speed.
func TestThrottlesHighestInterferenceFirst(t *testing.T) {
	v := newVM(0.8, noisyLatency, "quiet", "noisy", "quiet")
	v.run(10 * time.Second)
	assert.Assert(t, v.g.Fraction("noisy-1") < 1)
	assert.Equal(t, v.g.Fraction("quiet-0"), 1.0)
	assert.Equal(t, v.count(guard.Checkpoint), 0)
}

// Guards against a service that stays above its target when all throttling steps are exhausted.
func TestCheckpointsAfterTheLowestStep(t *testing.T) {
	v := newVM(0.8, func(_ *guard.Guard, tasks []guard.Task) time.Duration {
		return time.Duration(50+40*len(tasks)) * time.Millisecond
	}, "noisy", "quiet")
	v.run(20 * time.Second)
	assert.Equal(t, len(v.tasks), 1)
	assert.Equal(t, v.tasks[0].JobClass, "quiet")
}

// Guards against evicting all tasks from a VM whose service is slow for another reason.
func TestStopsIneffectiveCheckpoints(t *testing.T) {
	for class, want := range map[string]int{"unknown": 2, "quiet": 0} {
		v := newVM(1, constantLatency(3*target), class, class, class, class, class, class)
		v.run(5 * time.Minute)
		assert.Equal(t, v.count(guard.Checkpoint), want, class)
	}
}

// Guards against oscillation when the tail exceeds the target whenever the task has full speed.
func TestRestoreBacksOffAfterRelapse(t *testing.T) {
	v := newVM(0.8, func(g *guard.Guard, _ []guard.Task) time.Duration {
		return time.Duration(50+60*g.Fraction("noisy-0")) * time.Millisecond
	}, "noisy")
	v.run(time.Minute)
	early := len(v.actions)
	v.actions = nil
	v.run(5 * time.Minute)
	assert.Assert(t, early >= 1)
	assert.Assert(t, len(v.actions) <= 16, "%d actions in 5 minutes", len(v.actions))
}

// Guards against tasks that stay throttled after the cause is gone.
func TestRestoresFully(t *testing.T) {
	v := newVM(0.8, constantLatency(2*target), "noisy", "quiet")
	v.run(4 * time.Second)
	assert.Assert(t, v.count(guard.Throttle) >= 2)
	v.latency = constantLatency(target / 2)
	v.run(2 * time.Minute)
	for _, task := range v.tasks {
		assert.Equal(t, v.g.Fraction(task.ID), 1.0)
	}
}

// Guards against actions based on a handful of requests, and against batch tasks that are throttled
// beside a nearly idle service.
func TestNoActionOnFewSamples(t *testing.T) {
	g := guard.New(guard.Config{Target: target, TailWeight: 0.8})
	s := guard.Samples{Latencies: []time.Duration{5 * target}, Tasks: []guard.Task{{ID: "a", CPU: 1000}}}
	assert.Equal(t, len(g.Observe(s, 0)), 0)
	assert.Equal(t, g.Tail(), 0.0)
}

// Guards against a tail weight without effect: a lower weight must delay the first checkpoint.
func TestTailWeightDelaysCheckpoints(t *testing.T) {
	first := func(weight float64) time.Duration {
		v := newVM(weight, constantLatency(2*target), "noisy", "quiet")
		for v.count(guard.Checkpoint) == 0 && v.now < time.Minute {
			v.run(guard.Interval)
		}
		return v.now
	}
	assert.Assert(t, first(0.8) < first(0.35))
}

// Guards against a task that runs at full speed while its checkpoint is being stored.
func TestTaskStaysThrottledDuringCheckpoint(t *testing.T) {
	v := newVM(0.8, constantLatency(2*target), "noisy")
	for v.count(guard.Checkpoint) == 0 && v.now < time.Minute {
		v.run(guard.Interval)
	}
	assert.Equal(t, v.g.Fraction("noisy-0"), 0.25)
}
