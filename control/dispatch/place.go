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

const (
	// maxPlaceTime bounds the time that a scheduling pass takes to place tasks, so that commits, leases and reports do not wait for it.
	maxPlaceTime = 20 * time.Millisecond
	// stepsPerTimeCheck is the number of steps between two readings of the clock.
	stepsPerTimeCheck = 8
)

// placeWaiting assigns waiting tasks to executors, in the order of package ordering. It goes on in the next pass where it stopped when it
// takes long.
func (o *Owner) placeWaiting(now time.Duration) {
	list := o.stepsToPlace(now)
	if len(list) == 0 {
		return
	}
	clear(o.unmet)
	o.beginPlaceWaits(now)
	began := o.passTime()
	done := 0
	for ; done < len(list); done++ {
		if done > 0 && done%stepsPerTimeCheck == 0 && o.passTime()-began > maxPlaceTime {
			break
		}
		if w := list[done]; o.waiting[w.key] == w {
			o.placeStep(w, now)
		}
	}
	o.unplaced = list[done:]
	o.finishPlaceWaits()
}

// stepsToPlace returns the steps that the last pass did not get to, or all waiting steps if placing them may succeed now.
func (o *Owner) stepsToPlace(now time.Duration) []*waitingStep {
	if len(o.unplaced) > 0 {
		return o.unplaced
	}
	if len(o.waiting) == 0 || (!o.placementChanged && !o.placeWaitDue(now) && now-o.placedAt < placeInterval) {
		return nil
	}
	o.placementChanged, o.placedAt = false, now
	return o.shareAmongQueues(o.orderedSteps(now), now)
}

// SetPassClock sets the clock that bounds the time of a scheduling pass. Without one, a pass places all that it can.
func (o *Owner) SetPassClock(now func() time.Duration) { o.passClock = now }

// passTime returns the time by the clock that bounds a pass, 0 without one.
func (o *Owner) passTime() time.Duration {
	if o.passClock == nil {
		return 0
	}
	return o.passClock()
}

// orderedSteps returns the waiting steps in the order in which they are placed.
func (o *Owner) orderedSteps(now time.Duration) []*waitingStep {
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
		// A long-running task has no end and so can't miss a deadline. It goes before tasks that
		// end, as each of those would take the capacity that it waits for.
		return ordering.PendingStep{Priority: s.Priority, SoftDeadline: noDeadline, HardDeadline: noDeadline, Arrived: arrived, ID: s.ID}
	}
	if due := s.ScheduledStart(w.key.occurrence); due > 0 {
		arrived += time.Duration(due-s.Accepted) * time.Millisecond
	}
	objective := w.job.objective
	return ordering.PendingStep{Priority: s.Priority, SoftDeadline: arrived + objective, HardDeadline: arrived + ordering.HardDeadlineFactor*objective,
		Work: w.job.remainingWork(w.key.occurrence), RemainingPath: w.job.criticalPaths[w.key.step], Arrived: arrived, ID: s.ID}
}

// interferenceDelay is how long a submission without any run waits for an executor on which its
// best-effort tasks interfere with no other. After that, one task runs with a speed limit. This is
// the last resort: the task slows its co-located tasks for long and makes little progress. Where less than idleShare of
// the pool's processors are reserved, work that waits has no other reason to, and idleInterferenceDelay holds.
const (
	interferenceDelay     = 15 * time.Second
	idleInterferenceDelay = 2 * time.Second
	idleShare             = 0.55
)

// noDeadline is later than any deadline.
const noDeadline = time.Duration(math.MaxInt64)

