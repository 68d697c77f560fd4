package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/poolplan"
	"github.com/chicorystand/chicorystand/control/submission"
)

const (
	// planInterval is the time between two plans of the pools.
	planInterval = time.Second
	// maxPlannedMoves is the largest number of latency-critical tasks that a plan moves, and that are not at work for it at the
	// same time.
	maxPlannedMoves = 6
	// plannedMoveInterval is the least time between two planned moves of a task. It is many times what a move costs.
	plannedMoveInterval = 15 * time.Second
	// plannedStartMargin is the time from the end of a stopped task until its room is known to be free: a report and a commit.
	plannedStartMargin = time.Second
	// maxFailureRate is the share of failed runs up to which the plan moves tasks to an executor.
	maxFailureRate = 0.1
)

// plannedTargetTimeout is how long a moved task waits for room on its executor: until the task that leaves it has ended. Then it
// goes anywhere.
func (o *Owner) plannedTargetTimeout() time.Duration {
	return o.bounds.StopTimeout + plannedStartMargin
}

// plannedMove is the move of a task by the pool plan. It is advice to placement and lost with the owner.
type plannedMove struct {
	// to is the ID of the executor, empty for none.
	to string
	// at is when the plan moved the task last, 0 for never.
	at time.Duration
}

// planPools moves latency-critical tasks so that tasks of one image gather, in pools where best-effort work runs or waits.
func (o *Owner) planPools(now time.Duration) {
	if !o.bounds.Features.PoolPlan || now-o.plannedAt < planInterval {
		return
	}
	o.plannedAt = now
	for _, service := range o.bestEffortServices() {
		o.planPool(service, now)
	}
}

// bestEffortServices returns the services with best-effort tasks that run or wait.
func (o *Owner) bestEffortServices() []string {
	services := make(map[string]struct{})
	for _, n := range o.executors {
		if !n.gone && len(n.bestEffort) > 0 {
			services[n.info.Service] = struct{}{}
		}
	}
	for _, w := range o.waiting {
		if w.job.sub.Steps[w.key.step].BestEffort {
			services[o.service(w.job.sub)] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// planPool computes the plan of one pool and stops the tasks that it moves. While latency-critical tasks start or stop, the
// next plan takes their places into account.
func (o *Owner) planPool(service string, now time.Duration) {
	p := o.pool(service, now)
	executors := make([]poolplan.Executor, len(p.nodes))
	for i, n := range p.nodes {
		if n.latencyCriticalChanges() {
			return
		}
		executors[i] = o.planExecutor(n, now)
	}
	for _, m := range poolplan.Improve(executors, o.compatibleShareOf, maxPlannedMoves) {
		t := o.find(m.Task)
		t.planned = plannedMove{to: m.To, at: now}
		o.counters.PlannedMoves++
		events.PoolPlanned.Log(o.log).Str("task", m.Task).Uint32("run", t.rec.Run).Str("image", t.step().Image).
			Str("executor", t.node.info.ID).Str("to", m.To).Send()
		o.stop(t, now)
	}
}

// latencyCriticalChanges reports whether a latency-critical task on the node starts or stops.
func (n *node) latencyCriticalChanges() bool {
	for t := range n.tasks {
		if t.step().LatencyCritical() && (t.stopping || t.phase != phaseRunning) {
			return true
		}
	}
	return false
}

// planExecutor describes a node for the plan.
func (o *Owner) planExecutor(n *node, now time.Duration) poolplan.Executor {
	e := poolplan.Executor{ID: n.info.ID, Kind: n.info.Kind, Rack: n.info.Rack, Capacity: n.placementNode.Capacity, Reserved: n.placementNode.Reserved,
		Closed: n.placementNode.FailureRate > maxFailureRate}
	for t := range n.tasks {
		s := t.step()
		switch {
		case s.LatencyCritical():
			e.Tasks = append(e.Tasks, poolplan.Task{Name: t.name(), Image: s.Image, Request: s.Request, Step: stepName(t.stepKey()),
				MaxPerExecutor: s.MaxPerExecutor, Label: s.Label, Pinned: o.pinned(t, s, now)})
		case !s.LongRunning && o.remainingTime(t) < o.plannedTargetTimeout():
			// Its room is free by the time that a moved task needs it.
			e.Reserved = e.Reserved.Sub(t.reserved())
		}
	}
	slices.SortFunc(e.Tasks, func(a, b poolplan.Task) int { return strings.Compare(a.Name, b.Name) })
	return e
}

// pinned reports whether the plan leaves a latency-critical task where it is: a stop would count against a disruption
// budget or end a gang, or the task was just moved.
func (o *Owner) pinned(t *taskEntry, s *submission.Step, now time.Duration) bool {
	recent := t.planned.at != 0 && now-t.planned.at < plannedMoveInterval
	constrained := s.MaxUnavailable > 0 || s.Gang || !s.LongRunning || s.DataRack != "" || s.SameRack || o.needsAdvice(t.job.sub)
	return recent || constrained || t.suspected() || len(t.failedOn) > 0 || t.job.state.Final()
}

// compatibleShareOf returns the share of best-effort work that is compatible with a set of latency-critical images.
func (o *Owner) compatibleShareOf(images []string) float64 {
	slices.Sort(images)
	return o.compatibleShare(strings.Join(images, "\x00"), func() []string { return images })
}

// placeAsPlanned assigns a task to the executor that the plan names and returns its position in the pool, -1 for none.
// held is set while that executor has no room yet.
func (o *Owner) placeAsPlanned(t *taskEntry, p *pool, fits func(i int) bool, now time.Duration) (at int, held bool) {
	if t.planned.to == "" {
		return -1, false
	}
	at = slices.IndexFunc(p.nodes, func(n *node) bool { return n.info.ID == t.planned.to })
	switch {
	case at < 0 || now-t.planned.at >= o.plannedTargetTimeout():
		t.planned.to = ""
		return -1, false
	case fits(at):
		t.planned.to = ""
		o.assign(t, p.nodes[at], now)
		return at, false
	}
	return -1, true
}
