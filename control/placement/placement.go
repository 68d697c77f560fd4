// Package placement chooses the executor for a task. It has no side effects: it reads tables and
// returns a choice.
package placement

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// Node is the state of an executor that placement depends on.
type Node struct {
	ID, Kind, Rack string
	Capacity       task.Resources
	// Reserved is the sum of the requests of tasks that count against the capacity.
	Reserved task.Resources
	// BestEffortCPU is the sum of processors of the best-effort tasks, in thousandths.
	BestEffortCPU int64
	// LatencyCritical is the number of latency-critical tasks.
	LatencyCritical int
	// LatencyCriticalCPU is the sum of their processors in thousandths; it is part of Reserved.
	LatencyCriticalCPU int64
	// Closed nodes accept no new task.
	Closed bool
	// FailureRate is the share, 0 to 1, of recent runs that failed or made no progress.
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
	// ExpectedLatency returns the highest latency that a latency-critical task on the node would
	// reach with the task placed there, as a share of its target.
	ExpectedLatency func(position int) float64
	// MaxLatency is the highest such latency at which a best-effort task is placed.
	MaxLatency float64
	// Compatible returns the share, 0 to 1, of best-effort work that is compatible with the
	// latency-critical tasks on the node.
	Compatible func(position int) float64
	// CompatibilityLoss returns by how much a latency-critical task would lower that share.
	CompatibilityLoss func(position int) float64
	// OverTargetFor returns for how long a latency-critical task on the node has continuously been
	// over its target.
	OverTargetFor func(position int) time.Duration
	// OverByOwnLoad reports whether no best-effort task ran on the node when that task came over its target.
	OverByOwnLoad func(position int) bool
	// AllowInterference places a best-effort task even where it would interfere; it is throttled
	// there.
	AllowInterference bool
	// Allowed reports whether the queue's policy permits the node; nil permits all.
	Allowed func(id string) bool
}

const (
	// avoidPenalty makes a node on which the task failed the last choice.
	avoidPenalty = 100.0
	// rackPenalty is the cost of a rack other than that of the data, or of the other tasks of the
	// step.
	rackPenalty = 10.0
	// failurePenalty weighs the share of failed runs against load.
	failurePenalty = 20.0
	// overTargetPenalty makes a node where a latency-critical task is over its target by its own load the choice after
	// those where none is.
	overTargetPenalty = 30.0
	// unconstrainedLatency is the expected latency, as a share of the target, up to which a node
	// is chosen by which other images could use it.
	unconstrainedLatency = 0.45
	// mixPenalty is the cost of placing best-effort and latency-critical tasks on one node, where
	// the former may interfere with the latter.
	mixPenalty = 1.0
	// colocationPenalty weighs the best-effort work that a latency-critical task excludes from a
	// node. The first other image on a node costs more than the next, so that mixed co-locations
	// are concentrated on few nodes.
	colocationPenalty = 6.0
	// scarcityGain is the gain of a node that only few images can use, for a task that can: it
	// leaves the other nodes to the rest.
	scarcityGain = 2.5
	// compatibleNodePenalty keeps other tasks off nodes that many best-effort images can use.
	compatibleNodePenalty = 0.5
	// displacementPenalty is the cost of taking processors from best-effort tasks.
	displacementPenalty = 0.5
)

// LatencyCriticalUse is the share of its processors that a latency-critical task is assumed to use.
const LatencyCriticalUse = 0.5

// expectedUse returns the processors that the node's tasks are expected to use, in thousandths.
func (n *Node) expectedUse() int64 {
	return n.Reserved.CPU - n.LatencyCriticalCPU + int64(LatencyCriticalUse*float64(n.LatencyCriticalCPU)) + n.BestEffortCPU
}

// MaxExpectedLatency is the highest expected latency, as a share of its target, that a
// latency-critical task may reach because of a best-effort task placed beside it.
const MaxExpectedLatency = 0.58

// RelaxedExpectedLatency replaces it for tasks that can wait. The margin is for changes of load within a run, and for
// interference that is higher than what was learnt.
const RelaxedExpectedLatency = 0.42

// MaxOverTarget is how long a latency-critical task may continuously be over its target before its
// node accepts no more best-effort tasks: each new one would interfere until it is throttled.
const MaxOverTarget = time.Second

// Choose returns the index of the best node, or -1 when none can run the task now.
func Choose(q Query, nodes []*Node) int {
	r := Rank(q, nodes)
	return r.Best(q.Avoid)
}

// Ranking holds the cost of each node for the tasks of one step.
type Ranking struct {
	query Query
	nodes []*Node
	// costs are infinite for nodes that cannot run a task.
	costs []float64
}

// Rank computes the costs of the nodes.
func Rank(q Query, nodes []*Node) *Ranking {
	r := &Ranking{query: q, nodes: nodes, costs: make([]float64, len(nodes))}
	for i := range nodes {
		r.Update(i)
	}
	return r
}

// Update recomputes the cost of the node at an index after it has changed.
func (r *Ranking) Update(i int) {
	r.costs[i] = math.Inf(1)
	if Fits(r.query, r.nodes[i]) {
		r.costs[i] = r.query.cost(i, r.nodes[i])
	}
}

// Fits reports whether the node at an index can run a task.
func (r *Ranking) Fits(i int) bool { return !math.IsInf(r.costs[i], 1) }

// Cost returns the cost of the node at an index, infinite if it cannot run a task.
func (r *Ranking) Cost(i int) float64 { return r.costs[i] }

// Best returns the index of the best node, or -1 when none can run a task now. avoid reports nodes
// that are the last choice; nil reports none.
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

// cost returns the cost of a node with enough capacity, infinite where the task would interfere
// too much.
func (q *Query) cost(i int, n *Node) float64 {
	overTarget := 0.0
	if q.Step.BestEffort && q.OverTargetFor != nil && q.OverTargetFor(i) >= MaxOverTarget {
		if !q.AllowInterference || q.OverByOwnLoad == nil || !q.OverByOwnLoad(i) {
			return math.Inf(1)
		}
		overTarget = overTargetPenalty
	}
	latency := 0.0
	if q.ExpectedLatency != nil {
		latency = q.ExpectedLatency(i)
	}
	if latency > q.MaxLatency && q.Step.BestEffort && !q.AllowInterference {
		return math.Inf(1)
	}
	return cost(*q, n) + q.colocationCost(i, latency) + overTarget
}

// colocationCost reserves nodes that much best-effort work can use for that work.
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

// Fits reports whether the node can run the task now within its capacity and the constraints of
// the step.
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
		// Processors are not reserved for a best-effort task; the idle ones bound its speed.
		if n.expectedUse()+need.CPU > n.Capacity.CPU {
			return false
		}
		need.CPU = 0
	}
	return n.Reserved.Add(need).Fits(n.Capacity)
}

// FitsWhenEmpty reports whether the step's task would fit the node if nothing else ran there.
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

// separationCost keeps best-effort and latency-critical tasks on different nodes, and other tasks
// with the latency-critical ones, so that the remaining nodes are left to best-effort tasks.
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
