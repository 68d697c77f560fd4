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

// preemptionSearch is one search for runs to preempt. Executors are only taken in it, and nothing changes on the others.
type preemptionSearch struct {
	taken map[*node]struct{}
	// unmet holds the needs that no executor can make room for.
	unmet map[preemptionNeeds]struct{}
	// victims holds what the executors could make room by, by the priority that asks.
	victims map[victimsKey]*victims
}

// preemptionNeeds are needs for which runs of lower priority may be stopped.
type preemptionNeeds struct {
	needs
	priority int
}

type victimsKey struct {
	node     *node
	priority int
}

// victims are the runs on an executor that may be preempted.
type victims struct {
	candidates []eviction.Candidate
	tasks      []*taskEntry
	// stopping is held by runs that are being stopped, reserved by the candidates.
	stopping, reserved task.Resources
}

func newPreemptionSearch() *preemptionSearch {
	return &preemptionSearch{taken: make(map[*node]struct{}), unmet: make(map[preemptionNeeds]struct{}), victims: make(map[victimsKey]*victims)}
}

func (s *preemptionSearch) victimsOn(n *node, priority int) *victims {
	key := victimsKey{n, priority}
	v := s.victims[key]
	if v == nil {
		v = evictable(n, priority)
		s.victims[key] = v
	}
	return v
}

// preempt stops runs of queues with lower priority when a task of a queue with higher priority
// waits for their capacity. Runs that lose the least work are stopped first.
func (o *Owner) preempt(now time.Duration) {
	if len(o.waiting) == 0 || now-o.preemptedAt < preemptInterval {
		return
	}
	o.preemptedAt = now
	left, lowest := maxPreemptedPerInterval, o.lowestPriority()
	search := newPreemptionSearch()
	for _, w := range o.orderedSteps(now) {
		step := &w.job.sub.Steps[w.key.step]
		if step.BestEffort || step.Gang || now-w.since < preemptDelay || w.job.sub.Priority >= lowest {
			continue
		}
		p := o.pool(o.service(w.job.sub), now)
		limits := o.interferenceLimits(w, p, now)
		n, plain := o.needsOf(w, limits)
		wanted := preemptionNeeds{n, w.job.sub.Priority}
		if _, none := search.unmet[wanted]; none && plain {
			continue
		}
		q := o.queryWithin(w, p, limits, now)
		for _, waiting := range w.tasks {
			if waiting.delayed(now) {
				continue
			}
			targets, maxLoss := o.preemptionPool(w, waiting, p, now)
			n, runs, loss := search.cheapest(q, targets, w.job.sub.Priority)
			if n == nil && plain && targets == p {
				search.unmet[wanted] = struct{}{}
			}
			if n == nil || len(runs) > left || maxLoss > 0 && loss >= maxLoss {
				break
			}
			// An executor takes one waiting task in each search, even where the capacity comes
			// from runs that are being stopped already.
			search.taken[n] = struct{}{}
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

// cheapest returns the executor on which preempting runs of lower priority for a task
// loses the least work, those runs, and the loss. There are no runs when those being stopped already free
// enough capacity. It returns nil when no executor can make room, or when a task fits already and
// waits for another reason.
func (s *preemptionSearch) cheapest(q placement.Query, p *pool, priority int) (*node, []*taskEntry, time.Duration) {
	var best *node
	var runs []*taskEntry
	var least time.Duration
	for i, n := range p.nodes {
		if _, ok := s.taken[n]; ok {
			continue
		}
		if placement.Fits(q, p.placementNodes[i]) {
			return nil, nil, 0
		}
		v := s.victimsOn(n, priority)
		trial := *p.placementNodes[i]
		trial.Reserved = trial.Reserved.Sub(v.stopping)
		if placement.Fits(q, &trial) {
			return n, nil, 0
		}
		free := n.placementNode.Capacity.Sub(trial.Reserved)
		trial.Reserved = task.Resources{}
		if !placement.Fits(q, &trial) || !q.Step.Request.Fits(free.Add(v.reserved)) {
			continue
		}
		chosen, loss, ok := eviction.Choose(v.candidates, q.Step.Request, free)
		if !ok || len(chosen) == 0 || (best != nil && loss >= least) {
			continue
		}
		best, least, runs = n, loss, runs[:0]
		for _, c := range chosen {
			runs = append(runs, v.tasks[c])
		}
	}
	return best, runs, least
}

// evictable returns the runs on a node that a queue of the priority may preempt. Long-running
// tasks are excluded since a stop would count against their disruption budget, and gangs since one
// stop ends the whole gang.
func evictable(n *node, priority int) *victims {
	v := new(victims)
	for t := range n.tasks {
		if t.stopping {
			v.stopping = v.stopping.Add(t.reserved())
		}
		if !t.preemptibleBy(priority) {
			continue
		}
		v.candidates = append(v.candidates, eviction.Candidate{ID: t.name(), Reserved: t.reserved(), Loss: t.evictionLoss()})
		v.tasks = append(v.tasks, t)
		v.reserved = v.reserved.Add(t.reserved())
	}
	return v
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
