package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// maxMissingSnapshots is the number of complete snapshots without a run after which the run is
// considered lost.
const maxMissingSnapshots = 2

// settleTime is how long a run may be missing from snapshots that were read before it started.
const settleTime = 1500 * time.Millisecond

// ApplyReport applies an agent's report about an executor.
func (o *Owner) ApplyReport(r *wire.Report, now time.Duration) {
	if r.ExecutorEnded {
		o.applyExecutorEnd(r.Info.Incarnation, now)
		return
	}
	n := o.node(r.Info.Incarnation)
	if n.gone {
		return
	}
	first := n.agent == ""
	o.updateNode(n, r, now)
	if r.Epoch == o.epoch && r.FullSnapshot {
		o.retireOlderIncarnations(n, r.Running, now)
	}
	if first {
		events.ExecutorFound.Log(o.log).Str("executor", r.Info.ID).Int64("born", r.Info.StartedAt).Str("agent", r.Agent).
			Str("zone", r.Info.Zone).Str("rack", r.Info.Rack).Int64("cpu", r.Info.Capacity.CPU).Send()
	}
	if r.Epoch != o.epoch {
		return
	}
	n.leaseExpired = false
	o.applyEnds(n, r.Ended, now)
	o.applySnapshot(n, r, now)
}

// readAt returns when a snapshot with the given reading of the executor's clock was taken, on the owner's clock. The
// report may have been on its way for seconds, for example while a process was suspended; the fastest of the recent
// reports gives the offset of the clocks, which grows as the executor's clock may be slow.
func (n *node) readAt(clock int64, now time.Duration) time.Duration {
	const maxDrift = 1/executor.MinClockRate - 1
	read := time.Duration(clock) * time.Millisecond
	offset := now - read
	if n.clockOffsetAt != 0 {
		offset = min(offset, n.clockOffset+time.Duration(maxDrift*float64(now-n.clockOffsetAt)))
	}
	n.clockOffset, n.clockOffsetAt = offset, now
	return read + offset
}

// indexNode adds a node to the incarnations of an ID or address.
func (o *Owner) indexNode(name string, n *node) {
	if name != "" && !slices.Contains(o.incarnations[name], n) {
		o.incarnations[name] = append(o.incarnations[name], n)
	}
}

func (o *Owner) unindexNode(n *node) {
	for _, name := range []string{n.info.ID, n.info.Address} {
		left := slices.DeleteFunc(o.incarnations[name], func(other *node) bool { return other == n })
		if o.incarnations[name] = left; len(left) == 0 {
			delete(o.incarnations, name)
		}
	}
}

func (o *Owner) updateNode(n *node, r *wire.Report, now time.Duration) {
	if !n.info.Draining && r.Info.Draining {
		n.drainEnd = now + r.Info.DrainRemaining
		events.ExecutorDraining.Log(o.log).Str("executor", r.Info.ID).Dur("remaining", r.Info.DrainRemaining).Int("tasks", len(n.tasks)).Send()
	}
	if !n.connected {
		// Orders in flight may be lost with the previous connection, so they are due again at once
		// and speed limits are unknown.
		for t := range n.tasks {
			t.orderedAt, t.stopSent = 0, 0
			if t.step().BestEffort {
				n.placementNode.BestEffortCPU += t.bestEffortCPU(unknownSpeedLimit) - t.bestEffortCPU(t.speedLimit)
				t.speedLimit = unknownSpeedLimit
			}
		}
	}
	draining := n.info.Draining || r.Info.Draining
	if n.info.Address != r.Info.Address {
		o.unindexNode(n)
	}
	n.info, n.agent, n.connected = r.Info, r.Agent, true
	o.indexNode(n.info.ID, n)
	o.indexNode(n.info.Address, n)
	n.info.Draining = draining
	n.placementNode.Kind, n.placementNode.Rack, n.placementNode.Capacity = r.Info.Kind, r.Info.Rack, r.Info.Capacity
	if r.Info.Clock > n.clock || n.clockAt == 0 {
		n.clock, n.clockAt = r.Info.Clock, now
	}
}

// markGone records the end of an incarnation whose tasks the caller requeues.
func (o *Owner) markGone(n *node, now time.Duration) {
	n.gone, n.goneAt = true, now
	events.ExecutorGone.Log(o.log).Str("executor", n.info.ID).Int64("born", n.info.StartedAt).Int("tasks", len(n.tasks)).Send()
	if !n.info.Draining {
		o.attributeCrash(n, now)
	}
	delete(o.outbox, n.info.Incarnation)
}

