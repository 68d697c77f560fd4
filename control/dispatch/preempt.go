package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/eviction"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/task"
)

const (
	// preemptInterval is the time between two looks for runs to preempt. A stop is
	// answered and its end listed within it.
	preemptInterval = 600 * time.Millisecond
	// preemptAfter is how long a step waits for room before runs of less urgent queues
	// are stopped for it. Runs that end meanwhile leave room without a loss.
	preemptAfter = 400 * time.Millisecond
	// preemptedAtOnce bounds the runs that are stopped in each interval.
	preemptedAtOnce = 8
	// maxPreemptions bounds how often a task gives up its place, so that it is done at last.
	maxPreemptions = 3
)

// preempt stops runs of less urgent queues where a task of a more urgent one waits for
// the room that they hold, those first that lose the least work.
func (o *Owner) preempt(now time.Duration) {
	if len(o.waiting) == 0 || now-o.preemptedAt < preemptInterval {
		return
	}
	o.preemptedAt = now
	left := preemptedAtOnce
	taken := make(map[*node]struct{})
	for _, w := range o.ordered(now) {
		step := &w.job.sub.Steps[w.key.step]
		if step.BestEffort || step.Gang || now-w.since < preemptAfter || !o.holdsLessUrgent(w.job.sub.Priority) {
			continue
		}
		p := o.pool(o.service(w.job.sub), now)
		q := o.query(w, p, now)
		for range w.tasks {
			n, runs := cheapestRoom(q, p, w.job.sub.Priority, taken)
			if n == nil || len(runs) > left {
				break
			}
			// The executor serves one waiting task in each look, also where the room comes
			// from runs that are stopped already.
			taken[n] = struct{}{}
			left -= len(runs)
			for _, t := range runs {
				events.RunPreempted.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Str("for", stepName(w.key)).Int("percent", t.percent).Send()
				t.preemptions++
				o.stop(t, now)
			}
		}
		if left == 0 {
			return
		}
	}
}

// holdsLessUrgent reports whether any submission of a less urgent queue is in the tables.
func (o *Owner) holdsLessUrgent(priority int) bool {
	for _, j := range o.jobs {
		if j.sub.Priority > priority && !j.state.Final() {
			return true
		}
	}
	return false
}

// cheapestRoom returns the executor on which the least work is lost when runs of less
// urgent queues than the priority make room for a task, and those runs; there are none where
// runs that are stopped already make room. It returns nil when no executor can, or when
// a task has room already and waits for another reason.
func cheapestRoom(q placement.Query, p *pool, priority int, taken map[*node]struct{}) (*node, []*taskEntry) {
	var best *node
	var runs []*taskEntry
	var least time.Duration
	for i, n := range p.nodes {
		if _, ok := taken[n]; ok {
			continue
		}
		if placement.Fits(q, p.places[i]) {
			return nil, nil
		}
		trial := *p.places[i]
		trial.Reserved = trial.Reserved.Sub(n.stopping())
		if placement.Fits(q, &trial) {
			return n, nil
		}
		free := n.place.Capacity.Sub(trial.Reserved)
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
	return best, runs
}

// stopping returns what the runs that are being stopped on the node hold.
func (n *node) stopping() task.Resources {
	var sum task.Resources
	for t := range n.tasks {
		if t.stopping {
			sum = sum.Add(t.reserved())
		}
	}
	return sum
}

// evictable returns the runs on a node that may give up their place to a queue of the
// priority. Long-running tasks stay: a stop would count against their disruption budget.
// So do gangs, which one stop ends as a whole.
func evictable(n *node, priority int) ([]eviction.Candidate, []*taskEntry) {
	var candidates []eviction.Candidate
	var tasks []*taskEntry
	for t := range n.tasks {
		s := t.step()
		if t.job.sub.Priority <= priority || t.phase != phaseRunning || t.stopping || s.LongRunning || s.Gang || t.preemptions >= maxPreemptions {
			continue
		}
		candidates = append(candidates, eviction.Candidate{ID: t.name(), Reserved: t.reserved(), Loss: t.evictionLoss()})
		tasks = append(tasks, t)
	}
	return candidates, tasks
}

// evictionLoss returns the run time that a stop of the task throws away.
func (t *taskEntry) evictionLoss() time.Duration {
	s := t.step()
	if s.Checkpoints {
		return moveCost
	}
	return moveCost + s.Estimate*time.Duration(t.percent)/100
}
