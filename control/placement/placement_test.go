package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

func testNode(id string) *Node {
	return &Node{ID: id, Kind: "a", Rack: "r-" + id, Capacity: task.Resources{CPU: 4000, Memory: 4000}}
}

func testStep() *submission.Step {
	return &submission.Step{Count: 1, Request: task.Resources{CPU: 1000, Memory: 1000}}
}

// The constraints of a step and the capacity of a node must never be violated.
func TestFits(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *submission.Step, n *Node, q *Query)
		fits   bool
	}{
		"plain":          {func(*submission.Step, *Node, *Query) {}, true},
		"no processors":  {func(_ *submission.Step, n *Node, _ *Query) { n.Reserved.CPU = 3001 }, false},
		"no memory":      {func(_ *submission.Step, n *Node, _ *Query) { n.Reserved.Memory = 3001 }, false},
		"no accelerator": {func(s *submission.Step, _ *Node, _ *Query) { s.Request.Accelerators = 1 }, false},
		"closed":         {func(_ *submission.Step, n *Node, _ *Query) { n.Closed = true }, false},
		"other label":    {func(s *submission.Step, _ *Node, _ *Query) { s.Label = "b" }, false},
		"label":          {func(s *submission.Step, _ *Node, _ *Query) { s.Label = "a" }, true},
		"anti-affinity": {func(s *submission.Step, _ *Node, q *Query) {
			s.MaxPerExecutor = 2
			q.OnNode = func(string) int { return 2 }
		}, false},
		"policy": {func(_ *submission.Step, _ *Node, q *Query) { q.Allowed = func(string) bool { return false } }, false},
		"best effort, idle processors": {func(s *submission.Step, n *Node, _ *Query) {
			s.BestEffort = true
			n.Reserved.CPU = 4000
			n.LatencyCritical, n.LatencyCriticalCPU = 1, 4000
		}, true},
		"best effort, no idle processors":         {func(s *submission.Step, n *Node, _ *Query) { s.BestEffort = true; n.BestEffortCPU = 3500 }, false},
		"best effort, no memory":                  {func(s *submission.Step, n *Node, _ *Query) { s.BestEffort = true; n.Reserved.Memory = 3500 }, false},
		"best-effort tasks reserve no processors": {func(_ *submission.Step, n *Node, _ *Query) { n.BestEffortCPU = 4000 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, n := testStep(), testNode("n")
			q := Query{Step: s}
			c.change(s, n, &q)
			assert.Equal(t, Fits(q, n), c.fits)
		})
	}
}

// A task that failed on a node must be retried elsewhere, since a faulty node would use up its
// attempts.
func TestNodeWithFailedRunIsLastChoice(t *testing.T) {
	nodes := []*Node{testNode("a"), testNode("b")}
	nodes[1].Reserved.CPU = 2500
	q := Query{Step: testStep(), Avoid: func(id string) bool { return id == "a" }}
	assert.Equal(t, Choose(q, nodes), 1)
	nodes[1].Closed = true
	assert.Equal(t, Choose(q, nodes), 0)
}

// A best-effort task is not placed where it would push a latency-critical task over its target,
// unless its submission has waited too long.
func TestNodeWithExpectedInterferenceIsExcluded(t *testing.T) {
	s := testStep()
	s.BestEffort = true
	q := Query{Step: s, ExpectedLatency: func(int) float64 { return 1.2 }}
	assert.Equal(t, Choose(q, []*Node{testNode("a")}), -1)
	q.AllowInterference = true
	assert.Equal(t, Choose(q, []*Node{testNode("a")}), 0)
}

// Latency-critical tasks are placed where they exclude the least best-effort work.
func TestLatencyCriticalTasksAreConcentrated(t *testing.T) {
	s := testStep()
	s.LatencyTarget = 1
	nodes := []*Node{testNode("a"), testNode("b")}
	for _, n := range nodes {
		n.LatencyCritical, n.LatencyCriticalCPU, n.Reserved.CPU = 1, 1000, 1000
	}
	q := Query{Step: s, CompatibilityLoss: func(i int) float64 { return 0.3 * float64(1-i) }}
	assert.Equal(t, Choose(q, nodes), 1)
}

// Where a latency-critical task stays over its target, every new best-effort task interferes until
// it is throttled, also one that counts as non-interfering or has waited too long.
func TestNoBestEffortTaskBesideTaskOverTarget(t *testing.T) {
	s := testStep()
	s.BestEffort = true
	overTargetFor := MaxOverTarget
	q := Query{Step: s, AllowInterference: true, OverTargetFor: func(int) time.Duration { return overTargetFor }}
	assert.Equal(t, Choose(q, []*Node{testNode("a")}), -1)
	overTargetFor = 0
	assert.Equal(t, Choose(q, []*Node{testNode("a")}), 0)
}

// Where a task is over its target by its own load, a best-effort task that has waited too long is not the cause. Other nodes
// go first.
func TestBestEffortTaskBesideTaskOverTargetByItsOwnLoad(t *testing.T) {
	s := testStep()
	s.BestEffort = true
	q := Query{Step: s, OverTargetFor: func(int) time.Duration { return MaxOverTarget }, OverByOwnLoad: func(int) bool { return true }}
	nodes := []*Node{testNode("a"), testNode("b")}
	assert.Equal(t, Choose(q, nodes), -1)
	q.AllowInterference = true
	assert.Equal(t, Choose(q, nodes), 0)
	q.OverTargetFor = func(i int) time.Duration { return time.Duration(1-i) * MaxOverTarget }
	assert.Equal(t, Choose(q, nodes), 1)
	q.OverTargetFor = func(int) time.Duration { return MaxOverTarget }
	q.OverByOwnLoad = func(int) bool { return false }
	assert.Equal(t, Choose(q, nodes), -1)
}

// A ranking must reflect the placements made from it, or a node would be overcommitted.
func TestRankingFollowsChanges(t *testing.T) {
	nodes := []*Node{testNode("a"), testNode("b")}
	r := Rank(Query{Step: testStep()}, nodes)
	taken := map[int]int{}
	for {
		i := r.Best(nil)
		if i < 0 {
			break
		}
		taken[i]++
		nodes[i].Reserved = nodes[i].Reserved.Add(testStep().Request)
		r.Update(i)
	}
	assert.DeepEqual(t, taken, map[int]int{0: 4, 1: 4})
}

// A task runs near its data when there is capacity.
func TestDataRackIsPreferred(t *testing.T) {
	s := testStep()
	s.DataRack = "r-b"
	nodes := []*Node{testNode("a"), testNode("b")}
	nodes[1].Reserved.CPU = 3000
	assert.Equal(t, Choose(Query{Step: s}, nodes), 1)
	nodes[1].Reserved.CPU = 3500
	assert.Equal(t, Choose(Query{Step: s}, nodes), 0)
}