// requeueLost queues the task of a run that is not alive any more.
func (o *Owner) requeueLost(t *taskEntry, now time.Duration) {
	n := t.node
	o.counters.Lost++
	events.RunLost.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
		Int64("born", n.info.StartedAt).Bool("gone", n.gone).Dur("silent", o.silentFor(n, now)).
		Bool("confirmed", t.rec.Confirmed).Bool("listed", t.listed).Send()
	t.lostOn = t.rec.Executor
	o.requeue(t, now)
}

// silentFor returns how long the node has not reported to this owner.
func (o *Owner) silentFor(n *node, now time.Duration) time.Duration {
	return now - max(n.clockAt, o.startedAt)
}

// AgentDisconnected marks the executors of an agent as disconnected.
func (o *Owner) AgentDisconnected(agent string) {
	for _, n := range o.executors {
		if n.agent == agent {
			n.connected = false
		}
	}
}

// expireLeases requeues the tasks of executors that were silent until their lease expired. Runs that a later incarnation under
// the ID may have begun stay assigned for longer.
func (o *Owner) expireLeases(now time.Duration) {
	for _, n := range o.executors {
		if !n.gone && now <= n.expiresAt() {
			continue
		}
		if !n.gone && !n.leaseExpired {
			o.recordExpiry(n, now)
		}
		for t := range n.tasks {
			if !t.mayRunInLaterIncarnation() || now > o.latestEndInLaterIncarnation(t) {
				o.requeueLost(t, now)
			}
		}
	}
}

func (o *Owner) recordExpiry(n *node, now time.Duration) {
	n.leaseExpired, n.adopted = true, false
	if len(n.tasks) == 0 && n.agent == "" {
		return
	}
	uncertain := 0
	for t := range n.tasks {
		if t.mayRunInLaterIncarnation() {
			uncertain++
		}
	}
	events.LeaseExpired.Log(o.log).Str("executor", n.info.ID).Int("tasks", len(n.tasks)).Int("uncertain", uncertain).
		Dur("silent", o.silentFor(n, now)).Int64("granted", n.grantedLeaseEnd).Int64("clock", n.clock).Send()
}

// applyEnds applies ends in the order of their numbers.
func (o *Owner) applyEnds(n *node, ends []executor.End, now time.Duration) {
	applied := false
	for _, e := range ends {
		if e.Number <= n.lastEnd {
			continue
		}
		n.lastEnd = e.Number
		applied = true
		t := o.find(e.Task)
		o.adoptEnded(t, n, e, now)
		if t.completedByEarlierRun(e) {
			o.completeByEarlierRun(t, n, e, now)
			continue
		}
		if t == nil || t.rec.State != submission.TaskAssigned || t.rec.Run != e.Run || t.node != n {
			events.EndIgnored.Log(o.log).Str("task", e.Task).Uint32("run", e.Run).Str("cause", e.Cause.String()).
				Str("executor", n.info.ID).Int64("born", n.info.StartedAt).Send()
			continue
		}
		o.applyEnd(t, n, e, now)
	}
	if applied {
		o.awaitCommit(n)
	}
}

// adoptEnded assigns the last run of a task to the executor that reports its end, if the tables have no other
// place for it.
func (o *Owner) adoptEnded(t *taskEntry, n *node, e executor.End, now time.Duration) {
	if t == nil || e.Run == 0 || t.rec.Run != e.Run || t.step().Gang || t.job.state.Final() || !t.mayHaveEndedOn(n, e.Cause) {
		return
	}
	if t.node != nil {
		t.node.release(t)
	}
	t.rec.State, t.rec.Executor, t.rec.Address = submission.TaskAssigned, n.info.Incarnation, n.info.Address
	t.node, t.phase, t.changedAt = n, phaseRunning, now
	n.reserve(t)
	o.queueStep(t.stepKey(), t.job, now)
}

// completedByEarlierRun reports whether an end shows that a task that waits for a run is done: a call of the start of an earlier run was executed
// late, after a later run was lost.
func (t *taskEntry) completedByEarlierRun(e executor.End) bool {
	return t != nil && e.Cause == executor.Done && e.Run < t.rec.Run && t.rec.State == submission.TaskPending &&
		!t.step().Gang && !t.step().LongRunning && !t.job.state.Final()
}

