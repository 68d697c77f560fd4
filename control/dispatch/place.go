package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/ordering"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/submission"
)

// placeInterval is the longest time between two attempts to place waiting tasks.
const placeInterval = 300 * time.Millisecond

// place gives executors to the tasks that wait, in the order of package ordering.
func (o *Owner) place(now time.Duration) {
	if len(o.waiting) == 0 || (!o.changed && now-o.placedAt < placeInterval) {
		return
	}
	o.changed, o.placedAt = false, now
	for _, w := range o.ordered(now) {
		o.placeStep(w, now)
	}
}

// ordered returns the waiting steps in the order in which they get executors.
func (o *Owner) ordered(now time.Duration) []*waitingStep {
	type entry struct {
		step *waitingStep
		key  ordering.PendingStep
	}
	list := make([]entry, 0, len(o.waiting))
	for _, w := range o.waiting {
		list = append(list, entry{w, w.orderingKey()})
	}
	slices.SortFunc(list, func(a, b entry) int {
		if ordering.Less(&a.key, &b.key, now) {
			return -1
		}
		return 1
	})
	out := make([]*waitingStep, len(list))
	for i := range list {
		out[i] = list[i].step
	}
	return out
}

func (w *waitingStep) orderingKey() ordering.PendingStep {
	s := w.job.sub
	arrived := w.job.arrived
	if s.Steps[w.key.step].LongRunning {
		// Such a task earns all the time, so that it is never late: it goes before the tasks
		// that end. Each of those would take the room that it waits for.
		return ordering.PendingStep{Priority: s.Priority, SoftDeadline: endless, HardDeadline: endless, Arrived: arrived, ID: s.ID}
	}
	if due := s.ScheduledStart(w.key.occurrence); due > 0 {
		arrived += time.Duration(due-s.Accepted) * time.Millisecond
	}
	allowed := time.Duration(float64(chain(s, 0)) * max(1, s.Stretch))
	objective := allowed + s.TargetLatency
	return ordering.PendingStep{Priority: s.Priority, SoftDeadline: arrived + objective, HardDeadline: arrived + lateFactor*objective,
		Work: w.job.remainingWork(w.key.occurrence), RemainingPath: chain(s, w.key.step), Arrived: arrived, ID: s.ID}
}

// harmPatience is how long a submission of which nothing runs waits for an executor
// on which its tasks that fill harm no other. Then one task runs at a reduced pace: it
// disturbs its neighbours for long and gets little done, so that this is the last resort.
const harmPatience = 15 * time.Second

// endless is a time after all others.
const endless = time.Duration(math.MaxInt64)

// lateFactor is the multiple of its objective up to which a submission is late but of use.
const lateFactor = 3

// chain returns the estimated time of the longest chain of steps from the given
// step to the end; for step 0 it is the longest chain of all.
func chain(s *submission.Submission, from int) time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	var all time.Duration
	for i := len(s.Steps) - 1; i >= 0; i-- {
		longest[i] += s.Steps[i].Estimate
		for _, d := range s.Steps[i].DependsOn {
			longest[d] = max(longest[d], longest[i])
		}
		all = max(all, longest[i])
	}
	if from == 0 {
		return all
	}
	return longest[from]
}

func (o *Owner) placeStep(w *waitingStep, now time.Duration) {
	p := o.pool(o.service(w.job.sub), now)
	if len(p.nodes) == 0 {
		return
	}
	if w.job.sub.Steps[w.key.step].Gang {
		o.placeGang(w, p, now)
		return
	}
	q := o.query(w, p, now)
	ranking := placement.Rank(q, p.places)
	tasks := w.tasks
	left := tasks[:0]
	for i, t := range tasks {
		best := ranking.Best(t.avoids())
		if best < 0 {
			left = append(left, tasks[i:]...)
			break
		}
		w.onNode[p.places[best].ID]++
		o.assign(t, p.nodes[best], now)
		if q.AllowInterference {
			// One task is enough to keep the submission going.
			q.AllowInterference = false
			ranking = placement.Rank(q, p.places)
			continue
		}
		ranking.Update(best)
	}
	o.setWaiting(w, left)
}

func (o *Owner) setWaiting(w *waitingStep, left []*taskEntry) {
	w.tasks = left
	if len(left) == 0 {
		delete(o.waiting, w.key)
	}
}

// service returns the pool that the queue's tasks go to under the manifest in force.
func (o *Owner) service(s *submission.Submission) string {
	if o.manifest != nil {
		if r := o.manifest.RouteByName(s.Queue); r != nil {
			return r.Service
		}
	}
	return s.Service
}

