package poolplan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/poolplan"
	"github.com/chicorystand/chicorystand/control/task"
)

// halved is the compatibility of images that each interfere with half of the best-effort work.
func halved(images []string) float64 { return math.Pow(0.5, float64(len(images))) }

func latencyCritical(name, image string, cpu int64) poolplan.Task {
	return poolplan.Task{Name: name, Image: image, Step: name, Request: task.Resources{CPU: cpu, Memory: 1}}
}

func executor(id string, tasks ...poolplan.Task) poolplan.Executor {
	e := poolplan.Executor{ID: id, Kind: "a", Rack: "r", Capacity: task.Resources{CPU: 32_000, Memory: 1000}, Tasks: tasks}
	for i := range tasks {
		e.Reserved = e.Reserved.Add(tasks[i].Request)
	}
	return e
}

// mixed returns full executors that hold two images each.
func mixed() []poolplan.Executor {
	return []poolplan.Executor{
		executor("e1", latencyCritical("a1", "a", 8000), latencyCritical("a2", "a", 8000), latencyCritical("a3", "a", 8000), latencyCritical("b1", "b", 8000)),
		executor("e2", latencyCritical("b2", "b", 8000), latencyCritical("b3", "b", 8000), latencyCritical("b4", "b", 8000), latencyCritical("a4", "a", 8000)),
	}
}

// apply carries out all moves at once and checks the constraints of every executor.
func apply(t *testing.T, executors []poolplan.Executor, moves []poolplan.Move) []poolplan.Executor {
	t.Helper()
	to := make(map[string]string, len(moves))
	for _, m := range moves {
		_, twice := to[m.Task]
		assert.Assert(t, !twice, "%s is moved twice", m.Task)
		to[m.Task] = m.To
	}
	byID := make(map[string]*poolplan.Executor)
	out := make([]poolplan.Executor, len(executors))
	for i, e := range executors {
		out[i] = e
		out[i].Tasks = nil
		byID[e.ID] = &out[i]
		for _, x := range e.Tasks {
			out[i].Reserved = out[i].Reserved.Sub(x.Request)
		}
	}
	for _, e := range executors {
		for _, x := range e.Tasks {
			id, moved := to[x.Name]
			if !moved {
				id = e.ID
			}
			assert.Assert(t, !moved || !x.Pinned, "%s is pinned", x.Name)
			n := byID[id]
			n.Tasks = append(n.Tasks, x)
			n.Reserved = n.Reserved.Add(x.Request)
		}
	}
	for _, e := range out {
		assert.Assert(t, e.Reserved.Fits(e.Capacity), "%s exceeds its capacity", e.ID)
		steps := make(map[string]int)
		for _, x := range e.Tasks {
			steps[x.Step]++
			assert.Assert(t, x.MaxPerExecutor == 0 || steps[x.Step] <= x.MaxPerExecutor, "%s holds too many of %s", e.ID, x.Step)
			assert.Assert(t, x.Label == "" || x.Label == e.Kind || x.Label == e.Rack, "%s lacks the label of %s", e.ID, x.Name)
		}
	}
	return out
}

// Guards against full pools that stay mixed, since no task can move without another one leaving.
func TestTasksOfOneImageGather(t *testing.T) {
	executors := mixed()
	moves := poolplan.Improve(executors, halved, 6)
	assert.Equal(t, len(moves), 2)
	after := apply(t, executors, moves)
	assert.Assert(t, poolplan.Usable(after, halved) > 1.9*poolplan.Usable(executors, halved))
	assert.Equal(t, len(poolplan.Improve(after, halved, 6)), 0)
}

// Guards against moves of tasks that must stay, against the constraints of a step, and without a gain.
func TestNoMoves(t *testing.T) {
	for name, change := range map[string]func(e []poolplan.Executor) (poolplan.Compatibility, int){
		"pinned": func(e []poolplan.Executor) (poolplan.Compatibility, int) {
			for i := range e {
				for k := range e[i].Tasks {
					e[i].Tasks[k].Pinned = true
				}
			}
			return halved, 6
		},
		"rack required": func(e []poolplan.Executor) (poolplan.Compatibility, int) {
			e[1].Rack = "other"
			for i := range e {
				for k := range e[i].Tasks {
					e[i].Tasks[k].Label = e[i].Rack
				}
			}
			return halved, 6
		},
		"anti-affinity": func(e []poolplan.Executor) (poolplan.Compatibility, int) {
			for i := range e {
				for k := range e[i].Tasks {
					e[i].Tasks[k].Step, e[i].Tasks[k].MaxPerExecutor = e[i].Tasks[k].Image, 3
				}
			}
			return halved, 6
		},
		"all images compatible": func([]poolplan.Executor) (poolplan.Compatibility, int) {
			return func([]string) float64 { return 1 }, 6
		},
		"budget below an exchange": func([]poolplan.Executor) (poolplan.Compatibility, int) { return halved, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			executors := mixed()
			compatible, budget := change(executors)
			assert.Equal(t, len(poolplan.Improve(executors, compatible, budget)), 0)
		})
	}
}

// randomPool returns executors that are filled with tasks of some images at random.
func randomPool(rng *rand.Rand, count int) []poolplan.Executor {
	executors := make([]poolplan.Executor, count)
	for i := range executors {
		var tasks []poolplan.Task
		left := int64(32_000)
		for {
			cpu := 4000 + 500*rng.Int64N(10)
			if cpu > left || rng.IntN(10) == 0 {
				break
			}
			left -= cpu
			x := latencyCritical(fmt.Sprintf("t%d-%d", i, len(tasks)), fmt.Sprintf("image%d", rng.IntN(max(10, count/5))), cpu)
			x.Pinned = rng.IntN(10) == 0
			if rng.IntN(3) == 0 {
				x.Step, x.MaxPerExecutor = x.Image, 2
			}
			tasks = append(tasks, x)
		}
		executors[i] = executor(fmt.Sprintf("e%d", i), limitSteps(tasks)...)
	}
	return executors
}

// limitSteps removes tasks beyond the limits of their steps.
func limitSteps(tasks []poolplan.Task) []poolplan.Task {
	counts := make(map[string]int)
	var out []poolplan.Task
	for _, x := range tasks {
		if counts[x.Step]++; x.MaxPerExecutor == 0 || counts[x.Step] <= x.MaxPerExecutor {
			out = append(out, x)
		}
	}
	return out
}

// Guards against plans that exceed a capacity or a limit of a step, or gain nothing, on pools of any state.
func TestPlansKeepConstraintsAndGain(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		executors := randomPool(rng, 2+rng.IntN(30))
		budget := 1 + rng.IntN(12)
		moves := poolplan.Improve(executors, halved, budget)
		assert.Assert(t, len(moves) <= budget)
		before, after := poolplan.Usable(executors, halved), poolplan.Usable(apply(t, executors, moves), halved)
		assert.Assert(t, len(moves) == 0 && before == after || after-before >= 750*float64(len(moves)), "seed %d: %d moves, %f to %f", seed, len(moves), before, after)
	}
}

func BenchmarkImprove(b *testing.B) {
	for _, count := range []int{52, 300, 600, 1200} {
		executors := randomPool(rand.New(rand.NewPCG(1, 1)), count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				poolplan.Improve(executors, halved, 6)
			}
		})
	}
}