func (o *Owner) completeByEarlierRun(t *taskEntry, n *node, e executor.End, now time.Duration) {
	o.counters.Ends++
	events.RunEnded.Log(o.log).Str("task", e.Task).Uint32("run", e.Run).Str("cause", e.Cause.String()).
		Str("executor", n.info.ID).Uint32("last_run", t.rec.Run).Int64("end", e.Number).Send()
	o.completeTask(t, now)
	o.queueStep(t.stepKey(), t.job, now)
}

// mayHaveEndedOn reports whether the last run of a task may have ended on a node that it is not assigned to. Either
// the run was taken for refused or lost, or its order has reached the next incarnation under the ID. The record
// of a pending task may already count a failure, so without having seen the run lost, this owner accepts only
// that it is done.
func (t *taskEntry) mayHaveEndedOn(n *node, cause executor.EndCause) bool {
	at := t.lostOn
	switch t.rec.State {
	case submission.TaskPending:
		if cause == executor.Done {
			return true
		}
	case submission.TaskAssigned:
		at = t.rec.Executor
	default:
		return false
	}
	return at.ID == n.info.ID && at.StartedAt != n.info.StartedAt
}

func (o *Owner) applyEnd(t *taskEntry, n *node, e executor.End, now time.Duration) {
	o.counters.Ends++
	events.RunEnded.Log(o.log).Str("task", e.Task).Uint32("run", e.Run).Str("cause", e.Cause.String()).
		Str("executor", n.info.ID).Dur("after", now-t.changedAt).Int64("end", e.Number).Send()
	o.observeCheckpoint(t, e.Checkpoint)
	switch e.Cause {
	case executor.Done:
		n.health.observe(false, now)
		o.observeEnd(t, now)
		o.applyDone(t, now)
	case executor.Failed:
		n.health.observe(true, now)
		o.applyFailed(t, n, now)
	default:
		o.requeue(t, now)
	}
}

func (o *Owner) applyDone(t *taskEntry, now time.Duration) {
	if t.step().LongRunning {
		o.requeue(t, now)
		return
	}
	if !t.step().Gang {
		o.completeTask(t, now)
		return
	}
	// The members of a gang end together, so the end of one completes all.
	for _, member := range t.job.stepTasks(t.stepKey()) {
		if member.rec.State != submission.TaskDone {
			o.completeTask(member, now)
		}
	}
}

func (o *Owner) applyFailed(t *taskEntry, n *node, now time.Duration) {
	o.counters.Failures++
	t.failedOn = append(t.failedOn, n.info.ID)
	if t.step().LongRunning {
		o.requeue(t, now)
		return
	}
	t.rec.Failures++
	if t.job.sub.MaxAttempts > 0 && int(t.rec.Failures) >= t.job.sub.MaxAttempts && !t.job.state.Final() {
		o.unassign(t, now)
		t.rec.State = submission.TaskFailed
		events.AttemptsUsedUp.Log(o.log).Str("task", t.name()).Uint16("failures", t.rec.Failures).Strs("executors", t.failedOn).Send()
		o.finishJob(t.job, submission.Failed, now)
		return
	}
	o.requeue(t, now)
}

// applySnapshot reconciles the tables with a snapshot of the executor's runs.
func (o *Owner) applySnapshot(n *node, r *wire.Report, now time.Duration) {
	n.snapshotAt = n.readAt(r.Info.Clock, now)
	listed := o.applyRuns(n, r.Running, n.snapshotAt, now)
	o.placementChanged = o.placementChanged || now-n.aliveAt > maxListAge
	n.aliveAt = now
	if r.FullSnapshot {
		o.applyAbsence(n, listed, now)
	}
	o.observeContention(n, r.Running, now)
}

// applyRuns applies what a snapshot, taken at readAt, says of running tasks, and returns those of the tables.
func (o *Owner) applyRuns(n *node, running []executor.Run, readAt, now time.Duration) map[*taskEntry]struct{} {
	listed := make(map[*taskEntry]struct{}, len(running))
	for i := range running {
		r := &running[i]
		t := o.find(r.Task)
		if t == nil || t.node != n || t.rec.Run != r.Number || t.rec.State != submission.TaskAssigned {
			if t != nil {
				t.unknownRunAt = now
			}
			e := events.RunUnknown.Log(o.log).Str("task", r.Task).Uint32("run", r.Number).Str("executor", n.info.ID).Int64("born", n.info.StartedAt)
			if t != nil && t.rec.State == submission.TaskAssigned {
				e = e.Uint32("assigned_run", t.rec.Run).Str("assigned_to", t.rec.Executor.ID).Int64("assigned_born", t.rec.Executor.StartedAt)
			}
			e.Send()
			o.outboxFor(n).stop(r.Task, r.Number)
			continue
		}
		listed[t] = struct{}{}
		o.applyRun(t, r, readAt, now)
	}
	return listed
}