// query describes the tasks of a waiting step to the placement.
func (o *Owner) query(w *waitingStep, p *pool, now time.Duration) placement.Query {
	step := &w.job.sub.Steps[w.key.step]
	w.allowed = o.allowed(w, p.nodes, now)
	w.onNode = nil
	if step.MaxPerExecutor > 0 {
		w.onNode = o.countByNode(w)
	}
	if w.onNode == nil {
		w.onNode = make(map[string]int)
	}
	v := o.view(step)
	return placement.Query{Step: step, Allowed: w.allowed, AllowInterference: now-w.since > harmPatience && w.job.idle(),
		ExpectedLatency:    func(i int) float64 { return v.latency(p.nodes[i]) },
		Compatible: func(i int) float64 { return o.compatible(p.nodes[i].key, p.nodes[i].images) },
		CompatibilityLoss:       func(i int) float64 { return v.loss(p.nodes[i]) },
		OverTargetFor:       func(i int) time.Duration { return p.nodes[i].lateFor(now) },
		OnNode:     func(id string) int { return w.onNode[id] }}
}

// avoids returns the test of executors on which a run of the task has failed, nil when there are none.
func (t *taskEntry) avoids() func(id string) bool {
	if len(t.failedOn) == 0 {
		return nil
	}
	return func(id string) bool { return slices.Contains(t.failedOn, id) }
}

// countByNode counts the running tasks of the step on each executor.
func (o *Owner) countByNode(w *waitingStep) map[string]int {
	counts := make(map[string]int)
	for _, t := range w.job.stepTasks(w.key) {
		if t.node != nil {
			counts[t.node.info.ID]++
		}
	}
	return counts
}

// placeGang places all members or none. They share a run number.
func (o *Owner) placeGang(w *waitingStep, p *pool, now time.Duration) {
	step := &w.job.sub.Steps[w.key.step]
	trial := make([]*placement.Node, len(p.places))
	for i, place := range p.places {
		c := *place
		trial[i] = &c
	}
	q := o.query(w, p, now)
	ranking := placement.Rank(q, trial)
	chosen := make([]int, 0, len(w.tasks))
	run := uint32(0)
	for _, t := range w.tasks {
		best := ranking.Best(t.avoids())
		if best < 0 {
			return
		}
		trial[best].Reserved = trial[best].Reserved.Add(t.reserved())
		if step.BestEffort {
			trial[best].BestEffortCPU += step.Request.CPU
		}
		w.onNode[trial[best].ID]++
		chosen = append(chosen, best)
		run = max(run, t.rec.Run)
		if len(chosen) == 1 {
			q.Rack = trial[best].Rack
			ranking = placement.Rank(q, trial)
			continue
		}
		ranking.Update(best)
	}
	for i, t := range w.tasks {
		t.rec.Run = run
		o.assign(t, p.nodes[chosen[i]], now)
	}
	o.setWaiting(w, nil)
}

// assign reserves the executor and records the start. The order is sent once the record is durable.
func (o *Owner) assign(t *taskEntry, n *node, now time.Duration) {
	t.rec.State, t.rec.Executor, t.rec.Address = submission.TaskAssigned, n.info.Incarnation, n.info.Address
	t.rec.Run++
	t.node, t.phase, t.changedAt, t.percent, t.pace, t.pacedAt = n, phaseRecorded, now, 0, fullPace, 0
	n.reserve(t)
	o.dirty[t.job.sub.ID] = t.job
	o.pending.starts = append(o.pending.starts, t)
	events.TaskPlaced.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
		Dur("waited", now-t.job.arrived).Int64("reserved_cpu", n.place.Reserved.CPU).Int64("filling_cpu", n.place.BestEffortCPU).
		Dur("list_age", now-n.clockAt).Send()
}

// evacuate moves tasks off executors that leave, where that saves work.
func (o *Owner) evacuate(now time.Duration) {
	for _, n := range o.executors {
		if n.gone || !n.info.Draining {
			continue
		}
		for t := range n.tasks {
			if t.phase == phaseRunning && !t.stopping && t.step().Checkpoints && now >= n.drainEnd-evacuationLead {
				o.stop(t, now)
			}
		}
	}
}

// evacuationLead is how long before the end of its drain time an executor's tasks are stopped.
const evacuationLead = 700 * time.Millisecond

// remainingWork returns the estimated work of the tasks that are not done, in processor seconds.
func (j *job) remainingWork(occurrence int) float64 {
	work := 0.0
	for i, n := range j.remaining[occurrence] {
		s := &j.sub.Steps[i]
		work += float64(n) * s.Estimate.Seconds() * float64(s.Request.CPU) / 1000
	}
	return work
}
