// Package placement chooses the executor for a task. It is pure: it sees tables
// and returns a choice.
package placement

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// Node is an executor as the placement sees it.
type Node struct {
	ID, Kind, Rack string
	Capacity       task.Resources
	// Reserved is the sum of the requests of tasks that count against the capacity.
	Reserved task.Resources
	// BestEffortCPU is the sum of processors of tasks that use what others leave over, in thousandths.
	BestEffortCPU int64
	// LatencyCritical counts the tasks with a latency target.
	LatencyCritical int
	// LatencyCriticalCPU is the sum of their processors in thousandths; it is part of Reserved.
	LatencyCriticalCPU int64
	// Closed executors take no new task.
	Closed bool
	// FailureRate lies between 0 and 1: the share of recent runs that failed or stood still.
	FailureRate float64
}

// Query is one task to be placed.
type Query struct {
	Step *submission.Step
	// OnNode returns how many tasks of the same step and occurrence a node holds.
	OnNode func(id string) int
	// Avoid reports nodes on which the task has failed.
	Avoid func(id string) bool
	// Rack is preferred for steps that run on one rack, empty when none is chosen yet.
	Rack string
	// ExpectedLatency returns the highest latency to which the task would raise a task that
	// serves on the node, as a share of its target.
	ExpectedLatency func(position int) float64
	// Compatible returns the share, 0 to 1, of filling work that gets along with the
	// node's serving tasks.
	Compatible func(position int) float64
	// CompatibilityLoss returns by how much a task that serves would lower that share.
	CompatibilityLoss func(position int) float64
	// OverTargetFor reports for how long on end a task that serves on the node has been too slow.
	OverTargetFor func(position int) time.Duration
	// AllowInterference places a task that fills even where it harms, to be paced there.
	AllowInterference bool
	// Allowed reports whether the queue's policy admits the node; nil admits all.
	Allowed func(id string) bool
}

const (
	// avoidPenalty makes a node on which the task failed the last choice.
	avoidPenalty = 100.0
	// rackPenalty is the cost of being away from the data, or from the other tasks of the step.
	rackPenalty = 10.0
	// failurePenalty weighs the share of failed runs against load.
	failurePenalty = 20.0
	// unconstrainedLatency is the share of the target up to which a node is chosen by what else could
	// fill it.
	unconstrainedLatency = 0.45
	// mixPenalty is the cost of putting tasks that fill and tasks that serve on one
	// node, where the first may disturb the second.
	mixPenalty = 1.0
	// latencyCriticalUse is the share of its processors that a task that serves is assumed to use.
	latencyCriticalUse = 0.5
	// colocationPenalty weighs the filling work that a serving task keeps away from a
	// node. The first foreign image on a node costs more than the next, so that mixed
	// neighbourhoods gather on few nodes.
	colocationPenalty = 6.0
	// scarcityGain is the gain of a node that only few images can fill, for a task that
	// can: it leaves the other nodes to the rest.
	scarcityGain = 2.5
	// compatibleNodePenalty keeps other tasks away from nodes that much can fill.
	compatibleNodePenalty = 0.5
	// displacementPenalty is the cost of taking processors from tasks that fill.
	displacementPenalty = 0.5
)

// expectedUse is the sum of processors that the node's tasks are expected to use, in thousandths.
func (n *Node) expectedUse() int64 {
	return n.Reserved.CPU - n.LatencyCriticalCPU + int64(latencyCriticalUse*float64(n.LatencyCriticalCPU)) + n.BestEffortCPU
}

// MaxExpectedLatency is the share of its target up to which the latency of a task
// that serves may be expected to rise because of a task that is placed beside it.
const MaxExpectedLatency = 0.58

// MaxOverTarget is how long a serving task may be too slow on end before its node
// takes no more tasks that fill: each new one would disturb it until it is paced.
const MaxOverTarget = time.Second

// Choose returns the position of the best node, or -1 when none can take the task now.
func Choose(q Query, nodes []*Node) int {
	r := Rank(q, nodes)
	return r.Best(q.Avoid)
}

// Ranking holds the cost of each node for the tasks of one step.
type Ranking struct {
	query Query
	nodes []*Node
	// costs are infinite for nodes that cannot take a task.
	costs []float64
}