// applyAbsence adopts the node, and handles its runs that a complete snapshot does not list.
func (o *Owner) applyAbsence(n *node, listed map[*taskEntry]struct{}, now time.Duration) {
	first := !n.adopted
	if first {
		// The executor refuses previous owners from now on, and they have granted at most this
		// much.
		n.grantedLeaseEnd = max(n.grantedLeaseEnd, n.clock+o.bounds.LeaseDuration.Milliseconds())
		n.previousGrantUntil, n.previousLeaseUntil = 0, 0
		if o.mayInheritLease(n, now) {
			n.inheritedLeaseEnd = n.clock + o.bounds.MaxLease.Milliseconds()
		}
	}
	n.adopted = true
	for t := range n.tasks {
		if _, ok := listed[t]; !ok {
			o.applyMissing(t, n, first, now)
		}
	}
	o.placementChanged = o.placementChanged || first
}

func (o *Owner) applyRun(t *taskEntry, r *executor.Run, readAt, now time.Duration) {
	if t.phase != phaseRunning {
		o.confirmRunning(t, now)
	}
	t.missingSnapshots, t.listed = 0, true
	o.recordConfirmation(t, now)
	o.observeCheckpoint(t, r.Checkpoint)
	o.observeProgress(t, r.ProgressPercent, readAt, now)
	if t.job.state.Final() && !t.stopping {
		o.stop(t, now)
	}
}

// confirmRunning records that the executor runs the task.
func (o *Owner) confirmRunning(t *taskEntry, now time.Duration) {
	t.node.aliveAt = now
	if t.phase != phaseAdopted {
		t.startedAt = now
	}
	t.phase, t.changedAt, t.job.started = phaseRunning, now, true
	t.restoring = t.startCheckpoint != ""
}

// applyMissing handles a run that the snapshot does not contain.
func (o *Owner) applyMissing(t *taskEntry, n *node, first bool, now time.Duration) {
	switch {
	case first && t.phase == phaseAdopted:
		// The snapshot was read under this epoch, so an order of an earlier epoch is refused from
		// now on.
		events.RunLost.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).Bool("adopted", true).Send()
		o.requeue(t, now)
	case t.stopping && t.stopAcked != 0:
		if now-t.stopAcked > o.bounds.StopTimeout+settleTime/3 {
			o.requeue(t, now)
		}
	case t.phase == phaseRunning && now-t.changedAt > settleTime:
		if t.missingSnapshots++; t.missingSnapshots >= maxMissingSnapshots {
			o.stop(t, now)
		}
	}
}

// maxListAge is the time without a report after which an executor gets no new tasks. Snapshots come at least every second; a start that
// reaches a silent executor may have to be kept for as long as the next incarnation under its ID may execute it.
const maxListAge = 1500 * time.Millisecond

// pool holds the executors that can take tasks of a service, ordered by ID.
type pool struct {
	placementNodes []*placement.Node
	nodes          []*node
	// heldCount is the number of executors that are left out because they are held for a suspected task.
	heldCount int
	// reserved caches reservedShare while reservedKnown is set.
	reserved      float64
	reservedKnown bool
}

// pool returns the executors that can take tasks of a service. It is built once in each scheduling
// pass.
func (o *Owner) pool(service string, now time.Duration) *pool {
	if p := o.pools[service]; p != nil {
		return p
	}
	p := new(pool)
	for _, n := range o.executors {
		if n.gone || n.leaseExpired || !n.adopted || !n.connected || n.info.Draining || o.evacuated(n) || n.info.Service != service || now < n.closedUntil ||
			now-n.aliveAt > maxListAge {
			continue
		}
		if n.held() {
			p.heldCount++
			continue
		}
		n.placementNode.Closed = false
		n.placementNode.FailureRate = n.faultScore(now)
		p.nodes = append(p.nodes, n)
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return strings.Compare(a.info.ID, b.info.ID) })
	for _, n := range p.nodes {
		p.placementNodes = append(p.placementNodes, &n.placementNode)
	}
	o.pools[service] = p
	return p
}
