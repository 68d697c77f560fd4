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

// missingLists is the number of complete lists without a run after which it is taken as lost.
const missingLists = 2

// settleTime is how long a run may be missing from lists that were read before it started.
const settleTime = 1500 * time.Millisecond

// Report takes in what an agent says about an executor.
func (o *Owner) Report(r *wire.Report, now time.Duration) {
	if r.Gone {
		o.executorGone(r.Info.Incarnation, now)
		return
	}
	if r.Epoch == o.epoch {
		o.replaceOlder(r.Info, now)
	}
	n := o.node(r.Info.Incarnation)
	if n.gone {
		return
	}
	first := n.agent == ""
	o.updateNode(n, r, now)
	if first {
		events.ExecutorFound.Log(o.log).Str("executor", r.Info.ID).Int64("born", r.Info.StartedAt).Str("agent", r.Agent).
			Str("zone", r.Info.Zone).Str("rack", r.Info.Rack).Int64("cpu", r.Info.Capacity.CPU).Send()
	}
	if r.Epoch != o.epoch {
		return
	}
	n.lost = false
	o.applyEnds(n, r.Ended, now)
	if r.Full {
		o.applyList(n, r.Running, now)
	}
}

// replaceOlder ends older lifetimes at the same id or address: the executor's
// process has been replaced, so nothing of them runs.
func (o *Owner) replaceOlder(info executor.Info, now time.Duration) {
	for _, n := range slices.Concat(o.lifetimes[info.ID], o.lifetimes[info.Address]) {
		if !n.gone && n.info.StartedAt < info.StartedAt && (n.info.ID == info.ID || n.info.Address == info.Address) {
			o.executorGone(n.info.Incarnation, now)
		}
	}
}

// index lists a node under its id or address.
func (o *Owner) index(name string, n *node) {
	if name != "" && !slices.Contains(o.lifetimes[name], n) {
		o.lifetimes[name] = append(o.lifetimes[name], n)
	}
}

// unindex removes a node from the lists of lifetimes.
func (o *Owner) unindex(n *node) {
	for _, name := range []string{n.info.ID, n.info.Address} {
		left := slices.DeleteFunc(o.lifetimes[name], func(other *node) bool { return other == n })
		if o.lifetimes[name] = left; len(left) == 0 {
			delete(o.lifetimes, name)
		}
	}
}

func (o *Owner) updateNode(n *node, r *wire.Report, now time.Duration) {
	if !n.info.Draining && r.Info.Draining {
		n.drainEnd = now + r.Info.DrainRemaining
		events.ExecutorDraining.Log(o.log).Str("executor", r.Info.ID).Dur("remaining", r.Info.DrainRemaining).Int("tasks", len(n.tasks)).Send()
	}
	if !n.connected {
		// Orders that were on their way may be lost with the earlier connection.
		for t := range n.tasks {
			t.orderedAt, t.stopSent = 0, 0
			if t.step().BestEffort {
				n.place.BestEffortCPU += t.filling(unknownPace) - t.filling(t.pace)
				t.pace = unknownPace
			}
		}
	}
	draining := n.info.Draining || r.Info.Draining
	if n.info.Address != r.Info.Address {
		o.unindex(n)
	}
	n.info, n.agent, n.connected = r.Info, r.Agent, true
	o.index(n.info.ID, n)
	o.index(n.info.Address, n)
	n.info.Draining = draining
	n.place.Kind, n.place.Rack, n.place.Capacity = r.Info.Kind, r.Info.Rack, r.Info.Capacity
	if r.Info.Clock > n.clock || n.clockAt == 0 {
		n.clock, n.clockAt = r.Info.Clock, now
	}
}

// executorGone frees the tasks of a lifetime that has ended.
func (o *Owner) executorGone(inc submission.Incarnation, now time.Duration) {
	n := o.executors[inc]
	if n == nil || n.gone {
		return
	}
	n.gone, n.goneAt = true, now
	events.ExecutorGone.Log(o.log).Str("executor", inc.ID).Int64("born", inc.StartedAt).Int("tasks", len(n.tasks)).Send()
	o.requeueAll(n, now)
	delete(o.outbox, inc)
}