func (o *Owner) placeStep(w *waitingStep, now time.Duration) {
	p := o.pool(o.service(w.job.sub), now)
	if len(p.nodes) == 0 {
		o.reportZoneWait(w)
		return
	}
	if w.job.sub.Steps[w.key.step].Gang {
		o.placeGang(w, p, now)
		return
	}
	limits := o.interferenceLimits(w, p, now)
	wanted, plain := o.needsOf(w, limits)
	if _, none := o.unmet[wanted]; none && plain {
		o.reportZoneWait(w)
		return
	}
	q := o.queryWithin(w, p, limits, now)
	ranking := placement.Rank(q, p.placementNodes)
	decider := o.rackDecider(w, p, q, now)
	tasks := w.tasks
	left, stuck := tasks[:0], false
	for i, t := range tasks {
		if t.unknownRunGoesOn(now) {
			left = append(left, t)
			continue
		}
		if t.awaitsEarlierCalls(now) {
			at := o.placeBesideEarlierCalls(t, p, ranking.Fits, now)
			if at < 0 {
				left = append(left, t)
				continue
			}
			w.onNode[p.placementNodes[at].ID]++
			ranking.Update(at)
			continue
		}
		if t.suspected() {
			at := o.placeSuspect(t, p, ranking.Fits, now)
			if at < 0 {
				left = append(left, t)
				continue
			}
			w.onNode[p.placementNodes[at].ID]++
			ranking.Update(at)
			continue
		}
		if at, held := o.placeAsPlanned(t, p, ranking.Fits, now); at >= 0 {
			w.onNode[p.placementNodes[at].ID]++
			ranking.Update(at)
			continue
		} else if held {
			left = append(left, t)
			continue
		}
		best := ranking.Best(t.avoidFilter())
		if best < 0 {
			left = append(left, tasks[i:]...)
			stuck = true
			o.reportZoneWait(w)
			if plain {
				wanted.allowInterference = q.AllowInterference
				o.unmet[wanted] = struct{}{}
			}
			break
		}
		if decider.waits(t, best, ranking, now) {
			left = append(left, t)
			continue
		}
		w.onNode[p.placementNodes[best].ID]++
		o.assign(t, p.nodes[best], now)
		if q.AllowInterference {
			// One task is enough to let the submission make progress.
			q.AllowInterference = false
			ranking = placement.Rank(q, p.placementNodes)
			continue
		}
		ranking.Update(best)
	}
	decider.finish(left, stuck, now)
	o.setWaiting(w, left)
}

func (o *Owner) setWaiting(w *waitingStep, left []*taskEntry) {
	w.tasks = left
	if len(left) == 0 {
		delete(o.waiting, w.key)
	}
}

// service returns the executor pool of the queue's tasks under the current manifest.
func (o *Owner) service(s *submission.Submission) string {
	if o.manifest != nil {
		if r := o.manifest.RouteByName(s.Queue); r != nil {
			return r.Service
		}
	}
	return s.Service
}

// interferenceLimits is how much a step may interfere with others now. It grows as the step waits.
type interferenceLimits struct {
	allowInterference bool
	maxLatency        float64
}

func (o *Owner) interferenceLimits(w *waitingStep, p *pool, now time.Duration) interferenceLimits {
	return interferenceLimits{w.allowsInterference(p, now), o.latencyBound(w, now)}
}

// query returns the placement query for a waiting step.
func (o *Owner) query(w *waitingStep, p *pool, now time.Duration) placement.Query {
	return o.queryWithin(w, p, o.interferenceLimits(w, p, now), now)
}

func (o *Owner) queryWithin(w *waitingStep, p *pool, limits interferenceLimits, now time.Duration) placement.Query {
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
	return placement.Query{Step: step, Allowed: w.allowed, AllowInterference: limits.allowInterference, MaxLatency: limits.maxLatency,
		ExpectedLatency:   func(i int) float64 { return v.expectedLatency(p.nodes[i]) },
		Compatible:        func(i int) float64 { return o.compatibleShare(p.nodes[i].key, p.nodes[i].images) },
		CompatibilityLoss: func(i int) float64 { return v.compatibilityLoss(p.nodes[i]) },
		OverTargetFor:     func(i int) time.Duration { return p.nodes[i].overTargetFor(now) },
		OverByOwnLoad:     func(i int) bool { return p.nodes[i].overByOwnLoad },
		OnNode:            func(id string) int { return w.onNode[id] }}
}