// Rank returns the costs of the nodes.
func Rank(q Query, nodes []*Node) *Ranking {
	r := &Ranking{query: q, nodes: nodes, costs: make([]float64, len(nodes))}
	for i := range nodes {
		r.Update(i)
	}
	return r
}

// Update takes in that the node at a position has changed.
func (r *Ranking) Update(i int) {
	r.costs[i] = math.Inf(1)
	if Fits(r.query, r.nodes[i]) {
		r.costs[i] = r.query.cost(i, r.nodes[i])
	}
}

// Best returns the position of the best node, or -1 when none can take a task now.
// avoid reports nodes that are the last choice; nil names none.
func (r *Ranking) Best(avoid func(id string) bool) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range r.costs {
		if c >= bestCost {
			continue
		}
		if avoid != nil && avoid(r.nodes[i].ID) {
			if c += avoidPenalty; c >= bestCost {
				continue
			}
		}
		best, bestCost = i, c
	}
	return best
}

// cost returns the cost of a node that has room, infinite where the task would do harm.
func (q *Query) cost(i int, n *Node) float64 {
	if q.Step.BestEffort && q.OverTargetFor != nil && q.OverTargetFor(i) >= MaxOverTarget {
		return math.Inf(1)
	}
	latency := 0.0
	if q.ExpectedLatency != nil {
		latency = q.ExpectedLatency(i)
	}
	if latency > MaxExpectedLatency && q.Step.BestEffort && !q.AllowInterference {
		return math.Inf(1)
	}
	return cost(*q, n) + q.colocationCost(i, latency)
}

// colocationCost leaves nodes that much filling work can use to that work.
func (q *Query) colocationCost(i int, latency float64) float64 {
	switch s := q.Step; {
	case s.BestEffort:
		if q.Compatible == nil || latency > unconstrainedLatency {
			return 0
		}
		return -scarcityGain * (1 - q.Compatible(i))
	case s.LatencyCritical():
		if q.CompatibilityLoss == nil {
			return 0
		}
		return colocationPenalty * q.CompatibilityLoss(i)
	case q.Compatible == nil:
		return 0
	}
	return compatibleNodePenalty * q.Compatible(i)
}

// Fits reports whether the node can take the task now without going over its
// capacity or a constraint of the step.
func Fits(q Query, n *Node) bool {
	s := q.Step
	if n.Closed || (s.Label != "" && s.Label != n.Kind && s.Label != n.Rack) {
		return false
	}
	if q.Allowed != nil && !q.Allowed(n.ID) {
		return false
	}
	if s.MaxPerExecutor > 0 && q.OnNode != nil && q.OnNode(n.ID) >= s.MaxPerExecutor {
		return false
	}
	need := s.Request
	if s.BestEffort {
		// Processors are not counted for such a task; what is free bounds its speed.
		if n.expectedUse()+need.CPU > n.Capacity.CPU {
			return false
		}
		need.CPU = 0
	}
	return n.Reserved.Add(need).Fits(n.Capacity)
}

// FitsWhenEmpty reports whether the step's task fits the node when nothing else runs there.
func FitsWhenEmpty(s *submission.Step, n *Node) bool {
	return (s.Label == "" || s.Label == n.Kind || s.Label == n.Rack) && s.Request.Fits(n.Capacity)
}

func cost(q Query, n *Node) float64 {
	s := q.Step
	capacity := float64(max(1, n.Capacity.CPU))
	load := float64(n.expectedUse()+s.Request.CPU) / capacity
	c := load + separationCost(s, n, load)
	if s.DataRack != "" && s.DataRack != n.Rack {
		c += rackPenalty
	}
	if s.SameRack && q.Rack != "" && q.Rack != n.Rack {
		c += rackPenalty
	}
	return c + failurePenalty*n.FailureRate
}

// separationCost keeps tasks that fill and tasks that serve on different nodes, and
// other tasks with those that serve, so that they leave the rest to those that fill.
func separationCost(s *submission.Step, n *Node, load float64) float64 {
	switch {
	case s.BestEffort:
		return mixPenalty * float64(min(n.LatencyCritical, 1))
	case s.LatencyCritical():
		return mixPenalty * float64(min(n.BestEffortCPU, 1))
	}
	c := 0.0
	if n.BestEffortCPU > 0 {
		c += displacementPenalty
	}
	if load > 1 {
		c += load
	}
	return c
}