func (o *Owner) requeueAll(n *node, now time.Duration) {
	for t := range n.tasks {
		o.stats.Lost++
		events.RunLost.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
			Bool("gone", n.gone).Dur("silent", o.silence(n, now)).Send()
		t.lostOn = n.info.Incarnation
		o.requeue(t, now)
	}
}

// silence returns how long the node has not reported to this owner.
func (o *Owner) silence(n *node, now time.Duration) time.Duration {
	return now - max(n.clockAt, o.since)
}

// AgentLost tells that the connection to an agent has ended.
func (o *Owner) AgentLost(agent string) {
	for _, n := range o.executors {
		if n.agent == agent {
			n.connected = false
		}
	}
}

// expireLeases frees the tasks of executors that were silent until their lease ended.
func (o *Owner) expireLeases(now time.Duration) {
	for _, n := range o.executors {
		if n.gone || n.lost || now <= n.expiresAt() {
			continue
		}
		n.lost, n.adopted = true, false
		if len(n.tasks) > 0 || n.agent != "" {
			events.LeaseExpired.Log(o.log).Str("executor", n.info.ID).Int("tasks", len(n.tasks)).
				Dur("silent", o.silence(n, now)).Int64("granted", n.granted).Int64("clock", n.clock).Send()
		}
		o.requeueAll(n, now)
	}
}

// applyEnds takes in ends in the order of their numbers.
func (o *Owner) applyEnds(n *node, ends []executor.End, now time.Duration) {
	for _, e := range ends {
		if e.Number <= n.lastEnd {
			continue
		}
		n.lastEnd = e.Number
		o.pending.acks[n] = struct{}{}
		t := o.find(e.Task)
		o.takeFromPredecessor(t, n, e, now)
		if t == nil || t.rec.State != submission.TaskAssigned || t.rec.Run != e.Run || t.node != n {
			events.EndIgnored.Log(o.log).Str("task", e.Task).Uint32("run", e.Run).Str("cause", e.Cause.String()).
				Str("executor", n.info.ID).Send()
			continue
		}
		o.applyEnd(t, n, e, now)
	}
}

// takeFromPredecessor assigns a run that was lost with an earlier lifetime to the
// next one under the same id, which may have carried out its start and lists its end.
func (o *Owner) takeFromPredecessor(t *taskEntry, n *node, e executor.End, now time.Duration) {
	if t == nil || t.rec.State != submission.TaskPending || t.rec.Run != e.Run || t.step().Gang || t.job.state.Final() ||
		t.lostOn.ID != n.info.ID || t.lostOn.StartedAt >= n.info.StartedAt {
		return
	}
	t.rec.State, t.rec.Executor, t.rec.Address = submission.TaskAssigned, n.info.Incarnation, n.info.Address
	t.node, t.phase, t.changedAt = n, phaseRunning, now
	n.reserve(t)
	o.openStep(t.stepKey(), t.job, now)
}

func (o *Owner) applyEnd(t *taskEntry, n *node, e executor.End, now time.Duration) {
	o.stats.Ends++
	events.RunEnded.Log(o.log).Str("task", e.Task).Uint32("run", e.Run).Str("cause", e.Cause.String()).
		Str("executor", n.info.ID).Dur("after", now-t.changedAt).Int64("end", e.Number).Send()
	if e.Checkpoint != "" {
		t.rec.Checkpoint = e.Checkpoint
	}
	switch e.Cause {
	case executor.Done:
		n.health.observe(false, now)
		o.observeEnd(t, now)
		o.endDone(t, now)
	case executor.Failed:
		n.health.observe(true, now)
		o.endFailed(t, n, now)
	default:
		o.requeue(t, now)
	}
}

func (o *Owner) endDone(t *taskEntry, now time.Duration) {
	if t.step().LongRunning {
		o.requeue(t, now)
		return
	}
	if !t.step().Gang {
		o.done(t, now)
		return
	}
	// The members of a gang end together; one end stands for all.
	for _, member := range t.job.stepTasks(t.stepKey()) {
		if member.rec.State != submission.TaskDone {
			o.done(member, now)
		}
	}
}

