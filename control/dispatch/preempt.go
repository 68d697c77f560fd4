package dispatch

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/eviction"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/task"
)

const (
	// preemptInterval is the time between two searches for runs to preempt. It is long enough for
	// a stop to be answered and its end to be reported.
	preemptInterval = 600 * time.Millisecond
	// preemptDelay is how long a step waits for capacity before runs of queues with lower priority
	// are stopped for it. Runs that end meanwhile free capacity without loss.
	preemptDelay = 400 * time.Millisecond
	// maxPreemptedPerInterval is the largest number of runs that are stopped in each interval.
	maxPreemptedPerInterval = 8
	// maxPreemptionsPerTask limits how often a task is preempted, so that it completes eventually.
	maxPreemptionsPerTask = 3
)

// preemptionNeeds are needs for which runs may be stopped. Those that no executor can make room for are not searched for again in one
// search, in which executors are only taken.
type preemptionNeeds struct {
	needs
	priority int
}

// preempt stops runs of queues with lower priority when a task of a queue with higher priority
// waits for their capacity. Runs that lose the least work are stopped first.
func (o *Owner) preempt(now time.Duration) {
	if len(o.waiting) == 0 || now-o.preemptedAt < preemptInterval {
		return
	}
	o.preemptedAt = now
	left, lowest := maxPreemptedPerInterval, o.lowestPriority()
	taken := make(map[*node]struct{})
	unmet := make(map[preemptionNeeds]struct{})
	for _, w := range o.orderedSteps(now) {
		step := &w.job.sub.Steps[w.key.step]
		if step.BestEffort || step.Gang || now-w.since < preemptDelay || w.job.sub.Priority >= lowest {
			continue
		}
		p := o.pool(o.service(w.job.sub), now)
		limits := o.interferenceLimits(w, p, now)
		wanted, comparable := o.needsOf(w, limits)
		if _, none := unmet[preemptionNeeds{wanted, w.job.sub.Priority}]; none && comparable {
			continue
		}
		q := o.queryWithin(w, p, limits, now)
		for _, waiting := range w.tasks {
			if waiting.delayed(now) {
				continue
			}
			targets, maxLoss := o.preemptionPool(w, waiting, p, now)
			n, runs, loss := cheapestPreemption(q, targets, w.job.sub.Priority, taken)
			if n == nil && comparable && targets == p {
				unmet[preemptionNeeds{wanted, w.job.sub.Priority}] = struct{}{}
			}
			if n == nil || len(runs) > left || maxLoss > 0 && loss >= maxLoss {
				break
			}
			// An executor takes one waiting task in each search, even where the capacity comes
			// from runs that are being stopped already.
			taken[n] = struct{}{}
			left -= len(runs)
			for _, t := range runs {
				events.RunPreempted.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Str("for", stepName(w.key)).Int("percent", t.progressPercent).Send()
				t.preemptions++
				o.stop(t, now)
			}
		}
		if left == 0 {
			return
		}
	}
}

// lowestPriority returns the lowest priority, which is the highest number, of the unfinished submissions.
func (o *Owner) lowestPriority() int {
	lowest := math.MinInt
	for _, j := range o.jobs {
		if !j.state.Final() {
			lowest = max(lowest, j.sub.Priority)
		}
	}
	return lowest
}

// cheapestPreemption returns the executor on which preempting runs of lower priority for a task
// loses the least work, those runs, and the loss. There are no runs when those being stopped already free
// enough capacity. It returns nil when no executor can make room, or when a task fits already and
// waits for another reason.
func cheapestPreemption(q placement.Query, p *pool, priority int, taken map[*node]struct{}) (*node, []*taskEntry, time.Duration) {
	var best *node
	var runs []*taskEntry
	var least time.Duration
	for i, n := range p.nodes {
		if _, ok := taken[n]; ok {
			continue
		}
		if placement.Fits(q, p.placementNodes[i]) {
			return nil, nil, 0
		}
		trial := *p.placementNodes[i]
		trial.Reserved = trial.Reserved.Sub(n.stoppingResources())
		if placement.Fits(q, &trial) {
			return n, nil, 0
		}
		free := n.placementNode.Capacity.Sub(trial.Reserved)
		trial.Reserved = task.Resources{}
		if !placement.Fits(q, &trial) {
			continue
		}
		candidates, tasks := evictable(n, priority)
		chosen, loss, ok := eviction.Choose(candidates, q.Step.Request, free)
		if !ok || len(chosen) == 0 || (best != nil && loss >= least) {
			continue
		}
		best, least, runs = n, loss, runs[:0]
		for _, c := range chosen {
			runs = append(runs, tasks[c])
		}
	}
	return best, runs, least
}

// stoppingResources returns what the runs that are being stopped on the node hold.
func (n *node) stoppingResources() task.Resources {
	var sum task.Resources
	for t := range n.tasks {
		if t.stopping {
			sum = sum.Add(t.reserved())
		}
	}
	return sum
}

// evictable returns the runs on a node that a queue of the priority may preempt. Long-running
// tasks are excluded since a stop would count against their disruption budget, and gangs since one
// stop ends the whole gang.
func evictable(n *node, priority int) ([]eviction.Candidate, []*taskEntry) {
	var candidates []eviction.Candidate
	var tasks []*taskEntry
	for t := range n.tasks {
		if !t.preemptibleBy(priority) {
			continue
		}
		candidates = append(candidates, eviction.Candidate{ID: t.name(), Reserved: t.reserved(), Loss: t.evictionLoss()})
		tasks = append(tasks, t)
	}
	return candidates, tasks
}

// preemptible reports whether a queue of higher priority may stop the run.
func (t *taskEntry) preemptible() bool {
	s := t.step()
	return t.phase == phaseRunning && !t.stopping && !s.LongRunning && !s.Gang && t.preemptions < maxPreemptionsPerTask
}

// preemptibleBy reports whether a queue of the priority may stop the run.
func (t *taskEntry) preemptibleBy(priority int) bool {
	return t.job.sub.Priority > priority && t.preemptible()
}

// evictionLoss returns the run time that is lost when the task is stopped.
func (t *taskEntry) evictionLoss() time.Duration {
	s := t.step()
	if s.Checkpoints {
		return moveCost
	}
	return moveCost + s.Estimate*time.Duration(t.progressPercent)/100
}