// allowsInterference reports whether a step has waited long enough for an executor where it interferes with no other.
func (w *waitingStep) allowsInterference(p *pool, now time.Duration) bool {
	waited := w.waited(now)
	if waited <= idleInterferenceDelay || !w.job.idle() {
		return false
	}
	return waited > interferenceDelay || p.reservedShare() < idleShare
}

// reservedShare returns the share of the pool's processors that is reserved.
func (p *pool) reservedShare() float64 {
	if !p.reservedKnown {
		var reserved, capacity int64
		for _, n := range p.placementNodes {
			reserved += n.Reserved.CPU
			capacity += n.Capacity.CPU
		}
		p.reserved, p.reservedKnown = float64(reserved)/float64(max(1, capacity)), true
	}
	return p.reserved
}

// avoidFilter returns a filter for executors on which a run of the task has failed, nil when there
// are none.
func (t *taskEntry) avoidFilter() func(id string) bool {
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

// placeGang places all members of a gang or none. They share a run number and a checkpoint.
func (o *Owner) placeGang(w *waitingStep, p *pool, now time.Duration) {
	if slices.ContainsFunc(w.tasks, func(t *taskEntry) bool { return t.delayed(now) || t.unknownRunGoesOn(now) }) {
		return
	}
	chosen, ok := o.placesForGang(w, p, o.query(w, p, now), now)
	if !ok {
		return
	}
	run := uint32(0)
	for _, t := range w.tasks {
		run = max(run, t.rec.Run)
	}
	unifyCheckpoints(w.tasks)
	for i, t := range w.tasks {
		t.rec.Run = run
		o.assign(t, p.nodes[chosen[i]], now)
	}
	o.endGangRackWait(w, now)
	o.setWaiting(w, nil)
}

// assign reserves capacity on the executor and records the start. The order is sent once the
// record is durable.
func (o *Owner) assign(t *taskEntry, n *node, now time.Duration) {
	t.rec.State, t.rec.Executor, t.rec.Address = submission.TaskAssigned, n.info.Incarnation, n.info.Address
	t.rec.Run++
	t.startCheckpoint, t.reportedCheckpoint = t.rec.Checkpoint, t.rec.Checkpoint
	t.node, t.phase, t.changedAt, t.progressPercent, t.speedLimit, t.throttledAt = n, phaseCommitPending, now, 0, fullSpeed, 0
	t.firstOrderedAt, t.startCopies, t.startedAt, t.latencyInTargetAt, t.latencyOverSince = 0, 0, 0, 0, 0
	t.rec.Confirmed, t.confirmationRecorded, t.listed, t.startCallsUntil = false, false, false, 0
	n.reserve(t)
	for _, p := range o.pools {
		p.reservedKnown = false
	}
	o.endTaskRackWait(t, now)
	o.markDirty(t)
	o.uncommitted.starts = append(o.uncommitted.starts, t)
	events.TaskPlaced.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
		Dur("waited", now-t.job.arrived).Int64("reserved_cpu", n.placementNode.Reserved.CPU).Int64("filling_cpu", n.placementNode.BestEffortCPU).
		Dur("list_age", now-n.clockAt).Send()
}

// saveDrainingRuns stops tasks with checkpoints on draining executors shortly before the drain ends,
// so that they resume elsewhere without losing work.
func (o *Owner) saveDrainingRuns(now time.Duration) {
	for _, n := range o.executors {
		if n.gone || !n.info.Draining {
			continue
		}
		for t := range n.tasks {
			if t.phase == phaseRunning && !t.stopping && t.step().Checkpoints && now >= n.drainEnd-drainLead {
				o.stop(t, now)
			}
		}
	}
}

// drainLead is how long before the end of an executor's drain time its tasks are stopped.
const drainLead = 700 * time.Millisecond