func (o *Owner) endFailed(t *taskEntry, n *node, now time.Duration) {
	o.stats.Failures++
	t.failedOn = append(t.failedOn, n.info.ID)
	if t.step().LongRunning {
		o.requeue(t, now)
		return
	}
	t.rec.Failures++
	if t.job.sub.MaxAttempts > 0 && int(t.rec.Failures) >= t.job.sub.MaxAttempts && !t.job.state.Final() {
		o.free(t, now)
		t.rec.State = submission.TaskFailed
		events.AttemptsUsedUp.Log(o.log).Str("task", t.name()).Uint16("failures", t.rec.Failures).Strs("executors", t.failedOn).Send()
		o.finish(t.job, submission.Failed, now)
		return
	}
	o.requeue(t, now)
}

// applyList compares the executor's complete list with the tables.
func (o *Owner) applyList(n *node, running []executor.Run, now time.Duration) {
	listed := make(map[*taskEntry]struct{}, len(running))
	for i := range running {
		r := &running[i]
		t := o.find(r.Task)
		if t == nil || t.node != n || t.rec.Run != r.Number || t.rec.State != submission.TaskAssigned {
			events.RunUnknown.Log(o.log).Str("task", r.Task).Uint32("run", r.Number).Str("executor", n.info.ID).Send()
			o.out(n).stop(r.Task, r.Number)
			continue
		}
		listed[t] = struct{}{}
		o.applyRun(t, r, now)
	}
	first := !n.adopted
	if first {
		// An earlier owner is refused from now on, and has granted at most this much.
		n.granted = max(n.granted, n.clock+o.bounds.Lease.Milliseconds())
		n.unknownUntil = 0
	}
	n.adopted = true
	for t := range n.tasks {
		if _, ok := listed[t]; !ok {
			o.applyMissing(t, n, first, now)
		}
	}
	o.learnContention(n, running, now)
	o.changed = o.changed || first
}

func (o *Owner) applyRun(t *taskEntry, r *executor.Run, now time.Duration) {
	if t.phase != phaseRunning {
		o.confirm(t, now)
	}
	t.missing = 0
	if r.Checkpoint != "" {
		t.rec.Checkpoint = r.Checkpoint
	}
	o.observeProgress(t, r.ProgressPercent, now)
	if t.job.state.Final() && !t.stopping {
		o.stop(t, now)
	}
}

// confirm records that the executor runs the task.
func (o *Owner) confirm(t *taskEntry, now time.Duration) {
	t.phase, t.changedAt, t.job.started = phaseRunning, now, true
	t.restoring = t.rec.Checkpoint != ""
}

// applyMissing handles a run that the executor does not list.
func (o *Owner) applyMissing(t *taskEntry, n *node, first bool, now time.Duration) {
	switch {
	case first && t.phase == phaseAdopted:
		// The list was read under this epoch: an order of an earlier epoch is refused from now on.
		events.RunLost.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).Bool("adopted", true).Send()
		o.requeue(t, now)
	case t.stopping && t.stopAcked != 0:
		if now-t.stopAcked > o.bounds.StopTimeout+settleTime/3 {
			o.requeue(t, now)
		}
	case t.phase == phaseRunning && now-t.changedAt > settleTime:
		if t.missing++; t.missing >= missingLists {
			o.stop(t, now)
		}
	}
}

// pool holds the executors that can take tasks of a service, in the order of their ids.
type pool struct {
	places []*placement.Node
	nodes  []*node
}

// pool returns the executors that can take tasks of a service. It is built once in
// each run of the systems.
func (o *Owner) pool(service string, now time.Duration) *pool {
	if p := o.pools[service]; p != nil {
		return p
	}
	p := new(pool)
	for _, n := range o.executors {
		if n.gone || n.lost || !n.adopted || !n.connected || n.info.Draining || n.info.Service != service || now < n.closedUntil {
			continue
		}
		n.place.Closed = false
		n.place.FailureRate = n.suspicion(now)
		p.nodes = append(p.nodes, n)
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return strings.Compare(a.info.ID, b.info.ID) })
	for _, n := range p.nodes {
		p.places = append(p.places, &n.place)
	}
	o.pools[service] = p
	return p
}
